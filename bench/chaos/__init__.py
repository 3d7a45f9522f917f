"""Seeded faults against real processes under load, checked by invariants."""

from __future__ import annotations

from bench.chaos.trial import run


__all__ = ["run"]
