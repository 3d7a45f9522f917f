"""Tests of the report on service-level burn."""

from __future__ import annotations
