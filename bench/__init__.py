"""Benchmarks of briarslip with regression bounds."""

from __future__ import annotations
