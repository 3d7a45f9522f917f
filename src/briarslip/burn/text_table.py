"""The burn report as a text table."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.burn.report import BurnReport
    from briarslip.burn.report import LevelFigures


SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3600
SECONDS_PER_DAY = 86_400


def format_duration(seconds: float) -> str:
    """Return a duration as text in its largest fitting unit."""
    for unit, name in (
        (SECONDS_PER_DAY, "d"),
        (SECONDS_PER_HOUR, "h"),
        (SECONDS_PER_MINUTE, "min"),
    ):
        if seconds >= unit:
            return f"{seconds / unit:.3g} {name}"
    return f"{seconds:.0f} s"


def as_percent(value: float | None) -> str:
    """Return a share in percent as text, or a dash for None."""
    return "-" if value is None else f"{value:.1%}"


def format_rate(value: float | None) -> str:
    """Return a burn rate as text, or a dash for None."""
    return "-" if value is None else f"{value:.2f}"


def caveats(report: BurnReport) -> Iterator[str]:
    """Yield a line for each gap in the report's data."""
    for peer in report.silent:
        yield f"daemon {peer} does not answer: its counts are missing"
    for peer, uptime in report.replaced:
        yield (
            f"daemon {peer} started {format_duration(uptime)} ago:"
            " the counts of an instance that it replaced are lost"
        )
    longest = max((w.seconds for x in report.levels for w in x.windows), default=0)
    if report.answered and report.oldest_seconds < longest:
        yield (
            f"counts go back {format_duration(report.oldest_seconds)}:"
            " longer windows cover only that time"
        )
    if not report.answered:
        yield "no daemon answered"


def render_table(report: BurnReport) -> str:
    """Return the report as a text table, followed by its caveats."""
    lines = []
    if report.levels:
        windows = " ".join(
            f"{'burn ' + format_duration(window.seconds):>10}"
            for window in report.levels[0].windows
        )
        lines.append(
            f"{'objective':<16} {'service':<12} {'route':<12} {'version':<8}"
            f" {'calls':>9} {'bad':>7} {'left':>8} {windows} {'p99 ms':>8}"
        )
    lines.extend(_format_line(level) for level in report.levels)
    lines.extend(caveats(report))
    return "\n".join(lines)


def _format_line(level: LevelFigures) -> str:
    longest = level.windows[-1]
    rates = " ".join(f"{format_rate(window.burn_rate):>10}" for window in level.windows)
    return (
        f"{level.objective or '-':<16} {level.service:<12} {level.route:<12}"
        f" {level.version or '-':<8} {longest.calls:>9} {longest.bad:>7}"
        f" {as_percent(level.budget_left):>8} {rates} {level.latencies_ms[-1]:>8.1f}"
    )


__all__ = [
    "as_percent",
    "caveats",
    "format_duration",
    "format_rate",
    "render_table",
]
