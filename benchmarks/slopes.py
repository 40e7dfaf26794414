"""What a node costs against each size of the fleet.

Notes
-----
``python -m benchmarks.slopes PART...`` runs the parts that are named:
``entries``, ``endpoints``, ``customers``, ``text``, ``changes``,
``requests``, ``functions``; none names them all.  Processor time is that
of each process itself, so that a busy machine changes it little.  The
``seed`` of a figure numbers its window or run: nothing is drawn.
"""

import sys

from benchmarks import report
from benchmarks import slopes_changes
from benchmarks import slopes_fleet
from benchmarks import slopes_functions
from benchmarks import slopes_requests
from benchmarks import slopes_text

__all__ = ["main"]

PARTS = {
    "entries": slopes_fleet.entries,
    "endpoints": slopes_fleet.endpoints,
    "customers": slopes_fleet.customers,
    "text": slopes_text.run,
    "changes": slopes_changes.run,
    "requests": slopes_requests.run,
    "functions": slopes_functions.run,
}


def main(names):
    """Run the parts that are named, or all, one after another."""
    for name in names or PARTS:
        rep = report.Report("slopes")
        PARTS[name](rep)
        rep.summary()


if __name__ == "__main__":
    main(sys.argv[1:])
