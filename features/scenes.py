"""Whole fleets that several features start from."""

import itertools
import threading
import time

from features import builders
from features import fleet as fleets

__all__ = ["MODELS", "SHOP", "Load", "Scene", "held_under"]

MODELS = "lm"
SHOP = "shop"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
ORDERS = {"method": "POST", "path": "/orders"}
STOCK = {"method": "GET", "path": "/stock"}


class Scene:
    """A fleet with engines and a plain service, and its text.

    Parameters
    ----------
    entries, engines, shops : int
        Spread over four availability zones in turn.
    proxied : bool
        Whether every dialing passes the fault proxy.
    lag_s : float
        Lag of the platform's list of VMs, as declared.

    Attributes
    ----------
    kept : dict
        Connections that stay open, by entry and key.
    """

    def __init__(
        self, entries=3, engines=2, shops=1, proxied=False, lag_s=3.0
    ):
        self.fleet = fleets.Fleet()
        self.kept = {}
        self.text = builders.TextBuilder()
        self.text.rest["vm_list_lag_s"] = lag_s
        self.text.models(MODELS)
        self.text.plain(
            SHOP, once_routes=[ORDERS], open_routes=[STOCK], call_tokens=1
        )
        for zone in ZONES:
            self.text.zone(zone)
        zones = itertools.cycle(ZONES)
        for index in range(engines):
            self._engine(f"w{index}", next(zones))
        for index in range(shops):
            self._shop(f"s{index}", next(zones))
        zones = itertools.cycle(ZONES)
        for index in range(entries):
            self.fleet.add_entry(f"e{index}", next(zones))
        self.text.customer("frost")
        self.text.model("frames", MODELS, max_replicas=max(1, engines))
        if proxied:
            self.fleet.link_all()

    def start(self):
        """Publish the text and wait until all entries are ready."""
        self.fleet.set_vms()
        self.publish()
        self.fleet.start()
        self.fleet.wait_ready()

    def publish(self):
        """Publish the text as it is now; return its version."""
        return self.fleet.publish(self.text.text())

    def set_peers(self, name, mode):
        """Set the links between an entry and its peers, both ways."""
        for other in self.fleet.entries:
            if other != name:
                self.fleet.fault(name, other, mode=mode)
                self.fleet.fault(other, name, mode=mode)

    def _engine(self, name, zone):
        engine = self.fleet.add_engine(name, concurrency=8, fresh=2)
        self.text.endpoint(
            name,
            MODELS,
            zone,
            engine.address,
            memory_mb=1000,
            concurrency=8,
            fresh_concurrency=2,
            fencing=True,
        )

    def _shop(self, name, zone):
        shop = self.fleet.add_service(name)
        self.text.endpoint(
            name,
            SHOP,
            zone,
            shop.address,
            concurrency=64,
            fresh_concurrency=64,
        )


class Load:
    """Requests at an even pace from threads, until stopped.

    Parameters
    ----------
    send : callable
        ``send(index)`` sends one request and returns its reply.
    rate : float
        Requests a second.
    """

    def __init__(self, send, rate):
        self.send = send
        self.rate = rate
        self.replies = []
        self._ended = threading.Event()
        self._threads = []
        self._pacer = threading.Thread(target=self._pace)

    def start(self):
        """Begin."""
        self._pacer.start()
        return self

    def wait(self, seconds):
        """Let it go on for some time."""
        self._ended.wait(max(0, seconds))

    def stop(self):
        """End, and return the replies once all have come."""
        self._ended.set()
        self._pacer.join()
        for thread in self._threads:
            thread.join()
        return self.replies

    def _pace(self):
        began = time.monotonic()
        for index in itertools.count():
            # Open loop: a slow reply does not hold up the next request.
            left_s = began + index / self.rate - time.monotonic()
            if self._ended.wait(max(0, left_s)):
                return
            thread = threading.Thread(target=self._one, args=(index,))
            thread.start()
            self._threads.append(thread)

    def _one(self, index):
        self.replies.append(self.send(index))


def held_under(times, rate, burst, slack_s):
    """Return the worst excess over a rate and burst, over all windows.

    Parameters
    ----------
    times : sequence of float
        When one token each was used, seconds.
    rate, burst : float
    slack_s : float
        Longest time between a charge and its use.

    Returns
    -------
    float
        Tokens above what is allowed; at most 0 where it is held.

    Examples
    --------
    >>> held_under([0, 0, 0, 1], rate=1, burst=3, slack_s=0)
    0
    """
    times = sorted(times)
    worst = -burst
    # The level of a leaky bucket is the worst window's excess so far.
    level, last = 0.0, None
    for now in times:
        if last is not None:
            level = max(0, level - rate * (now - last))
        level += 1
        last = now
        worst = max(worst, level - burst - rate * slack_s)
    return worst
