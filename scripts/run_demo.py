"""Start stand-ins and two entries, send a few requests, stop all.

Notes
-----
The stand-ins take the place of the platform, of model engines and of a
plain service; the entries are the real programs, and everything is done
through their own interfaces.
"""

import concurrent.futures
import json
import pathlib
import shutil
import signal
import sys
import uuid

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features import builders  # noqa: E402
from features import fleet  # noqa: E402
from features.standins import process  # noqa: E402

USAGE = "usage: scripts/demo [--keep]"
MODEL = "frame-draft"
LOAD_S = 1.0
JOIN_S = 30.0
MILLISECONDS = 1000


def build():
    """Return a fleet of two entries, two engines and a plain service."""
    demo = fleet.Fleet()
    demo.add_engine("worker-1", load_s=LOAD_S)
    demo.add_engine("worker-2", load_s=LOAD_S)
    demo.add_service("orders-1")
    demo.add_entry("entry-1", zone="nz-south-a")
    demo.add_entry("entry-2", zone="nz-south-b")
    return demo


def declare(demo):
    """Return the operators' text of the fleet."""
    address = {name: e.address for name, e in demo.endpoints.items()}
    order = {"method": "POST", "path": "/orders"}
    return (
        builders.TextBuilder()
        .zone("nz-south-a")
        .zone("nz-south-b")
        .models("frame-models")
        .plain("orders-app", once_routes=[order])
        .endpoint(
            "worker-1",
            "frame-models",
            "nz-south-a",
            address["worker-1"],
            memory_mb=1000,
            fencing=True,
        )
        .endpoint(
            "worker-2",
            "frame-models",
            "nz-south-b",
            address["worker-2"],
            memory_mb=1000,
            fencing=True,
        )
        .endpoint("orders-1", "orders-app", "nz-south-a", address["orders-1"])
        .model(MODEL, "frame-models")
        .customer("frostline", keys={}, rate=1000, burst=20_000)
        .text()
    )


def operate(demo, line, *words):
    """Run the operators' program and return what it printed."""
    settings = demo.dir / "operator.yaml"
    if not settings.exists():
        platform = demo.platform_address
        settings.write_text(yaml.safe_dump({"platform": {"store": platform}}))
    result = demo.cli(*line.split(), *words, "--settings", settings)
    print(f"$ dogwoodwheel {line} {' '.join(str(word) for word in words)}")
    if result.returncode:
        raise RuntimeError(result.stdout + result.stderr)
    return result.stdout


def joined(demo):
    """Tell whether every entry has its row in the platform's table."""
    return set(demo.dump().get("entries", ())) == set(demo.entries)


def show(what, reply):
    """Print a reply's time and beginning; fail if it is a refusal."""
    took = reply.took_s * MILLISECONDS
    text = reply.text or reply.body.decode()
    print(f"{what}: status {reply.status} in {took:.0f} ms: {text[:60]!r}")
    if reply.status != 200 or not reply.done:
        raise RuntimeError(f"{what} failed: {reply.body!r} {reply.error}")


def ask(demo, key):
    """Send a cold and a warm request, and an order."""
    first, second = demo.entries.values()
    body = {"frames": 12, "size": "1200x900"}
    once = {"Idempotency-Key": uuid.uuid4().hex}
    caller = first.caller(key)
    show("cold chat request at entry-1", caller.chat(MODEL))
    show("warm chat request at entry-1", caller.chat(MODEL))
    caller = second.caller(key)
    show("streamed request at entry-2", caller.chat(MODEL, stream=True))
    path = "/services/orders-app/orders"
    for what in ("order at entry-2", "the same order again"):
        show(what, caller.request("POST", path, body, once))
    runs = demo.endpoints["orders-1"].ctl.call("counters")["most"]
    print(f"the order ran {runs} time")


def run(demo, keep):
    """Show the system at work."""
    demo.start()
    process.wait_for(lambda: joined(demo), JOIN_S, "the entries to join")
    text = demo.dir / "fleet.yaml"
    text.write_text(declare(demo))
    print(operate(demo, "apply", text, "--note", "demo"), end="")
    demo.wait_ready()
    issued = operate(demo, "key issue frostline --json")
    key = json.loads(issued)["key"]
    ask(demo, key)
    print(operate(demo, "status"), end="")
    if keep:
        stay(demo, key)
    print("stopping, within the time that callers keep an address")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        codes = list(pool.map(stop, demo.entries.values()))
    print(f"exit codes of {', '.join(demo.entries)}: {codes}")
    if any(any(of_entry) for of_entry in codes):
        raise RuntimeError("an entry did not stop gracefully")


def stop(entry):
    """Stop an entry gracefully and return its exit codes."""
    return entry.stop()


def stay(demo, key):
    """Print the addresses and wait for Ctrl-C or SIGTERM."""
    for name, entry in demo.entries.items():
        print(f"{name}: callers http://{entry.gateways[0]}/v1")
        print(f"{name}: metrics http://{entry.admin}/metrics")
    print(f"operators: export DOGWOODWHEEL_SETTINGS={demo.dir}/operator.yaml")
    print(f"key: {key}", flush=True)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        signal.pause()
    except KeyboardInterrupt:
        print("stopping")


def main():
    """Run the demo and return the exit code."""
    options = sys.argv[1:]
    if options not in ([], ["--keep"]):
        print(USAGE, file=sys.stderr)
        return 2
    demo = build()
    try:
        run(demo, keep=bool(options))
    except (RuntimeError, AssertionError) as exc:
        print(f"the demo failed: {exc}\n{demo.tails()}", file=sys.stderr)
        return 1
    finally:
        demo.stop()
        shutil.rmtree(demo.dir, ignore_errors=True)
    print("all stopped")
    return 0


sys.exit(main())
