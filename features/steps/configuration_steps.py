"""Steps about versions of the configuration."""

from behave import given
from behave import then
from behave import when

from features.standins import process
from features import watch


def watched(context):
    """Return the watch of this scene's processes, begun once."""
    if getattr(context, "watch", None) is None:
        addresses = {}
        for name, entry in context.fleet.entries.items():
            addresses[name] = entry.admin
            for index, address in enumerate(entry.admins):
                addresses[f"{name}-gateway-{index}"] = address
        context.watch = watch.VersionWatch(addresses)
        context.add_cleanup(context.watch.stop)
        context.watch.start()
    return context.watch


def accept(context):
    """Publish the text with a harmless change."""
    model = f"model-{context.fleet.version + 1}"
    context.scene.text.model(model, "lm")
    context.scene.publish()


@when("a new version is accepted")
def step_accept(context):
    watched(context)
    accept(context)


@when("{count:d} new versions are accepted")
def step_accept_many(context, count):
    watched(context)
    for _ in range(count):
        accept(context)


@then("it is in force at each entry within {seconds:d} s")
def step_in_force(context, seconds):
    shown = watched(context)
    process.wait_for(
        lambda: all(
            shown.status(name).get("version") == context.fleet.version
            for name in shown.addresses
        ),
        seconds,
        f"version {context.fleet.version} at {sorted(shown.addresses)}",
    )


@then("no entry forgets the newest version while they do")
def step_not_forgotten(context):
    before = reads(context)
    process.wait_for(lambda: reads(context) > before + 60, 30.0, "60 reads")
    shown = watched(context)
    for name in shown.addresses:
        version = shown.status(name).get("version")
        assert version == context.fleet.version, (name, version)


def reads(context):
    """Return how often the accepted version was read."""
    return context.fleet.platform.call("counters")["reads"]["config"]


@then('"{name}" has the newest version within {seconds:d} s')
def step_has_newest(context, name, seconds):
    shown = watched(context)
    process.wait_for(
        lambda: shown.status(name).get("version") == context.fleet.version,
        seconds,
        f"version {context.fleet.version} at {name}",
    )


@then("no entry ever showed an older version after a newer one")
def step_never_back(context):
    assert watched(context).seen, "nothing was watched"
    back = watched(context).steps_back()
    assert not back, {name: watched(context).seen[name] for name in back}


@given('zone "{zone}" is declared out')
def step_declared_out(context, zone):
    context.scene.text.change("zones", zone, state="out")
