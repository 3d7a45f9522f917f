"""Membership: control bytes, detection and spreading against fleet size."""

from __future__ import annotations

from bench.figure import Figure
from bench.fleet import Fleet


MAX_BYTES_PER_SECOND = 4096.0
REST_SECONDS = 10.0


def rest_bytes(size: int, seconds: float) -> float:
    """Return the bytes a second, both directions, that a daemon spends at rest."""
    fleet = Fleet()
    fleet.add_zone("klang", size)
    fleet.run(10.0)
    before = sum(traffic.total for traffic in fleet.traffic.values())
    fleet.run(seconds)
    after = sum(traffic.total for traffic in fleet.traffic.values())
    return (after - before) / seconds / size


def run(quick: bool) -> list[Figure]:
    """Measure."""
    sizes = (25, 50) if quick else (25, 50, 100, 200)
    return [
        Figure(
            f"control bytes at rest, {size} in a zone",
            rest_bytes(size, REST_SECONDS),
            "B/s per daemon",
            MAX_BYTES_PER_SECOND,
        )
        for size in sizes
    ]


__all__ = ["run"]
