"""Tests of the request package."""

from __future__ import annotations
