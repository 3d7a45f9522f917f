"""Withdrawal of a call that no backend server has begun to run."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class Withdrawal:
    """Whether the sender of a call no longer wants it to be started.

    A cancelled call leaves its sender without knowing whether it has run. A withdrawn
    one either fails as not run or goes on as before. Whoever lets the call wait sets
    ``on_request``, which is called once.
    """

    __slots__ = ("is_requested", "on_request")

    def __init__(self) -> None:
        self.is_requested = False
        self.on_request: Callable[[], None] | None = None

    def request(self) -> None:
        """Ask whoever lets the call wait to fail it as not run."""
        if self.is_requested:
            return
        self.is_requested = True
        if self.on_request is not None:
            self.on_request()


__all__ = ["Withdrawal"]
