"""Small stand-ins for the outside systems, for tests, demo and benches."""

from __future__ import annotations
