"""Steps about the operators' text and the programs' settings."""

import pathlib
import random
import re
import tempfile
import time

from behave import given
from behave import then
from behave import when

from dogwoodwheel.customers import keys
from dogwoodwheel.declaration import edit
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from features import builders
from features import fleet
from features import processes
from features.standins import process

TIMEOUT_S = 60.0
SEED = 20
MEGABYTE = 1_000_000
DIGEST = "ab" * 32
ONE = '{name: one, salt: ab12ab12, digest: "%s"}' % DIGEST
TWO = ONE.replace("one", "two")
DEEP = f"name: one\n        salt: ab12ab12\n        digest: {DIGEST}  # x"
EXAMPLE = f"""\
zones: {{zone-a: {{region: north}}}}
services:
  lm: {{kind: models}}
  shop: {{kind: plain, depends: []}}
endpoints:
  worker-1: {{service: lm, zone: zone-a, address: 10.0.0.1:80, \
memory_mb: 1000, fencing: true}}
  shop-1: {{service: shop, zone: zone-a, address: 10.0.0.2:80}}
models: {{small: {{service: lm, version: "1", size_mb: 100}}}}
adapters:
  tuned: {{base: small, version: "1", size_mb: 1}}
customers:
  frost: {{rate: 10, burst: 5, priority: normal, keys: [{ONE}]}}
  grower: {{rate: 1, burst: 1, keys: [{TWO}]}}
"""
PLATFORM = """\
platform: {store: "127.0.0.1:1"}
log: {format: text, level: info}
admin: 127.0.0.1:9100
"""
SETTINGS = {
    "coordinator": f"""\
name: entry-1
zone: zone-a
peer: {{bind: "127.0.0.1:7000"}}
public: ["127.0.0.1:8000"]
{PLATFORM}""",
    "gateway": f"""\
name: entry-1-gateway
zone: zone-a
bind: 127.0.0.1:8000
coordinator: 127.0.0.1:7000
{PLATFORM}""",
}
AFTER_ZONES = EXAMPLE.partition("\n")[2].encode()
ODD_TEXTS = {
    "nothing": b"",
    "nine million bytes": b"# " + b"x" * 9 * MEGABYTE,
    "a million brackets": b"[" * MEGABYTE,
    "an alias in itself": b"zones: &z {zone-a: *z}\n" + AFTER_ZONES,
    "one word": b"hello",
    "bytes that are no text": b"zones: \xff\xfe",
}


def folder(context):
    """Return the scenario's folder for files."""
    if not hasattr(context, "folder"):
        held = tempfile.TemporaryDirectory()
        context.add_cleanup(held.cleanup)
        context.folder = pathlib.Path(held.name)
    return context.folder


def faults_of(text):
    """Return the faults of a text."""
    try:
        parse.parse(text)
    except exceptions.DeclarationError as exc:
        return exc.faults
    return ()


def filled(text):
    """Return a text with the marks of the tables filled in."""
    marks = {"{nl}": "\n", "{one}": ONE, "{two}": TWO, "{deep}": DEEP}
    for mark, value in marks.items():
        text = text.replace(mark, value)
    return text


@given("the text")
def step_text(context):
    context.operators_text = filled(context.text) + "\n"


@given("the example text")
def step_example(context):
    context.operators_text = EXAMPLE
    parse.parse(EXAMPLE)


@given('the file "{path}"')
def step_file(context, path):
    context.operators_text = (processes.ROOT / path).read_text()


@given("a text of {kind}")
def step_odd_text(context, kind):
    context.operators_text = ODD_TEXTS[kind]


@given("a text with {count:d} adapters")
def step_many_adapters(context, count):
    text = builders.TextBuilder().zone("zone-a").models("lm")
    text.endpoint("w", "lm", "zone-a", "10.0.0.1:80", memory_mb=1000)
    text.model("small", "lm").customer("frost")
    for i in range(count):
        text.adapter(f"adapter-{i}", "small")
    context.operators_text = text.text()


@when("it is checked")
def step_check(context):
    data = context.operators_text
    path = folder(context) / "text.yaml"
    path.write_bytes(data if isinstance(data, bytes) else data.encode())
    argv = [fleet.BIN / "dogwoodwheel", "check", path]
    context.result = process.run(argv, processes.ROOT, TIMEOUT_S)


