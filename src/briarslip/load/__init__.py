"""The load generator: plans, arrival schedules, connections, results and reports."""

from __future__ import annotations
