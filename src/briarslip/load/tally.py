"""Counts and latencies of a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from briarslip.load.answer import Verdict


if TYPE_CHECKING:
    from typing import Any

    from briarslip.load.schedule import Arrival


MICROSECONDS = 1_000_000
MAX_LATENCY_MICROSECONDS = 3600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True, slots=True)
class Row:
    """A line of the outcome table."""

    target: str
    kind: str
    verdict: str
    status: int
    outcome: str


class Tally:
    """Collects what came of the measured requests.

    Latency runs from the scheduled arrival to the last byte of the answer, so
    that a request which had to wait for its turn counts with its wait
    (coordinated omission).
    """

    def __init__(self) -> None:
        self.latencies: dict[tuple[str, str], Any] = {}
        self.late_starts: Any = _histogram()
        self.rows: Counter[Row] = Counter()

    def add(
        self,
        arrival: Arrival,
        verdict: Verdict,
        latency: float,
        status: int = 0,
        outcome: str = "",
    ) -> None:
        """Take the end of one request; ``latency`` is in seconds."""
        if not arrival.measured:
            return
        target, kind = arrival.target.name, arrival.kind.name
        self.rows[Row(target, kind, verdict.value, status, outcome)] += 1
        if verdict is Verdict.WHOLE:
            histogram = self.latencies.get((target, kind))
            if histogram is None:
                histogram = self.latencies[target, kind] = _histogram()
            histogram.record_value(_microseconds(latency))

    def started(self, arrival: Arrival, lateness: float) -> None:
        """Take how late this program itself was to send a request."""
        if arrival.measured:
            self.late_starts.record_value(_microseconds(lateness))

    def count(self, verdict: Verdict, target: str | None = None) -> int:
        """Return the requests with a verdict, at one target or at all."""
        return sum(
            number
            for row, number in self.rows.items()
            if row.verdict == verdict.value and target in (None, row.target)
        )

    @property
    def total(self) -> int:
        """The measured requests that ended."""
        return self.rows.total()

    def merged(self, target: str) -> Any:
        """Return the latencies of all kinds at a target."""
        histogram = _histogram()
        for (name, _), part in self.latencies.items():
            if name == target:
                histogram.add(part)
        return histogram


def percentiles(histogram: Any) -> dict[float, float]:
    """Return latencies in milliseconds by percentile."""
    return {p: histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


def _histogram() -> Any:
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)


def _microseconds(seconds: float) -> int:
    return min(MAX_LATENCY_MICROSECONDS, max(1, round(seconds * MICROSECONDS)))


__all__ = ["PERCENTILES", "Row", "Tally", "percentiles"]
