"""Merging of the service-level counters of many daemons into one report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hdrh.histogram import HdrHistogram


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


MICROSECONDS_PER_MILLISECOND = 1000
QUANTILES = (50.0, 90.0, 99.0)
GroupKey = tuple[str, str, str, str]


@dataclass(frozen=True, slots=True)
class Window:
    """Calls and bad calls of one window.

    At a ``burn_rate`` of 1 the error budget is used up exactly at the end of the
    window. It is None without an objective.
    """

    seconds: int
    calls: int
    bad: int
    burn_rate: float | None


@dataclass(frozen=True, slots=True)
class LevelFigures:
    """The figures of one objective for a service, route and service version.

    ``objective`` is empty for calls without an objective. ``budget_left`` is the
    remaining share of the error budget over the longest window, None without an
    objective. ``latencies_ms`` are the p50, p90 and p99. ``series`` holds pairs of
    calls and bad calls per time slot, the newest last.
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
    """All figures, and the daemons whose counts are missing or incomplete.

    ``silent`` names the daemons that did not answer. ``replaced`` holds the address
    and uptime in seconds of daemons that started within the longest window; the
    counts of an instance that they replaced are lost. ``oldest_seconds`` is the
    longest uptime of any daemon.
    """

    levels: tuple[LevelFigures, ...]
    answered: int
    silent: tuple[str, ...]
    oldest_seconds: float
    replaced: tuple[tuple[str, float], ...]
    slot_seconds: int


def merge_answers(
    answers: Sequence[dict[str, Any]], silent: Iterable[str], longest_seconds: int
) -> BurnReport:
    """Merge the answers of the daemons into a report.

    A daemon that has been up for less than ``longest_seconds``, the length of the
    longest window, is listed as replaced.
    """
    groups: dict[GroupKey, list[dict[str, Any]]] = {}
    for answer in answers:
        for level in answer["levels"]:
            key = (
                level["objective"],
                level["service"],
                level["route"],
                level["version"],
            )
            groups.setdefault(key, []).append(level)
    recently_started = (
        (answer["peer"], answer["uptime_seconds"])
        for answer in answers
        if answer["uptime_seconds"] < longest_seconds
    )
    return BurnReport(
        levels=tuple(_figures(key, groups[key]) for key in sorted(groups)),
        answered=len(answers),
        silent=tuple(silent),
        oldest_seconds=max((a["uptime_seconds"] for a in answers), default=0.0),
        replaced=tuple(sorted(recently_started)),
        slot_seconds=answers[0]["slot_seconds"]["fine"] if answers else 0,
    )


def _figures(key: GroupKey, levels: Sequence[dict[str, Any]]) -> LevelFigures:
    # Daemons can run different versions of an objective: use the strictest.
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
    seconds: int, counts: Iterable[Sequence[int]], key: GroupKey, good_share: float
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


__all__ = ["BurnReport", "LevelFigures", "Window", "merge_answers"]
