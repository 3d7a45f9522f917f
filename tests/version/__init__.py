"""Tests of what lives for a version."""

from __future__ import annotations
