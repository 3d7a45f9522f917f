"""The operators' commands, one module each."""

from __future__ import annotations
