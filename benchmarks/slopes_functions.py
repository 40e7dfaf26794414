"""Costs of single steps, done in this process at the letter's size."""

import json
import time

from dogwoodwheel.membership import assignment
from dogwoodwheel.membership import failure_detection
from dogwoodwheel.membership import rows
from dogwoodwheel.membership import view
from dogwoodwheel.placement import records
from dogwoodwheel.stores import table_store
from dogwoodwheel.stores import vms

__all__ = ["run"]

ENTRIES = 360
PARTITIONS = 4096
ENDPOINTS = 4900
REPLICAS = 8
RUNS = 5
POLICY = f"entries={ENTRIES}"


def run(rep):
    """Measure scans, the view and rendezvous at the letter's size."""
    entries = _entries()
    _scan_of_entries(rep, entries)
    _list_of_vms(rep, list(entries))
    _scan_of_endpoints(rep)
    _timed(
        rep,
        "decider_of",
        lambda: _fresh(entries).decider_of("model-1"),
        20,
    )
    _timed(rep, "holders", lambda: _fresh(entries).holders, 5)
    live = frozenset(entries)
    mine = entries["entry-0"]
    _timed(rep, "to_hand", lambda: assignment.plan_hand_over(mine, live), 5)
    overdue = entries["entry-1"]
    _timed(
        rep,
        "to_take",
        lambda: assignment.plan_take_over(overdue, live, "entry-0", True),
        5,
    )


def _fresh(entries):
    return view.View("entry-0", 1, None, entries, frozenset(entries))


def _entries():
    names = [f"entry-{index}" for index in range(ENTRIES)]
    shares = {name: {} for name in names}
    holdings = {name: {} for name in names}
    for part in range(PARTITIONS):
        shares[assignment.assigned_entry("share", part, names)][part] = 3
        holder = assignment.assigned_entry("holding", part, names)
        holdings[holder][part] = view.Holding(3)
    return {
        name: view.Entry(
            name=name,
            zone="zone-a",
            incarnation="1733000000000.0123456789abcdef",
            peer="10.0.0.1:7000",
            public=("10.0.0.1:80", "10.0.0.1:81"),
            shares=shares[name],
            holdings=holdings[name],
            row_version=1000,
        )
        for name in names
    }


def _scan_of_entries(rep, entries):
    found = [
        _shown(rows.write_entry(entry, 1000)) for entry in entries.values()
    ]
    data = json.dumps({"rows": found})
    rep.figure(POLICY, "entries_scan", len(data), "bytes", 1)

    def read():
        return [rows.entry_of(row) for row in _rows(data)]

    _timed(rep, "entries_scan", read, 5)


def _list_of_vms(rep, names):
    names = [*names, *(f"worker-{index}" for index in range(ENDPOINTS))]
    shown = [{"name": name, "state": "live"} for name in names]
    data = json.dumps({"vms": shown})
    rep.figure(POLICY, "vm_list", len(data), "bytes", 1)
    presence = failure_detection.Presence()

    def read():
        listed = [
            vms.Vm(item["name"], item["state"])
            for item in json.loads(data)["vms"]
        ]
        presence.record_list(listed, "entry-0", names, 0.0)
        return presence.leaving(0.0, 15.0)

    _timed(rep, "vm_list", read, 5)


def _scan_of_endpoints(rep):
    found = [_shown(_endpoint_write(index)) for index in range(ENDPOINTS)]
    data = json.dumps({"rows": found})
    rep.figure(POLICY, "endpoints_scan", len(data), "bytes", 1)

    def read():
        return [records.EndpointRecord.from_row(row) for row in _rows(data)]

    _timed(rep, "endpoints_scan", read, 1)


def _endpoint_write(index):
    replicas = {
        name: records.Replica(name, "1", 100, records.LOAD, change="0" * 32)
        for name in (f"model-{index}-{one}" for one in range(REPLICAS))
    }
    record = records.EndpointRecord(f"worker-{index}", 1, replicas, epoch=3)
    return table_store.Write(records.ENDPOINTS, record.name, record.to_value())


def _shown(write):
    return {
        "key": write.key,
        "version": 1000,
        "change": "0" * 32,
        "value": write.value,
    }


def _rows(data):
    return [
        table_store.Row(
            "t", row["key"], row["version"], row["change"], row["value"]
        )
        for row in json.loads(data)["rows"]
    ]


def _timed(rep, name, function, times):
    for number in range(1, RUNS + 1):
        began_s = time.process_time()
        for _ in range(times):
            function()
        spent_ms = 1000 * (time.process_time() - began_s) / times
        rep.figure(POLICY, name, spent_ms, "cpu_ms", number)
