"""Reports of a load run: JSON, and a self-contained HTML page."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING
from typing import Any

from briarslip.load.tally import percentiles


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarslip.load.plan import LoadPlan
    from briarslip.load.tally import Tally


PLOT_WIDTH = 720
PLOT_HEIGHT = 320
PLOT_MARGIN = 50
PLOT_PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99)
STYLE = (
    "<style>body{font:14px sans-serif;margin:2em}td,th{padding:.2em .8em;"
    "text-align:right;border-bottom:1px solid #ddd}</style>"
)
COLOURS = ("#1f6fb2", "#c2521b", "#2c8a4b", "#7b4fa3", "#8a6d1f")


def report_json(plan: LoadPlan, tally: Tally) -> dict[str, Any]:
    """Return the results of a run as JSON; latencies are in milliseconds.

    ``added_ms`` is the difference between each target's latency percentiles and
    those of the first target.
    """
    names = [target.name for target in plan.targets]
    merged = {name: percentiles(tally.merged_latencies(name)) for name in names}
    base = merged[names[0]]
    return {
        "seed": plan.seed,
        "rate": plan.rate,
        "arrivals": plan.arrivals,
        "connections": plan.connections,
        "measured_seconds": plan.measured.total_seconds(),
        "requests": tally.total_requests,
        "late_start_ms": percentiles(tally.start_delays),
        "latency_ms": merged,
        "added_ms": {
            name: {p: value - base[p] for p, value in merged[name].items()}
            for name in names[1:]
        },
        "kinds_ms": [
            {"target": target, "kind": kind, "latency_ms": percentiles(histogram)}
            for (target, kind), histogram in sorted(tally.latencies.items())
        ],
        "outcomes": [
            {
                "target": row.target,
                "kind": row.kind,
                "verdict": row.verdict,
                "status": row.status,
                "outcome": row.outcome,
                "requests": number,
            }
            for row, number in sorted(
                tally.outcome_counts.items(), key=lambda item: str(item)
            )
        ],
    }


def report_html(plan: LoadPlan, tally: Tally) -> str:
    """Return an HTML page with a plot of latency percentiles and result tables."""
    result = report_json(plan, tally)
    curves = {
        f"{target} {kind}": [
            histogram.get_value_at_percentile(p) / 1000 for p in PLOT_PERCENTILES
        ]
        for (target, kind), histogram in sorted(tally.latencies.items())
    }
    latency = [
        (name, *(f"{value:.3f}" for value in values.values()))
        for name, values in result["latency_ms"].items()
    ]
    added = [
        (f"{name} added", *(f"{value:+.3f}" for value in values.values()))
        for name, values in result["added_ms"].items()
    ]
    outcomes = [tuple(row.values()) for row in result["outcomes"]]
    columns = ("latency, ms", *(f"p{p:g}" for p in result["late_start_ms"]))
    names = ("target", "request", "verdict", "status", "outcome", "requests")
    title = f"Load run, seed {plan.seed}, {plan.rate}/s {plan.arrivals}"
    return "\n".join(
        (
            "<!doctype html><meta charset=utf-8>",
            f"<title>{escape(title)}</title>",
            STYLE,
            f"<h1>{escape(title)}</h1>",
            _plot(curves),
            _table(columns, latency + added),
            _table(names, outcomes),
        )
    )


def _table(names: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    head = "".join(f"<th>{escape(name)}</th>" for name in names)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _plot(curves: Mapping[str, Sequence[float]]) -> str:
    """Return an SVG plot of latency, from 0, against percentile, evenly spaced."""
    highest = max((max(curve) for curve in curves.values()), default=1.0) or 1.0
    step = (PLOT_WIDTH - 2 * PLOT_MARGIN) / (len(PLOT_PERCENTILES) - 1)
    span = PLOT_HEIGHT - 2 * PLOT_MARGIN
    bottom = PLOT_HEIGHT - PLOT_MARGIN
    axes = f"M{PLOT_MARGIN} {PLOT_MARGIN}V{bottom}H{PLOT_WIDTH - PLOT_MARGIN}"
    parts = [
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">',
        f'<path d="{axes}" fill="none" stroke="#888"/>',
        f'<text x="4" y="{PLOT_MARGIN - 8}">{highest:.2f} ms</text>',
    ]
    for number, percentile in enumerate(PLOT_PERCENTILES):
        x = PLOT_MARGIN + number * step
        parts.append(f'<text x="{x:.0f}" y="{bottom + 18}">{percentile:g}</text>')
    for number, (name, curve) in enumerate(curves.items()):
        colour = COLOURS[number % len(COLOURS)]
        points = " ".join(
            f"{PLOT_MARGIN + i * step:.1f},{bottom - value / highest * span:.1f}"
            for i, value in enumerate(curve)
        )
        y = PLOT_MARGIN + 16 * number
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}"/>'
            f'<text x="{PLOT_MARGIN + 8}" y="{y}" fill="{colour}">{escape(name)}</text>'
        )
    return "".join((*parts, "</svg>"))


__all__ = ["report_html", "report_json"]
