"""Stand-ins for stores and backend servers, for tests, demo and benches."""

from __future__ import annotations
