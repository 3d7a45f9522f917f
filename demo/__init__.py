"""Demonstration of briarslip."""

from __future__ import annotations
