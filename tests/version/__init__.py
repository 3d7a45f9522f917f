"""Tests of configuration versions."""

from __future__ import annotations
