"""Entries that follow a store which is restored, on a test's clock."""

import types

import trio
import trio.testing

from dogwoodwheel.engines import http
from dogwoodwheel.entry import components as components_module
from dogwoodwheel.entry import membership
from dogwoodwheel.entry import watchers
from dogwoodwheel.platform import operator_table
from dogwoodwheel.platform import registrations
from dogwoodwheel.programs import metrics as metrics_module
from features import datagram_net
from features import entry_builders
from features.standins import rows as rows_module
from features import store_replay

__all__ = ["DRAIN_S", "Entry", "RestoredFleet"]

DRAIN_S = 2.0
REGISTRATION_S = 1.2
TICK_S = 0.02
# An earlier moment at which the copies of the store begin.
SETTLED_S = 3.0


class Entry:
    """One entry: its client of the store, and the tasks that follow it."""

    def __init__(self, name, rows, net, zone="zone-a"):
        self.cfg = entry_builders.settings(name, zone=zone, drain_s=DRAIN_S)
        self.store, self.http_client = store_replay.open_store(rows)
        self.components = components_module.Components.from_settings(
            self.cfg, http.HttpClient(), metrics_module.Metrics()
        )
        self.fleet_state = self.components.fleet_state
        self.member = membership.Member(
            self.components, self.store, f"{name}-one"
        )
        self.member.lease = types.SimpleNamespace(claim=lambda: None)
        self.member.leader_role = types.SimpleNamespace(
            loaded_models_by_engine=lambda brief: {}
        )
        self.heartbeats = self.components.heartbeats
        self.heartbeats.compose = self.member.compose
        self.heartbeats.on_heartbeat = self.member.receive_heartbeat
        self.heartbeats._sock = net.sockets[self.cfg.peers] = (
            datagram_net.Socket(net)
        )
        self.endpoint_watcher = watchers.EndpointWatcher(
            self.store, self.fleet_state, self.heartbeats, self.cfg
        )

        self.operator_watcher = watchers.OperatorWatcher(
            self.store, self.fleet_state, self.heartbeats
        )

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.heartbeats.run)
            nursery.start_soon(self.member.run)
            nursery.start_soon(self.endpoint_watcher.run)
            nursery.start_soon(self.operator_watcher.run)

    def usable(self):
        """Return the names of the endpoints that may get requests."""
        return {
            tracked.endpoint.id
            for tracked in self.fleet_state.usable_endpoints("models")
        }


class RestoredFleet:
    """Entries, a store that is restored, endpoints and an operator.

    Attributes
    ----------
    registered : dict of str to dict
        By endpoint: what it writes of itself now; it repeats that every
        `REGISTRATION_S`.  Endpoints that left are missing.
    """

    def __init__(self, count):
        self.count = count
        self.rows = None
        self.entries = []
        self.registered = {}

    def run(self, story):
        """Play an asynchronous function once the fleet has settled."""
        trio.run(
            self._main,
            story,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    async def _main(self, story):
        self.rows = rows_module.Rows(trio.current_time)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.net = datagram_net.Net(nursery, 0.0)
            self.configure(1)
            for name in ("i-1", "i-2", "i-3"):
                self.register(name)
            nursery.start_soon(self._register_periodically)
            for n in range(self.count):
                self.start_entry(f"entry-{n}")
            addresses = [entry.cfg.peers for entry in self.entries]
            for entry in self.entries:
                entry.heartbeats.add_contacts(addresses)
            await trio.sleep(SETTLED_S)
            await story(self)
            nursery.cancel_scope.cancel()

    def start_entry(self, name):
        """Start a further entry and return it."""
        entry = Entry(name, self.rows, self.net)
        entry.heartbeats.add_contacts(e.cfg.peers for e in self.entries)
        self.entries.append(entry)
        self.nursery.start_soon(entry.run)
        return entry

    def register(self, name, **fields):
        """Write the registration of an endpoint, and keep writing it."""
        self.registered.setdefault(name, {}).update(
            {"service": "models", "address": "10.0.0.1:80", **fields}
        )
        body = entry_builders.registration_body(**self.registered[name])
        store_replay.write(self.rows, registrations.TABLE, name, body.decode())

    def unregister(self, name):
        """Take the registration of an endpoint away."""
        self.registered.pop(name)
        store_replay.write(self.rows, registrations.TABLE, name, None)

    def configure(self, version, **fields):
        """Write a configuration as the operator does."""
        body = entry_builders.config_body(version, **fields)
        store_replay.write(
            self.rows,
            operator_table.TABLE,
            operator_table.CONFIGURATION_KEY,
            body.decode(),
        )

    def evacuate(self, zone, is_evacuated=True):
        """Evacuate a zone, or take that back."""
        store_replay.write(
            self.rows,
            operator_table.TABLE,
            operator_table.EVACUATION_PREFIX + zone,
            "{}" if is_evacuated else None,
        )

    async def restore(self, age_s, away_s=0.5, rewrite_s=0.6, skipped=None):
        """Let the store be away, and come back from a copy.

        What endpoints wrote is written again after `rewrite_s`.  The store
        does not come back for the entry `skipped`.
        """
        for entry in self.entries:
            entry.http_client.is_cut = True
        await trio.sleep(away_s)
        self.rows.restore(age_s)
        for entry in self.entries:
            entry.http_client.is_cut = entry is skipped
        self.nursery.start_soon(self._rewrite, rewrite_s)

    async def _rewrite(self, rewrite_s):
        await trio.sleep(rewrite_s)
        self.rewrite()

    def rewrite(self):
        """Write again what endpoints wrote, and remove those that left."""
        for row in self.rows.all(registrations.TABLE):
            if row.key not in self.registered:
                store_replay.write(
                    self.rows, registrations.TABLE, row.key, None
                )
        self._write_registrations()

    async def _register_periodically(self):
        while True:
            await trio.sleep(REGISTRATION_S)
            self._write_registrations()

    def _write_registrations(self):
        for name in list(self.registered):
            self.register(name)
