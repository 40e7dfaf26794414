"""Slopes of the operators' text: parsing, memory, bytes."""

import json
import pathlib
import subprocess
import sys
import tempfile

from benchmarks import countedfleet

__all__ = ["run"]

ADAPTERS = (100, 1000, 4000, 16000)
MODELS = 220
ENDPOINTS = 4900
RUNS = 2
TIMEOUT_S = 120


def run(rep):
    """Measure the parsing of texts of several sizes."""
    for adapters in ADAPTERS:
        text = countedfleet.text_of(models=MODELS, adapters=adapters)
        _measure(rep, f"adapters={adapters}", text.text())
    _measure(rep, "whole", whole().text())


def whole():
    """Return the `Text` at the letter's size."""
    text = countedfleet.text_of(models=MODELS, adapters=ADAPTERS[-1])
    text.rest["partitions"] = 4096
    for index in range(ENDPOINTS):
        zone = countedfleet.ZONES[index % len(countedfleet.ZONES)]
        address = f"10.{index // 62500}.{index // 250 % 250}.{index % 250}"
        place = ("lm", zone, f"{address}:8000")
        text.endpoint(f"worker-{index}", *place, memory_mb=48000)
    return text


def _measure(rep, policy, text):
    for number in range(1, RUNS + 1):
        found = _parse(text)
        rep.figure(policy, "text", found["bytes"], "bytes", number)
        for parsed_s in found["cpu_s"]:
            rep.figure(policy, "parsing", parsed_s, "cpu_s", number)
        rep.figure(policy, "held", found["grown_mb"], "MB", number)
        twice_mb = found["grown_twice_mb"]
        rep.figure(policy, "held_while_changing", twice_mb, "MB", number)


def _parse(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "text.yaml"
        path.write_text(text)
        argv = [sys.executable, "-m", "benchmarks.parsecost", str(path)]
        done = subprocess.run(
            argv, capture_output=True, check=True, timeout=TIMEOUT_S
        )
    return json.loads(done.stdout)
