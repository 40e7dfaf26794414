"""Steps about the product's tables in the platform's store."""

import functools

from behave import given
from behave import then
from behave import when
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.platform import tables
from dogwoodwheel.stores import object_store
from dogwoodwheel.stores import table_store
from dogwoodwheel.stores import vms
from features import fleet

TABLE = "plans"
KEY = "m0"
UNREADABLE = {"text": "no json", "list": "[1]", "bare": '{"change": ""}'}


@given("tables in a store of the platform")
def step_store(context):
    context.fleet = fleet.Fleet()
    context.add_cleanup(context.fleet.stop)


def run(func, *args):
    """Run an asynchronous function with a client of its own."""
    return trio.run(functools.partial(func, *args))


def put(context, value, version):
    """Write the row; return the version that it has then."""
    check = table_store.ExpectedVersion(TABLE, KEY, version)
    write = table_store.Write(TABLE, KEY, value)
    return run(
        table_store.commit_with_retries, fresh(context), [check], [write]
    )


def read(context, key=KEY):
    """Return a row."""
    return run(fresh(context).read, TABLE, key)


def fresh(context):
    """Return tables whose connections no earlier run has used."""
    return tables.open_stores(context.fleet.platform_address)[0]


@when("a row is written, and written again with that version")
def step_write_twice(context):
    context.first = put(context, {"at": "w0"}, 0)
    context.second = put(context, {"at": "w1"}, context.first)


@then("each write tells a later version, and the row has the last one")
def step_versions(context):
    assert 0 < context.first < context.second
    row = read(context)
    assert (row.version, row.value) == (context.second, {"at": "w1"}), row


@then("a write with the first version is refused")
def step_refused(context):
    try:
        put(context, {"at": "w2"}, context.first)
    except exceptions.ConflictError:
        assert read(context).value == {"at": "w1"}
        return
    raise AssertionError("it took effect")


@when("the store loses a reply and a row is written")
def step_lose(context):
    context.fleet.platform.call("outage", mode="lose", count=1)
    context.told = put(context, {"at": "w0"}, 0)


@then("the row has the version that the write told")
def step_learnt(context):
    row = read(context)
    assert (row.version, row.value) == (context.told, {"at": "w0"}), row


@when("a table has a row of ours and rows that cannot be read")
def step_unreadable(context):
    put(context, {"at": "w0"}, 0)
    for key, value in UNREADABLE.items():
        context.fleet.platform.call("put", table=TABLE, key=key, value=value)


@then("a scan returns the row of ours")
def step_scanned(context):
    found = run(fresh(context).scan, TABLE)
    assert [(row.key, row.value) for row in found] == [(KEY, {"at": "w0"})]


@then("reading one of the others tells which it is")
def step_told(context):
    for key in UNREADABLE:
        try:
            read(context, key)
        except exceptions.PlatformError as exc:
            assert f"row {key} of table {TABLE}" in str(exc), exc
        else:
            raise AssertionError(f"{key} was read")


@when("a row is written and deleted")
def step_delete(context):
    version = put(context, {"at": "w0"}, 0)
    put(context, None, version)


@then("it is absent, and can be written as new")
def step_absent(context):
    row = read(context)
    assert (row.version, row.value) == (0, {}), row
    assert put(context, {"at": "w1"}, 0)


@when("an object is stored and its bytes are changed")
def step_object(context):
    store = tables.open_stores(context.fleet.platform_address)[1]
    context.digest = run(store.put, b"text")
    other = tables.open_stores(context.fleet.platform_address)[1].store
    run(other.put_object, context.digest, b"another text")


@then("reading it tells that it is damaged")
def step_damaged(context):
    assert context.digest == object_store.digest_of(b"text")
    store = tables.open_stores(context.fleet.platform_address)[1]
    try:
        run(store.get, context.digest)
    except exceptions.PlatformError as exc:
        assert "damaged" in str(exc), exc
    else:
        raise AssertionError("it was returned")


@when("the list of VMs names a live VM, a leaving one and a lost one")
def step_list(context):
    states = {"e0": "live", "w0": "leaving", "w1": "lost"}
    listed = [{"name": n, "state": s} for n, s in states.items()]
    context.fleet.platform.call("vms", vms=listed)


@then("the live and the leaving one are listed")
def step_listed(context):
    found = run(vms.VmTable(fresh(context)).list)
    expected = (vms.Vm("e0", vms.LIVE), vms.Vm("w0", vms.LEAVING))
    assert found == expected, found
