"""Ledgers of several entries, wired in one process."""

import dataclasses
import random

import trio

from dogwoodwheel.customers import ledger
from dogwoodwheel.declaration import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.wire import messages

__all__ = ["MemoryFleet", "ask", "declare"]

ROUND_TRIP_S = 0.0015


class Port:
    """What one entry's ledger sees of the fleet."""

    def __init__(self, fleet, me, incarnation):
        self.fleet = fleet
        self.me = me
        self.incarnation = incarnation

    @property
    def view(self):
        """The fleet as this entry knows it."""
        return dataclasses.replace(self.fleet.view, me=self.me)

    async def call(self, entry, msg, timeout_s):
        """Call a peer; raises `PeerError` as the real fleet does."""
        with trio.move_on_after(timeout_s):
            return await self.fleet.carry(self.me, entry, msg)
        raise exceptions.PeerError(f"no reply from {entry}; retry")

    def gone(self, entry, incarnation):
        """Tell whether a process is proved gone."""
        return (entry, incarnation) in self.fleet.gone


class MemoryFleet:
    """Some entries, and the messages between them.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.datatypes.Declaration
    names : sequence of str
    seed : int

    Attributes
    ----------
    down : set of str
        Entries that neither take nor send messages.
    lose : callable
        ``lose(msg, is_reply)`` tells whether a message is lost.
    calls : int
        Messages carried, without their replies.
    """

    def __init__(self, declaration, names, seed=1):
        self.declaration = declaration
        self.rng = random.Random(seed)
        self.down = set()
        self.gone = set()
        self.lose = lambda msg, is_reply: False
        self.calls = 0
        self.ledgers = {}
        entries = {name: _entry(name) for name in names}
        self.view = view.View("", 1, declaration, entries, frozenset(names))
        for name in names:
            self.start(name)
        for number in range(declaration.partitions):
            self.give(names[number % len(names)], [number], full=True)

    def start(self, name):
        """Start an entry's process anew; it holds nothing."""
        old = self.view.entries[name]
        incarnation = f"{name}-{int(old.incarnation or 0) + 1}"
        self._replace(name, incarnation=incarnation.split("-")[-1], shares={})
        port = Port(self, name, self.view.entries[name].incarnation)
        rng = random.Random(self.rng.random())
        self.ledgers[name] = ledger.Ledger(port, trio.current_time, rng)
        self.ledgers[name].configure(self.declaration)

    def give(self, name, partitions, full=False):
        """Give partitions to an entry."""
        shares = {number: 1 for number in partitions}
        held = {**self.view.entries[name].shares, **shares}
        self._replace(name, shares=held)
        self.ledgers[name].add_partitions(shares, full)

    def take(self, name, partitions):
        """Take partitions from an entry; return what moves with them."""
        shares = self.view.entries[name].shares
        left = {k: v for k, v in shares.items() if k not in partitions}
        self._replace(name, shares=left)
        return self.ledgers[name].remove_partitions(partitions)

    async def carry(self, sender, receiver, msg):
        """Carry a message and its reply; a lost one never returns."""
        self.calls += 1
        await trio.sleep(ROUND_TRIP_S / 2)
        if {sender, receiver} & self.down or self.lose(msg, False):
            await trio.sleep_forever()
        reply = self._handle(receiver, msg)
        await trio.sleep(ROUND_TRIP_S / 2)
        if {sender, receiver} & self.down or self.lose(msg, True):
            await trio.sleep_forever()
        return reply

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the background work of all ledgers that there are now."""
        async with trio.open_nursery() as nursery:
            for one in self.ledgers.values():
                await nursery.start(one.run)
            task_status.started()

    def states(self, customer):
        """Return the `State` of a customer at each entry."""
        return [
            state
            for one in self.ledgers.values()
            for state in one.accounts.states()
            if state.customer == customer
        ]

    def _handle(self, receiver, msg):
        if isinstance(msg, messages.Borrow):
            return self.ledgers[receiver].on_borrow(msg)
        return self.ledgers[receiver].on_repay(msg)

    def _replace(self, name, **changes):
        entry = dataclasses.replace(self.view.entries[name], **changes)
        entries = {**self.view.entries, name: entry}
        self.view = dataclasses.replace(self.view, entries=entries)


def _entry(name):
    return view.Entry(name, "zone-a", "", f"{name}:1", ())


def declare(*customers, partitions=64):
    """Return a declaration of some customers and nothing else."""
    return datatypes.Declaration(
        zones={},
        services={},
        endpoints={},
        models={},
        adapters={},
        customers={customer.name: customer for customer in customers},
        classes={},
        partitions=partitions,
    )


def ask(customer, prompt, limit=0, name="frames", deadline_s=30.0):
    """Return a request's `Ask`; with ``name`` empty, a service's call."""
    return messages.Ask(
        0, customer, "svc", name, "normal", prompt, limit, deadline_s
    )
