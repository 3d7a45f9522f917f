"""Where a daemon's configuration comes from, beside its peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from briarslip.version.snapshot import Snapshot


class ConfigurationSource(Protocol):
    """Brings new versions from the store while it is active.

    ``rank`` counts the daemons that act on a change before this one.
    """

    active: bool
    rank: int

    def set_active(self, active: bool) -> None:
        """Begin or cease to watch."""


SourceFactory = Callable[[Callable[[Snapshot], None]], ConfigurationSource]

__all__ = ["ConfigurationSource", "SourceFactory"]
