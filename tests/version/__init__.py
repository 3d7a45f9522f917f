"""Tests of what lives for one configuration version."""

from __future__ import annotations
