"""Tests of the documentation's agreement with the code."""

from __future__ import annotations
