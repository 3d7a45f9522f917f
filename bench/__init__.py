"""Benches of briarslip."""

from __future__ import annotations
