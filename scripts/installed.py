"""Exit 0 if all pins of a file and this package are installed."""

import importlib.metadata
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def has_pins(path):
    """Tell whether every pin of a file is installed."""
    for line in path.read_text().splitlines():
        name, _, version = line.partition("==")
        if not version:
            continue
        try:
            found = importlib.metadata.version(name)
        except importlib.metadata.PackageNotFoundError:
            return False
        if found != version:
            return False
    return True


def has_package():
    """Tell whether this directory is installed, editable."""
    try:
        dist = importlib.metadata.distribution("dogwoodwheel")
    except importlib.metadata.PackageNotFoundError:
        return False
    url = json.loads(dist.read_text("direct_url.json") or "{}").get("url")
    return url == ROOT.as_uri()


sys.exit(0 if has_pins(ROOT / sys.argv[1]) and has_package() else 1)
