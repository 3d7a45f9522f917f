"""HTTP connections with callers and backend servers, and links between daemons."""

from __future__ import annotations
