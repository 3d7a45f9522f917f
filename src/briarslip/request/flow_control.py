"""Backpressure of one answer, from its reader to its source."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class FlowControl:
    """Whether the reader of an answer can take more of it now.

    The source sets ``on_change``, which is told of each change.
    """

    __slots__ = ("on_change", "paused")

    def __init__(self) -> None:
        self.paused = False
        self.on_change: Callable[[bool], None] | None = None

    def set_paused(self, paused: bool) -> None:
        """Tell the source to wait or to go on."""
        if paused == self.paused:
            return
        self.paused = paused
        if self.on_change is not None:
            self.on_change(paused)


__all__ = ["FlowControl"]
