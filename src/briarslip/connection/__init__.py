"""What lives for one connection: caller HTTP, peer links, backend pools."""

from __future__ import annotations
