"""Costs by size, with linear fits extrapolated to the size of the stated target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.capacity.apply_command import measure_apply_command
from bench.capacity.configuration import measure_configuration
from bench.capacity.control import measure_control
from bench.capacity.daemons import measure_daemons
from bench.capacity.memory import measure_memory
from bench.capacity.rollouts import measure_rollout_messages
from bench.capacity.store import measure_store


if TYPE_CHECKING:
    from bench.measurement import Measurement


def run(quick: bool) -> list[Measurement]:
    """Measure every part; the quick form leaves out real daemons and the command."""
    measurements = measure_control(quick)
    measurements += measure_rollout_messages()
    measurements += measure_store(quick)
    measurements += measure_configuration(quick)
    measurements += measure_memory(quick)
    if not quick:
        measurements += measure_apply_command()
        measurements += measure_daemons()
    return measurements


__all__ = ["run"]
