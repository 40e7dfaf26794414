"""Steps that several features share: scenes, cuts, pauses, outages."""

from behave import given
from behave import when

from features import scenes
from features.standins import process

READY_S = 30.0


def begin(context, **options):
    """Begin a scene."""
    context.scene = scenes.Scene(**options)
    context.fleet = context.scene.fleet


@given("a scene of {entries:d} entries")
def step_scene(context, entries):
    begin(context, entries=entries)


@given("a scene of {entries:d} entries behind the proxy")
def step_proxied_scene(context, entries):
    begin(context, entries=entries, proxied=True)


@given("a scene of {entries:d} entries and {engines:d} engines")
def step_engine_scene(context, entries, engines):
    begin(context, entries=entries, engines=engines)


@given(
    "a scene of {entries:d} entries and {engines:d} engines behind the proxy"
)
def step_proxied_engine_scene(context, entries, engines):
    begin(context, entries=entries, engines=engines, proxied=True)


@given("the scene runs")
def step_run(context):
    context.scene.start()


@when('the link from "{name}" to the platform is cut')
def step_cut_platform(context, name):
    context.fleet.fault(name, "platform", mode="cut")


@when('entry "{name}" is cut off from the platform and its peers')
def step_cut_all(context, name):
    context.fleet.fault(name, "platform", mode="cut")
    context.scene.set_peers(name, "cut")


@when('entry "{name}" is joined again')
def step_join(context, name):
    context.fleet.fault(name, "platform", mode="pass")
    context.scene.set_peers(name, "pass")


@when('entry "{name}" is paused')
def step_pause(context, name):
    context.fleet.entries[name].freeze()


@when('entry "{name}" goes on')
def step_go_on(context, name):
    context.fleet.entries[name].resume()


@when('entry "{name}" is killed')
def step_kill(context, name):
    context.fleet.entries[name].kill()


@when('entry "{name}" is killed and started again')
def step_kill_start(context, name):
    entry = context.fleet.entries[name]
    entry.kill()
    entry.start()
    process.wait_for(entry.ready, READY_S, f"{name} to be ready")


@when('the coordinator of "{name}" is killed and started again')
def step_restart_coordinator(context, name):
    coordinator = context.fleet.entries[name].coordinator
    coordinator.kill()
    coordinator.start()


@when('entry "{name}" is gone from the list of VMs')
def step_vm_gone(context, name):
    context.fleet.set_vms(gone=[name])


@when("the platform falls silent")
def step_silent(context):
    context.fleet.platform.call("outage", mode="hang")


@when("the next {count:d} reads of the configuration return older copies")
def step_stale(context, count):
    context.fleet.platform.call("stale", count=count, table="config")
