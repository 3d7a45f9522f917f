"""Tests of the daemon process."""

from __future__ import annotations
