"""Models and adapters that a stand-in engine holds."""

import dataclasses
import json

import httpcore
import trio

__all__ = ["Loading", "Replica", "Replicas"]

OK = 200
LOADING = "loading"
LOADED = "loaded"
UNLOADING = "unloading"
FAILED = "failed"
POLL_S = 0.002


@dataclasses.dataclass
class Loading:
    """How loads and unloads go at an engine.

    Parameters
    ----------
    weights : str
        ``IP:PORT`` of the weight store; empty for none.
    load_s : float
        Seconds of a load besides the pull.
    mb_per_s : float
        Speed of bringing weights into the memory of the accelerator.
    unload_s : float
    fail_loads : int
        Loads that fail half way from now on.
    cached : set of str
        Models whose weights need no pull.
    sizes : dict of str to int
        True sizes of models, where orders do not tell them.
    """

    weights: str = ""
    load_s: float = 0.02
    mb_per_s: float = 1_000_000.0
    unload_s: float = 0.02
    fail_loads: int = 0
    cached: set = dataclasses.field(default_factory=set)
    sizes: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Replica:
    """One model or adapter at one version."""

    name: str
    version: str
    base: str
    memory_mb: int
    state: str = LOADING
    running: int = 0
    again: bool = False

    def shown(self):
        """Return it as JSON, as the status shows it."""
        return {
            "name": self.name,
            "version": self.version,
            "state": self.state,
            "memory_mb": self.memory_mb,
            "base": self.base,
        }


class Replicas:
    """Loads and unloads; memory is judged here.

    Parameters
    ----------
    nursery : trio.Nursery
    history : features.standins.history.History
    memory_mb : int
    loading : Loading
    """

    def __init__(self, nursery, history, memory_mb, loading):
        self.nursery = nursery
        self.history = history
        self.memory_mb = memory_mb
        self.loading = loading
        self.held = {}
        self.scopes = set()
        self.peak_mb = 0

    def used_mb(self):
        """Return the memory that is taken, megabytes."""
        return sum(replica.memory_mb for replica in self.held.values())

    def find(self, name):
        """Return a loaded replica of a model, or None."""
        for replica in self.held.values():
            if replica.name == name and replica.state == LOADED:
                if not replica.base or self.find(replica.base):
                    return replica
        return None

    def stop(self):
        """End every load and unload under way; forget all models."""
        for scope in self.scopes:
            scope.cancel()
        for replica in self.held.values():
            self._note("dropped", replica)
        self.held.clear()

    def load(self, name, version, base, memory_mb):
        """Begin a load, unless the model is there or on its way."""
        replica = self.held.get((name, version))
        if replica is not None and replica.state != FAILED:
            replica.again = replica.state == UNLOADING
            return
        size_mb = self.loading.sizes.get(name, memory_mb)
        replica = Replica(name, version, base, size_mb)
        self.held[name, version] = replica
        self._judge(replica)
        self.nursery.start_soon(self._task, self._load, replica)

    def unload(self, name, version):
        """Begin an unload, of one version or of all."""
        for replica in list(self.held.values()):
            if replica.name != name or version not in ("", replica.version):
                continue
            if replica.state == FAILED:
                del self.held[replica.name, replica.version]
            elif replica.state != UNLOADING:
                replica.state = UNLOADING
                self.nursery.start_soon(self._task, self._unload, replica)
            replica.again = False

    def _judge(self, replica):
        used = self.used_mb()
        self.peak_mb = max(self.peak_mb, used)
        self._note("load", replica)
        if used > self.memory_mb:
            self.history.violate(
                "overcommit",
                model=replica.name,
                used_mb=used,
                memory_mb=self.memory_mb,
            )

    async def _task(self, step, replica):
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                await step(replica)
            finally:
                self.scopes.discard(scope)

    async def _load(self, replica):
        cfg = self.loading
        fails = cfg.fail_loads > 0
        cfg.fail_loads -= fails
        took_s = cfg.load_s + replica.memory_mb / cfg.mb_per_s
        pulled = await self._pull(replica)
        await trio.sleep(took_s / 2 if fails else took_s)
        if replica.state != LOADING:
            return
        if fails or not pulled or not self._has_base(replica):
            replica.state = FAILED
            replica.memory_mb = 0
            self._note("load_failed", replica)
            return
        cfg.cached.add(replica.name)
        replica.state = LOADED
        self._note("loaded", replica)

    def _has_base(self, replica):
        return not replica.base or self.find(replica.base) is not None

    async def _pull(self, replica):
        if not self.loading.weights or replica.name in self.loading.cached:
            return True
        body = {
            "model": replica.name,
            "size_mb": replica.memory_mb,
            "kind": "adapter" if replica.base else "weights",
        }
        url = f"http://{self.loading.weights}/weights/pull"
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                reply = await pool.request(
                    "POST", url, content=json.dumps(body).encode()
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return False
        return reply.status == OK

    async def _unload(self, replica):
        self._note("unload", replica)
        for other in list(self.held.values()):
            if other.base == replica.name:
                self.unload(other.name, other.version)
        await trio.sleep(self.loading.unload_s)
        while replica.running:
            await trio.sleep(POLL_S)
        del self.held[replica.name, replica.version]
        self._note("unloaded", replica)
        if replica.again:
            self.load(
                replica.name,
                replica.version,
                replica.base,
                replica.memory_mb,
            )

    def _note(self, kind, replica):
        self.history.add(
            kind,
            model=replica.name,
            version=replica.version,
            used_mb=self.used_mb(),
        )
