"""Tests of the process layer."""

from __future__ import annotations
