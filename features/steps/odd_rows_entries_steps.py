"""Steps about entries that meet rows of another writer."""

import dataclasses
import json
import socket
import time

from behave import then
from behave import when

from dogwoodwheel.entry import datagrams
from features import entry_builders
from features import odd_values
from features.standins import process

ASKED = 12


def put(context, table, key, value):
    """Write a row as another writer does."""
    context.fleet.store.call("put", table=table, key=key, value=value)


def odd_registrations():
    """Return values of odd registrations by key."""
    texts = {
        name: odd_values.registration_with(*field)
        for name, field in odd_values.FIELDS.items()
    }
    for name, text in odd_values.MODELS.items():
        texts[name] = odd_values.registration_with("models", text)
    texts.update(odd_values.BYTES)
    return {
        f"odd-{n}": value
        for n, value in enumerate(texts.values())
        if value.isascii()
    }


def askers(context, path):
    """Return the workers that answer some requests."""
    names = set()
    for _ in range(ASKED):
        answer = context.fleet.ask("one", path)
        assert answer.status == 200, answer
        names.add(answer.headers["x-server-seal"].partition(".")[2])
    return names


def same_process(context, name):
    """Check that an entry runs since its start."""
    proc = context.fleet.proc(name)
    assert proc.running(), context.fleet.tails()
    assert len(context.fleet.log(name, "start")) == 1


@when("odd registrations stand in the list")
def step_odd(context):
    for key, value in odd_registrations().items():
        put(context, "servers", key, value.decode())


@when('the worker "{name}" registers')
def step_registers(context, name):
    context.fleet.add_worker(name, "plain")


@when('the worker "{name}" leaves the list')
def step_leaves(context, name):
    context.fleet.unregister(name)


@then('within {s:g} s "{path}" is answered by "{name}" at times')
def step_answered_by(context, s, path, name):
    process.wait_for(
        lambda: name in askers(context, path), s, f"an answer of {name}"
    )


@then('within {s:g} s "{path}" is no longer answered by "{name}"')
def step_not_answered_by(context, s, path, name):
    time.sleep(s)
    assert name not in askers(context, path)


@when(
    'the reports of "{one}" and "{two}" are odd in many ways, and then sound'
)
def step_odd_reports(context, one, two):
    values = [
        odd_values.report_with(*field)
        for field in odd_values.REPORT_FIELDS.values()
    ]
    values += odd_values.BYTES.values()
    for value in values:
        if not value.isascii() or not value:
            continue
        sent = {}
        for name in (one, two):
            set_report(context, name, value.decode())
            sent[name] = len(context.fleet.history(name, "odd_report"))
        process.wait_for(
            lambda: all(
                len(context.fleet.history(name, "odd_report")) > count
                for name, count in sent.items()
            ),
            what="an odd report of each engine",
        )
    for name in (one, two):
        set_report(context, name, "")


def set_report(context, name, text):
    """Let an engine send a text instead of its report."""
    context.fleet.workers[name].call("set", odd_report=text)


@then('within {s:g} s a stream of "{model}" is served')
def step_served(context, s, model):
    process.wait_for(
        lambda: context.fleet.stream("one", model=model).status == 200, s
    )


@then('"{name}" is the same process')
def step_same(context, name):
    same_process(context, name)


@then('"{name}" is the same process, and has logged the odd registrations')
def step_same_logged(context, name):
    same_process(context, name)
    lines = context.fleet.log(name, "endpoints: malformed")
    assert 10 <= len(lines) <= 20, lines


@when("odd rows stand in the operator's table")
def step_odd_operator(context):
    for number, value in enumerate(odd_values.BYTES.values()):
        if value.isascii():
            put(context, "op", f"other-{number}", value.decode())
            put(context, "op", f"evacuate/zone {number}\n", value.decode())
            put(context, "op", "config", value.decode())
    for path, value in odd_values.CONFIG_FIELDS.values():
        value = odd_values.config_with(path, value)
        put(context, "op", "config", value.decode())
    # The poll that brings the last of these rows takes a moment.
    time.sleep(1.0)


@when('the operator removes the route of "{prefix}"')
def step_remove_route(context, prefix):
    body = json.loads(entry_builders.config_body())
    routes = [r for r in body["routes"] if r["prefix"] != prefix]
    context.fleet.configure(2, routes=routes)


@then('within {s:g} s "{path}" is answered {status:d}')
def step_answered_within(context, s, path, status):
    process.wait_for(
        lambda: context.fleet.ask("one", path).status == status, s
    )


@when("odd rows stand among those of the peers")
def step_odd_peers(context):
    for number, value in enumerate(odd_values.BYTES.values()):
        if value.isascii():
            put(context, "entries", f"odd-{number}", value.decode())


@when('odd datagrams arrive at "{name}"')
def step_odd_datagrams(context, name):
    fields = context.fleet.entries[name][1]
    port = int(fields["portRange"].partition(",")[0])
    sent = list(odd_values.datagrams().values())
    for field, value in odd_values.HEARTBEAT_FIELDS.values():
        heartbeat = dataclasses.replace(
            entry_builders.heartbeat("odd"), **{field: value}
        )
        sent.append(datagrams.encode(heartbeat))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for datagram in sent:
            sock.sendto(datagram, (fields["ip"], port))
            # A full buffer of the socket would drop the next.
            time.sleep(0.02)
    time.sleep(1.0)


@then('the directory of "{name}" still names {count:d} entries')
def step_directory(context, name, count):
    assert len(context.fleet.directory(name)) == count
