"""Tests of the burn report."""

from __future__ import annotations
