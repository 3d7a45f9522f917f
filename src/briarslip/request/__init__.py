"""What lives for one request: routing, choice of server, deadline, outcome."""

from __future__ import annotations
