"""Steps about the operators' program."""

import concurrent.futures
import json
import shlex

from behave import given
from behave import then
from behave import when
import yaml

from dogwoodwheel.customers import keys
from dogwoodwheel.declaration import parse
from features import builders
from features import fleet

COMMENT = "# kept comment"
ZONES = 6


def begin(context, endpoints=None):
    """Write the operator's files, and accept a first text."""
    text = builders.TextBuilder().models("lm")
    for i in range(1, ZONES + 1):
        text.zone(f"zone-{i}")
    address = endpoints or "127.0.0.9:1"
    text.endpoint("w1", "lm", "zone-1", address, memory_mb=1000)
    text.model("small", "lm").customer("frost")
    first = f"{COMMENT}\n{text.text()}"
    changed = text.change("customers", "frost", rate=7).text()
    platform = context.fleet.platform_address
    settings = {
        "platform": {"store": platform},
    }
    context.files = {
        "FILE": first,
        "CHANGED": changed,
        "FAULTY": "zones: 3\n",
        "REPARTITIONED": first + "partitions: 8\n",
        "SETTINGS": yaml.safe_dump(settings),
    }
    for name, data in context.files.items():
        (context.fleet.dir / name).write_text(data)
    context.outputs = []
    run(context, "apply FILE --note first")
    assert context.result.returncode == 0, context.result


def command(context, line, settings=True):
    """Return the arguments of a command line; files by their names."""
    words = [
        context.fleet.dir / word if word in context.files else word
        for word in shlex.split(line)
    ]
    if settings:
        words += ["--settings", context.fleet.dir / "SETTINGS"]
    return words


def run(context, line, settings=True):
    """Run the operators' program and keep its result."""
    context.result = context.fleet.cli(*command(context, line, settings))
    context.outputs.append((line, context.result))
    return context.result


def accepted(context):
    """Return the accepted text, as the program shows it."""
    result = context.fleet.cli(*command(context, "show"))
    assert result.returncode == 0, result
    return result.stdout


def at_once(context, lines):
    """Run command lines at once; return their results."""
    with concurrent.futures.ThreadPoolExecutor(len(lines)) as pool:
        return list(
            pool.map(
                lambda line: context.fleet.cli(*command(context, line)),
                lines,
            )
        )


@given("the platform alone, with an accepted text")
def step_platform(context):
    context.fleet = fleet.Fleet()
    begin(context)


@given("each reply of the platform takes {delay:d} ms")
def step_delay(context, delay):
    context.fleet.platform.call("delay", seconds=delay / 1000)


@given("two entries behind the proxy, and an accepted text")
def step_entries(context):
    context.fleet = fleet.Fleet()
    engine = context.fleet.add_engine("w1")
    context.fleet.add_entry("e1", zone="zone-1")
    context.fleet.add_entry("e2", zone="zone-2")
    context.fleet.link_all()
    context.fleet.start()
    begin(context, engine.address)
    context.fleet.wait_ready()


@when('the operator runs "{line}"')
def step_run(context, line):
    if "CURRENT" in line:
        context.files["CURRENT"] = accepted(context)
        path = context.fleet.dir / "CURRENT"
        path.write_text(context.files["CURRENT"])
    run(context, line)


@when('the operator runs "{line}" without settings')
def step_run_bare(context, line):
    run(context, line, settings=False)


@then('the operator runs "{line}" and it exits with {code:d}')
def step_run_exits(context, line, code):
    result = run(context, line)
    assert result.returncode == code, result


@when("two operators apply different texts made from version {base:d} at once")
def step_race(context, base):
    lines = [
        f"apply FILE --by anna --base {base}",
        f"apply CHANGED --by ben --base {base}",
    ]
    # The first text is accepted already, so it needs a change as well.
    other = context.files["FILE"] + "# by anna\n"
    (context.fleet.dir / "FILE").write_text(other)
    context.results = dict(zip(("anna", "ben"), at_once(context, lines)))


@then("one of them wins with version {version:d}")
def step_one_wins(context, version):
    codes = [result.returncode for result in context.results.values()]
    assert sorted(codes) == [0, 3], context.results
    context.winner = next(
        name for name, r in context.results.items() if r.returncode == 0
    )
    shown = context.results[context.winner].stdout
    assert f"version {version} is accepted" in shown, shown


