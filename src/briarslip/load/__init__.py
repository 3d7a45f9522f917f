"""The load generator: plans, arrivals, connections, tallies and reports."""

from __future__ import annotations
