"""Slopes of the operators' text: parsing, memory, bytes."""

import json
import pathlib
import subprocess
import sys
import tempfile

from benchmarks import countedfleet
from benchmarks import figures

__all__ = ["run"]

BENCH = "slopes"
ADAPTERS = (100, 1000, 4000, 16000)
MODELS = 220
ENDPOINTS = 4900
RUNS = 2
TIMEOUT_S = 120


def run():
    """Measure the parsing of texts of several sizes."""
    for adapters in ADAPTERS:
        text = countedfleet.text_of(models=MODELS, adapters=adapters)
        _measure("text", adapters, text.text())
    _measure("text_whole", ADAPTERS[-1], whole().text())


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


def _measure(part, size, text):
    found = [_parse(text) for _ in range(RUNS)]
    where = {"part": part, "size": size}
    parsed_s = [value for one in found for value in one["cpu_s"]]
    figures.emit(BENCH, "parse_cpu_s", parsed_s, **where)
    for name in ("bytes", "grown_mb", "grown_twice_mb"):
        figures.emit(BENCH, name, [one[name] for one in found], **where)


def _parse(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "text.yaml"
        path.write_text(text)
        argv = [sys.executable, "-m", "benchmarks.parsecost", str(path)]
        done = subprocess.run(
            argv, capture_output=True, check=True, timeout=TIMEOUT_S
        )
    return json.loads(done.stdout)
