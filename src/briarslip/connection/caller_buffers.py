"""The bytes that are buffered for one caller's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.buffer_budget import BufferBudget
    from briarslip.connection.buffer_budget import Holding


# Less is not counted: an ordinary request then costs nothing, and the most connections
# that a daemon has hold a few megabytes.
UNCOUNTED_BYTES = 2 << 10


class CallerBuffers:
    """Counts a connection's bytes in the budget of the process.

    ``on_full`` is called when the bytes must give way to others.
    """

    __slots__ = ("budget", "holding", "on_full")

    def __init__(self, budget: BufferBudget, on_full: Callable[[], None]) -> None:
        self.budget = budget
        self.on_full = on_full
        self.holding: Holding | None = None

    def update(self, size_bytes: int, can_give_way: bool) -> None:
        """Set the number of buffered bytes, and whether they may be given up."""
        if size_bytes <= UNCOUNTED_BYTES:
            self.close()
            return
        if self.holding is None:
            self.holding = self.budget.open()
        self.holding.release = self._release if can_give_way else None
        self.holding.resize(size_bytes)

    def close(self) -> None:
        """Count no bytes any more."""
        holding, self.holding = self.holding, None
        if holding is not None:
            holding.close()

    def _release(self) -> None:
        self.close()
        self.on_full()


__all__ = ["UNCOUNTED_BYTES", "CallerBuffers"]
