"""Rollout messages that daemons send while there is no rollout."""

from __future__ import annotations

from bench.measurement import Measurement
from standins.rollout_fleet import Fleet


SYNC_SECONDS = 5.0
MEASURED_SECONDS = 20.0
# The zone of each daemon and the version of its server, a character each.
LAYOUTS = (("aaabbbccc", "112112112"), ("abcdefghijklma", "12" * 7))


def measure_rollout_messages() -> list[Measurement]:
    """Measure the busiest daemon's bytes per second, without frame headers."""
    measurements: list[Measurement] = []
    for zones, versions in LAYOUTS:
        fleet = Fleet(zones, versions)
        fleet.advance(SYNC_SECONDS)
        fleet.sent_bytes.clear()
        fleet.advance(MEASURED_SECONDS)
        worst = max(fleet.sent_bytes.values(), default=0) / MEASURED_SECONDS
        name = f"no rollout, {len(zones)} daemons: payload sent, worst"
        measurements.append(Measurement(name, worst, "B/s"))
    return measurements


__all__ = ["measure_rollout_messages"]
