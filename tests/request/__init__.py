"""Tests of what lives for one request."""

from __future__ import annotations
