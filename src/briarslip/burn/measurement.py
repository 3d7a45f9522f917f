"""Merging the counters of many daemons into figures by window."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hdrh.histogram import HdrHistogram


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_FIGURES = 1
MICROSECONDS_PER_MILLISECOND = 1000
QUANTILES = (50.0, 90.0, 99.0)
Key = tuple[str, str, str, str]


@dataclass(frozen=True, slots=True)
class Window:
    """Calls and bad calls of one window; ``burn_rate`` 1 uses the budget up."""

    seconds: int
    calls: int
    bad: int
    burn_rate: float | None


@dataclass(frozen=True, slots=True)
class LevelFigures:
    """One objective's figures on a service, route and version.

    ``budget_left`` is the share of the longest window's budget that is left;
    None without an objective. ``latencies_ms`` are the p50, p90 and p99.
    ``series`` holds calls and bad calls of the last slots, the newest last.
    """

    objective: str
    service: str
    route: str
    version: str
    good_share: float
    windows: tuple[Window, ...]
    budget_left: float | None
    latencies_ms: tuple[float, ...]
    series: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """All figures, and what is missing from them.

    ``silent`` names the daemons that did not answer, ``replaced`` those that
    started within a window: what an instance before them counted is lost.
    ``oldest_seconds`` is how far back any daemon's counts go.
    """

    levels: tuple[LevelFigures, ...]
    answered: int
    silent: tuple[str, ...]
    oldest_seconds: float
    replaced: tuple[tuple[str, float], ...]
    slot_seconds: int


def merge(
    answers: Sequence[dict[str, Any]], silent: Iterable[str], longest_seconds: int
) -> BurnReport:
    """Merge the daemons' answers; a young daemon is named."""
    groups: dict[Key, list[dict[str, Any]]] = {}
    for answer in answers:
        for level in answer["levels"]:
            key = (
                level["objective"],
                level["service"],
                level["route"],
                level["version"],
            )
            groups.setdefault(key, []).append(level)
    young = (
        (answer["peer"], answer["uptime_seconds"])
        for answer in answers
        if answer["uptime_seconds"] < longest_seconds
    )
    return BurnReport(
        levels=tuple(_figures(key, groups[key]) for key in sorted(groups)),
        answered=len(answers),
        silent=tuple(silent),
        oldest_seconds=max((a["uptime_seconds"] for a in answers), default=0.0),
        replaced=tuple(sorted(young)),
        slot_seconds=answers[0]["slot_seconds"]["fine"] if answers else 0,
    )


def _figures(key: Key, levels: Sequence[dict[str, Any]]) -> LevelFigures:
    # The objective in force is that of the daemon with the strictest one.
    good_share = max(level["good_share"] for level in levels)
    windows = tuple(
        _window(
            int(seconds),
            [level["windows"][seconds] for level in levels],
            key,
            good_share,
        )
        for seconds in sorted(levels[0]["windows"], key=int)
    )
    return LevelFigures(
        *key,
        good_share=good_share,
        windows=windows,
        budget_left=_budget_left(windows[-1]),
        latencies_ms=_latencies(levels),
        series=_series(levels),
    )


def _window(
    seconds: int, counts: Iterable[Sequence[int]], key: Key, good_share: float
) -> Window:
    pairs = list(counts)
    calls = sum(pair[0] for pair in pairs)
    bad = sum(pair[1] for pair in pairs)
    objective = key[0]
    if not objective:
        return Window(seconds, calls, bad, None)
    burn_rate = bad / calls / (1 - good_share) if calls else 0.0
    return Window(seconds, calls, bad, burn_rate)


def _budget_left(longest: Window) -> float | None:
    return None if longest.burn_rate is None else 1 - longest.burn_rate


def _latencies(levels: Iterable[dict[str, Any]]) -> tuple[float, ...]:
    merged: Any = None
    for level in levels:
        histogram = HdrHistogram.decode(level["histogram"])
        if merged is None:
            merged = histogram
        else:
            merged.add(histogram)
    values = (merged.get_value_at_percentile(quantile) for quantile in QUANTILES)
    return tuple(value / MICROSECONDS_PER_MILLISECOND for value in values)


def _series(levels: Sequence[dict[str, Any]]) -> tuple[tuple[int, int], ...]:
    columns = zip(*(level["fine"] for level in levels), strict=True)
    return tuple(
        (sum(pair[0] for pair in column), sum(pair[1] for pair in column))
        for column in columns
    )


__all__ = ["BurnReport", "LevelFigures", "Window", "merge"]