@then("the other exits with {code:d} and is told by whom version {num:d} is")
def step_loser(context, code, num):
    loser = next(n for n in context.results if n != context.winner)
    result = context.results[loser]
    assert result.returncode == code
    assert f"version {num} by {context.winner}" in result.stderr, result
    assert "dogwoodwheel show" in result.stderr, result


@when("{count:d} operators each take one of {zones:d} zones out at once")
def step_edits(context, count, zones):
    lines = [f"zone out zone-{i + 1}" for i in range(count)]
    context.results = dict(zip(lines, at_once(context, lines)))


@then("every operator who exits with 0 finds its zone out")
def step_zones_out(context):
    declaration = parse.parse(accepted(context))
    for line, result in context.results.items():
        state = declaration.zones[line.split()[-1]].state
        assert (state == "out") == (result.returncode == 0), (line, result)
    assert any(r.returncode == 0 for r in context.results.values())


@then("the others exit with {code:d}")
def step_others(context, code):
    codes = {result.returncode for result in context.results.values()}
    assert codes <= {0, code}, context.results


@when("the platform loses the replies to {count:d} {service} writes")
def step_lose(context, count, service):
    context.fleet.platform.call(
        "outage", mode="lose", services=[service], count=count
    )


@when("the platform takes {count:d} table write {delay:d} s late")
def step_late(context, count, delay):
    context.fleet.platform.call(
        "outage", mode="late", services=["table"], count=count, delay_s=delay
    )


@when("the platform's {service} service is to {mode}")
def step_outage(context, service, mode):
    context.fleet.platform.call("outage", mode=mode, services=[service])


@when("the platform is whole again")
def step_whole(context):
    context.fleet.platform.call("outage", mode="off")


@then('it exits with {code:d} and says "{message}"')
def step_says(context, code, message):
    result = context.result
    assert result.returncode == code, result
    said = result.stdout + result.stderr
    assert message in said, said


@then('zone "{zone}" is out in the accepted text')
def step_zone_out(context, zone):
    assert parse.parse(accepted(context)).zones[zone].state == "out"


@then("the history has the versions {versions}")
def step_history(context, versions):
    result = context.fleet.cli(*command(context, "history --json"))
    shown = [one["version"] for one in json.loads(result.stdout)["versions"]]
    assert shown == [int(v) for v in versions.split(", ")], shown


@then("the printed key fits the hash in the accepted text")
def step_key_fits(context):
    context.issued = json.loads(context.result.stdout)
    declaration = parse.parse(accepted(context))
    header = f"Bearer {context.issued['key']}"
    assert keys.find_customer(declaration, header).name == "frost"


@then("the accepted text still has its comments")
def step_comments(context):
    assert accepted(context).startswith(COMMENT)


@when("the issued key is withdrawn")
def step_withdraw(context):
    result = run(context, f"key withdraw {context.issued['name']}")
    assert result.returncode == 0, result


@then("the accepted text declares what it did at first")
def step_as_first(context):
    now = parse.parse(accepted(context))
    assert now == parse.parse(context.files["FILE"])
    assert accepted(context).startswith(COMMENT)


@then('no output but that of "{line}" had the key')
def step_no_key(context, line):
    secret = keys.parse(f"Bearer {context.issued['key']}").secret
    for one, result in context.outputs:
        if line not in one:
            assert secret not in result.stdout + result.stderr, one
    assert secret not in json.dumps(context.fleet.dump())


@then("status shows version {version:d} at both entries")
def step_status(context, version):
    result = run(context, "status --json")
    shown = json.loads(result.stdout)
    versions = {e: b["version"] for e, b in shown["entries"].items()}
    assert versions == {"e1": version, "e2": version}, shown


def hear(context, mode):
    """Set all links over which an entry hears of a version."""
    for source, target in (("e2", "platform"), ("e2", "e1"), ("e1", "e2")):
        context.fleet.fault(source, target, mode=mode)


@when('entry "e2" hears neither the platform nor its peer')
def step_deaf(context):
    hear(context, "refuse")


@when('entry "e2" hears all again')
def step_hears(context):
    hear(context, "pass")
