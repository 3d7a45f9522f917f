"""The burn report as a self-contained HTML page."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from briarslip.burn.text_table import as_percent
from briarslip.burn.text_table import caveats
from briarslip.burn.text_table import format_duration
from briarslip.burn.text_table import format_rate


if TYPE_CHECKING:
    from datetime import datetime

    from briarslip.burn.report import BurnReport
    from briarslip.burn.report import LevelFigures


PLOT_WIDTH = 240
PLOT_HEIGHT = 48
STYLE = """\
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { padding: 4px 10px; text-align: right; border-bottom: 1px solid #ccc; }
th, td.name { text-align: left; }
td.over { color: #b00020; font-weight: bold; }
svg { background: #f6f6f6; }
.bad { fill: #b00020; } .calls { fill: #9db8d2; }
"""


def render_page(report: BurnReport, created_at: datetime) -> str:
    """Return the report as an HTML page that loads no external resources."""
    column_names = [
        "objective",
        "service",
        "route",
        "version",
        "calls",
        "bad",
        "budget left",
    ]
    if report.levels:
        column_names.extend(
            f"burn {format_duration(w.seconds)}" for w in report.levels[0].windows
        )
    time_span = f"last {format_duration(report.slot_seconds * _slot_count(report))}"
    column_names.extend(
        ("p50 ms", "p90 ms", "p99 ms", f"calls and bad calls, {time_span}")
    )
    head = "".join(f"<th>{escape(text)}</th>" for text in column_names)
    rows = "\n".join(_row(level) for level in report.levels)
    notes = "\n".join(f"<li>{escape(text)}</li>" for text in caveats(report))
    return (
        "<!DOCTYPE html>\n"
        '<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>'
        f"<style>{STYLE}</style></head><body>\n<h1>Service-level burn</h1>\n"
        f"<p>{escape(created_at.isoformat(timespec='seconds'))},"
        f" {report.answered} daemons answered.</p>\n"
        f"<ul>{notes}</ul>\n<table><tr>{head}</tr>\n{rows}\n</table></body></html>\n"
    )


def _slot_count(report: BurnReport) -> int:
    return max((len(level.series) for level in report.levels), default=0)


def _row(level: LevelFigures) -> str:
    names = (level.objective or "-", level.service, level.route, level.version or "-")
    cells = [f'<td class="name">{escape(name)}</td>' for name in names]
    longest = level.windows[-1]
    cells.extend(
        f"<td>{text}</td>"
        for text in (longest.calls, longest.bad, as_percent(level.budget_left))
    )
    for window in level.windows:
        over = ' class="over"' if (window.burn_rate or 0) > 1 else ""
        cells.append(f"<td{over}>{format_rate(window.burn_rate)}</td>")
    cells.extend(f"<td>{value:.1f}</td>" for value in level.latencies_ms)
    cells.append(f"<td>{_plot(level)}</td>")
    return f"<tr>{''.join(cells)}</tr>"


def _plot(level: LevelFigures) -> str:
    """Return an SVG bar chart of calls per slot, the lower part being the bad calls."""
    max_calls = max((calls for calls, _ in level.series), default=0) or 1
    width = PLOT_WIDTH / max(1, len(level.series))
    bars = []
    for number, (calls, bad) in enumerate(level.series):
        for kind, count in (("calls", calls), ("bad", bad)):
            height = PLOT_HEIGHT * count / max_calls
            if count:
                bars.append(
                    f'<rect class="{kind}" x="{number * width:.1f}"'
                    f' y="{PLOT_HEIGHT - height:.1f}" width="{width:.1f}"'
                    f' height="{height:.1f}"/>'
                )
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">'
        f"{''.join(bars)}</svg>"
    )


__all__ = ["render_page"]
