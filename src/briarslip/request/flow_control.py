"""Backpressure on one response, from its reader to its source."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class FlowControl:
    """Whether the reader of a response accepts more data now.

    The source sets ``on_change``, which is called with ``paused`` on each change.
    """

    __slots__ = ("on_change", "paused")

    def __init__(self) -> None:
        self.paused = False
        self.on_change: Callable[[bool], None] | None = None

    def set_paused(self, paused: bool) -> None:
        """Pause or resume the source."""
        if paused == self.paused:
            return
        self.paused = paused
        if self.on_change is not None:
            self.on_change(paused)


__all__ = ["FlowControl"]
