"""Slopes against size, and what they come to at the size aimed for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.capacity.configuration import configuration_figures
from bench.capacity.control import control_figures
from bench.capacity.daemons import daemon_figures
from bench.capacity.memory import memory_figures
from bench.capacity.operator import operator_figures
from bench.capacity.platform import platform_figures
from bench.capacity.rollouts import rollout_figures


if TYPE_CHECKING:
    from bench.figure import Figure


def run(quick: bool) -> list[Figure]:
    """Measure."""
    figures = control_figures(quick)
    figures += rollout_figures()
    figures += platform_figures(quick)
    figures += configuration_figures(quick)
    figures += memory_figures(quick)
    if not quick:
        figures += operator_figures()
        figures += daemon_figures()
    return figures


__all__ = ["run"]
