"""The bench's output: JSON, a table and plots."""

import json
import pathlib

__all__ = ["print_tables", "write_json", "write_plots"]


def write_json(results, path):
    """Writes the results; docs/BENCH.md describes the fields."""
    path = pathlib.Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(results, indent=1) + "\n")


def print_tables(results):
    """Prints the results of each deployment."""
    for name, found in results["deployments"].items():
        print(f"== {name}")
        print("headroom (share of all slots, one figure a seed)")
        for policy, row in found["headroom"].items():
            idle = row["idle"]["p99_ms"]
            print(f"  {policy:12} {row['headroom']}  idle p99 {idle:.0f} ms")
        for disturbance, policies in found["trouble"].items():
            print(f"{disturbance}: p50 / p99 / p99.9 (ms), refused, failed, shed")
            for policy, rows in policies.items():
                for row in rows:
                    print(f"  {policy:12} {_format_row(row)}")
        for title in ("added_latency", "drains", "configuration", "idle"):
            if title in found:
                print(title.replace("_", " "))
                for key, value in found[title].items():
                    print(f"  {key}: {json.dumps(value)}")
    for title in ("moves", "lookups", "tables", "operations", "peers"):
        if title in results:
            print(f"== {title}")
            print(json.dumps(results[title], indent=1))


def _format_row(row):
    refused = sum(row["refused"].values())
    return (
        f"{row['p50_ms']:7.0f} {row['p99_ms']:7.0f} {row['p999_ms']:7.0f}"
        f"  {refused} {row['failed']} {row['shed']}"
    )


def write_plots(results, folder):
    """Writes a plot of p99 by load for each deployment.

    Args:
        results: Results of the bench.
        folder: Folder for the PNG files.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for name, found in results["deployments"].items():
        figure, axes = pyplot.subplots(figsize=(7, 4))
        for policy, row in found["headroom"].items():
            points = sorted((r["share"], r["p99_ms"]) for r in row["rows"])
            axes.plot(*zip(*points, strict=True), marker="o", label=policy)
        bound = 2.0 * found["headroom"]["system"]["idle"]["p99_ms"]
        axes.axhline(bound, linestyle="--", color="grey", label="twice the idle p99")
        axes.set_xlabel("offered load (share of all slots)")
        axes.set_ylabel("p99 of look-ups (ms)")
        axes.set_title(f"{name}: last point is the first that fails")
        axes.legend()
        figure.tight_layout()
        figure.savefig(pathlib.Path(folder) / f"headroom-{name}.png")
        pyplot.close(figure)
