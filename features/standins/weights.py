"""The stand-in of the platform's weight store and of adapter loads."""

import trio

__all__ = ["WeightStore"]

TICK_S = 0.005
ADAPTER = "adapter"


class WeightStore:
    """Limits of pulls.

    Notes
    -----
    Pulls start at most at ``loads_per_s``.  Up to ``parallel`` of them
    run at full speed; beyond that all slow down in proportion.  Adapters
    have their own limit, ``parallel_adapters``.
    """

    def __init__(self):
        self.loads_per_s = 100.0
        self.parallel = 4
        self.mb_per_s = 100_000.0
        self.adapter_s = 0.005
        self.parallel_adapters = 32
        self.slow = 1.0
        self.next_start = 0.0
        self.active = {False: 0, True: 0}
        self.peak = {False: 0, True: 0}
        self.pulls = {}

    def limits(self, **limits):
        """Set limits by name and return all of them."""
        names = (
            "loads_per_s",
            "parallel",
            "mb_per_s",
            "adapter_s",
            "parallel_adapters",
            "slow",
        )
        for name, value in limits.items():
            if name not in names:
                raise ValueError(f"no limit {name}; use {names}")
            setattr(self, name, value)
        return {name: getattr(self, name) for name in names}

    def counters(self):
        """Return the pulls by model and the most that ran at once."""
        return {
            "pulls": self.pulls,
            "peak": self.peak[False],
            "peak_adapters": self.peak[True],
        }

    async def pull(self, model, size_mb, kind="weights"):
        """Take as long as the limits say."""
        adapter = kind == ADAPTER
        self.pulls[model] = self.pulls.get(model, 0) + 1
        if not adapter:
            await self._start()
        self.active[adapter] += 1
        self.peak[adapter] = max(self.peak[adapter], self.active[adapter])
        try:
            await self._transfer(adapter, size_mb)
        finally:
            self.active[adapter] -= 1

    async def _start(self):
        now = trio.current_time()
        start = max(now, self.next_start)
        self.next_start = start + 1 / self.loads_per_s
        await trio.sleep(start - now)

    async def _transfer(self, adapter, size_mb):
        left_s = self.adapter_s if adapter else size_mb / self.mb_per_s
        while left_s > 0:
            tick_s = min(TICK_S, left_s * self._slowness(adapter))
            await trio.sleep(tick_s)
            left_s -= tick_s / self._slowness(adapter)

    def _slowness(self, adapter):
        limit = self.parallel_adapters if adapter else self.parallel
        return self.slow * max(1.0, self.active[adapter] / limit)