@when('"{old}" is replaced by "{new}"')
def step_replace(context, old, new):
    assert old in context.operators_text, old
    context.operators_text = context.operators_text.replace(old, new, 1)


@when('key "{name}" is added, zone "{out}" taken out and zone "{back}" in')
def step_edit(context, name, out, back):
    context.added, key = keys.issue(name)
    text = edit.add_key(context.operators_text, "frost", key)
    text = edit.set_zone(text, out, "out")
    context.edited = edit.set_zone(text, back, "in")
    declaration = parse.parse(context.edited)
    assert declaration.zones[out].state == "out"
    assert declaration.zones[back].state == "in"
    assert key in declaration.customers["frost"].keys


@when('the {program} starts with "{old}" replaced by "{new}" in its settings')
def step_start(context, program, old, new):
    text = SETTINGS[program]
    assert old in text, old
    path = folder(context) / "settings.yaml"
    path.write_text(text.replace(old, filled(new), 1))
    argv = [fleet.BIN / f"dogwoodwheel-{program}", "--settings", path]
    context.result = process.run(argv, processes.ROOT, TIMEOUT_S)


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    result = context.result
    assert result.returncode == code, (result.returncode, result.stderr)


@then("exactly these faults are printed")
def step_faults(context):
    wanted = [row["fault"] for row in context.table]
    assert context.result.stderr.splitlines() == wanted, context.result.stderr


@then('one fault is printed that says "{message}"')
def step_one_fault(context, message):
    lines = context.result.stderr.splitlines()
    assert len(lines) == 1 and message in lines[0], lines


@then('a fault on line {line:d} says "{message}"')
def step_fault(context, line, message):
    faults = faults_of(context.operators_text)
    said = [fault for fault in faults if message in str(fault)]
    assert said and said[0].line == line, [str(fault) for fault in faults]


@then("{count:d} damaged copies of it are read or refused with faults")
def step_damaged(context, count):
    rng = random.Random(SEED)
    refused = 0
    for _ in range(count):
        text = context.operators_text
        for _ in range(rng.randint(1, 3)):
            start = rng.randrange(len(text))
            end = min(len(text), start + rng.randint(0, 40))
            odd = rng.choice(["", ":", "}", "- ", "\n", "\t", "&a ", "0", "'"])
            text = text[:start] + odd + text[end:]
        faults = faults_of(text)
        refused += bool(faults)
        assert all(str(fault) for fault in faults)
    assert refused > count / 2, refused


@then(
    "it declares {zones:d} zones, {models:d} models and {adapters:d} adapters"
)
def step_counts(context, zones, models, adapters):
    declaration = parse.parse(context.operators_text)
    counts = (
        len(declaration.zones),
        len(declaration.models),
        len(declaration.adapters),
    )
    assert counts == (zones, models, adapters), counts


@then(
    "it declares {workers:d} endpoints for models, {plain:d} others "
    "and {customers:d} customers"
)
def step_endpoints(context, workers, plain, customers):
    declaration = parse.parse(context.operators_text)
    kinds = [
        declaration.services[endpoint.service].kind
        for endpoint in declaration.endpoints.values()
    ]
    assert kinds.count("models") == workers, kinds
    assert kinds.count("plain") == plain, kinds
    assert len(declaration.customers) == customers


@then("it is read within {seconds:d} s of processor time")
def step_read_within(context, seconds):
    began = time.process_time()
    parse.parse(context.operators_text)
    took = time.process_time() - began
    assert took < seconds, took


@then("each line without zones or keys stays as it was")
def step_rest_stays(context):
    left = context.edited.splitlines()
    for line in context.operators_text.splitlines():
        if "zone-" not in line and "keys" not in line:
            assert line in left, line


@then("each key can be removed again, and no other comment goes")
def step_remove(context):
    comments = re.findall(r"# (?!x)\w+", context.edited)
    declaration = parse.parse(context.edited)
    for key in declaration.customers["frost"].keys:
        text = edit.remove_key(context.edited, key.name)
        names = [k.name for k in parse.parse(text).customers["frost"].keys]
        assert key.name not in names
        assert re.findall(r"# (?!x)\w+", text) == comments, text


@then('it stops with one line that says "{message}"')
def step_one_line(context, message):
    lines = context.result.stderr.splitlines()
    assert context.result.returncode != 0
    assert len(lines) == 1 and message in lines[0], lines
