"""Write the installed versions of all dependencies as pins."""

import importlib.metadata
import pathlib
import re
import sys
import tomllib

from packaging import requirements
from packaging import utils

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXTRAS = {
    "requirements.txt": [],
    "requirements-test.txt": ["test"],
    "requirements-bench.txt": ["bench"],
}
HEAD = "# Written by scripts/lock from pyproject.toml; do not edit.\n"


def wanted_by(req):
    """Return the requirements of an installed requirement."""
    extras = sorted(req.extras) or [""]
    lines = importlib.metadata.requires(req.name) or []
    for line in lines:
        need = requirements.Requirement(line)
        if need.marker is None or any(
            need.marker.evaluate({"extra": extra}) for extra in extras
        ):
            yield need


def closure(lines):
    """Return all packages that requirements need, as {name: version}."""
    waiting = [requirements.Requirement(line) for line in lines]
    seen = set()
    pins = {}
    while waiting:
        req = waiting.pop()
        name = utils.canonicalize_name(req.name)
        if (name, frozenset(req.extras)) in seen:
            continue
        seen.add((name, frozenset(req.extras)))
        version = importlib.metadata.version(req.name)
        if not req.specifier.contains(version, prereleases=True):
            sys.exit(f"{name} {version} does not fit {req}; install one")
        pins[name] = version
        waiting += wanted_by(req)
    return pins


def main():
    """Write every file of pins."""
    data = tomllib.loads((ROOT / "pyproject.toml").read_text())
    project = data["project"]
    for file, extras in EXTRAS.items():
        lines = list(project["dependencies"])
        for extra in extras:
            lines += project["optional-dependencies"][extra]
        pins = closure(lines)
        text = HEAD + "".join(f"{n}=={pins[n]}\n" for n in sorted(pins))
        (ROOT / file).write_text(re.sub(r"\n+$", "\n", text))
        print(f"{file}: {len(pins)} packages")


main()
