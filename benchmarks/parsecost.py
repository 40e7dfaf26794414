"""Costs of one text in a process of its own, printed as JSON.

Notes
-----
``python -m benchmarks.parsecost FILE`` parses the text, and then again
with the first result still there, as a process does that changes over.
"""

import json
import os
import pathlib
import sys
import time

from benchmarks import countedfleet
from dogwoodwheel.declaration import parse

__all__ = ["main"]


def main(path):
    """Parse a text twice and print what that cost."""
    text = pathlib.Path(path).read_text()
    before_mb = countedfleet.rss_mb(os.getpid())
    first, first_s = _parse(text)
    held_mb = countedfleet.rss_mb(os.getpid())
    second, second_s = _parse(text)
    body = {
        "bytes": len(text.encode()),
        "cpu_s": [first_s, second_s],
        "grown_mb": held_mb - before_mb,
        "grown_twice_mb": countedfleet.rss_mb(os.getpid()) - before_mb,
        "equal": first == second,
    }
    print(json.dumps(body))


def _parse(text):
    began_s = time.process_time()
    declaration = parse.parse(text)
    return declaration, time.process_time() - began_s


if __name__ == "__main__":
    main(sys.argv[1])
