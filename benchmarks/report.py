"""Print figures as JSON lines, and their medians at the end."""

import collections
import json
import statistics

__all__ = ["Report", "percentile"]


class Report:
    """Figures of one benchmark.

    Parameters
    ----------
    bench : str
        Name of the benchmark.
    """

    def __init__(self, bench):
        self.bench = bench
        self._values = collections.defaultdict(list)

    def figure(self, policy, measure, value, unit, seed):
        """Print one figure of one run."""
        self._values[policy, measure, unit].append(value)
        self._print(policy, measure, unit, value=round(value, 4), seed=seed)

    def summary(self):
        """Print the median, least and most of each measure."""
        for (policy, measure, unit), values in self._values.items():
            self._print(
                policy,
                measure,
                unit,
                median=round(statistics.median(values), 4),
                least=round(min(values), 4),
                most=round(max(values), 4),
                runs=len(values),
            )

    def _print(self, policy, measure, unit, **figures):
        line = {
            "bench": self.bench,
            "policy": policy,
            "measure": measure,
            "unit": unit,
        }
        print(json.dumps({**line, **figures}), flush=True)


def percentile(values, percent):
    """Return a percentile by the nearest rank.

    Examples
    --------
    >>> percentile([3, 1, 2], 50)
    2
    """
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(int(rank) - 1, 0)]
