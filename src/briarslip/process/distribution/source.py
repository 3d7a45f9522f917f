"""Interface to a source of configuration versions other than peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from briarslip.version.snapshot import Snapshot


class ConfigurationSource(Protocol):
    """Reads new configuration versions from the store while it is active.

    ``rank`` is the number of daemons that act on a change before this one.
    ``is_in_touch`` is whether the store answered the last call.
    """

    active: bool
    rank: int

    @property
    def is_in_touch(self) -> bool:
        """Whether the store answered the last call."""

    def set_active(self, active: bool) -> None:
        """Start or stop watching the store."""

    def refutes(self, snapshot: Snapshot) -> bool:
        """Return whether the store shows that a snapshot's order was withdrawn.

        The source has then reported the configuration without it as a later version.
        """


SourceFactory = Callable[[Callable[[Snapshot], None]], ConfigurationSource]

__all__ = ["ConfigurationSource", "SourceFactory"]
