import json, statistics


def emit(bench, name, values, **where):
    values = list(values)
    print(
        json.dumps(
            {
                "bench": bench,
                "figure": name,
                **where,
                "median": float(f"{statistics.median(values):.5g}"),
                "least": float(f"{min(values):.5g}"),
                "most": float(f"{max(values):.5g}"),
                "runs": len(values),
            }
        ),
        flush=True,
    )
def percentile(values, percent):
    values=sorted(values)
    return values[min(len(values)-1, int(len(values)*percent/100))]
