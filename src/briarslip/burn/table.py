"""The report on service-level burn as text."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.burn.measurement import BurnReport
    from briarslip.burn.measurement import LevelFigures


SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3600
SECONDS_PER_DAY = 86_400


def span(seconds: float) -> str:
    """Return a length of time in its largest fitting unit."""
    for unit, name in (
        (SECONDS_PER_DAY, "d"),
        (SECONDS_PER_HOUR, "h"),
        (SECONDS_PER_MINUTE, "min"),
    ):
        if seconds >= unit:
            return f"{seconds / unit:.3g} {name}"
    return f"{seconds:.0f} s"


def percent(value: float | None) -> str:
    """Return a share as percent, a dash if there is none."""
    return "-" if value is None else f"{value:.1%}"


def rate(value: float | None) -> str:
    """Return a burn rate, a dash if there is none."""
    return "-" if value is None else f"{value:.2f}"


def remarks(report: BurnReport) -> Iterator[str]:
    """Yield what is missing from the figures."""
    for peer in report.silent:
        yield f"daemon {peer} does not answer: its counts are missing"
    for peer, uptime in report.replaced:
        yield (
            f"daemon {peer} started {span(uptime)} ago:"
            " what an instance before it counted is lost"
        )
    longest = max((w.seconds for x in report.levels for w in x.windows), default=0)
    if report.answered and report.oldest_seconds < longest:
        yield (
            f"counts go back {span(report.oldest_seconds)}:"
            " longer windows hold no more calls than that"
        )
    if not report.answered:
        yield "no daemon answered"


def table(report: BurnReport) -> str:
    """Return the figures as lines of text, with remarks below."""
    lines = []
    if report.levels:
        windows = " ".join(
            f"{'burn ' + span(window.seconds):>10}"
            for window in report.levels[0].windows
        )
        lines.append(
            f"{'objective':<16} {'service':<12} {'route':<12} {'version':<8}"
            f" {'calls':>9} {'bad':>7} {'left':>8} {windows} {'p99 ms':>8}"
        )
    lines.extend(_line(level) for level in report.levels)
    lines.extend(remarks(report))
    return "\n".join(lines)


def _line(level: LevelFigures) -> str:
    longest = level.windows[-1]
    rates = " ".join(f"{rate(window.burn_rate):>10}" for window in level.windows)
    return (
        f"{level.objective or '-':<16} {level.service:<12} {level.route:<12}"
        f" {level.version or '-':<8} {longest.calls:>9} {longest.bad:>7}"
        f" {percent(level.budget_left):>8} {rates} {level.latencies_ms[-1]:>8.1f}"
    )


__all__ = ["percent", "rate", "remarks", "span", "table"]
