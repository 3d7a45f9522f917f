"""The open connections of callers, and which are closed if there are too many."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Callable


# Up to so many connections the limit is not looked up.
UNCHECKED_CONNECTIONS = 64


class TableEntry(Protocol):
    """What the table has to know of a connection.

    ``is_reading`` is whether a part of a request has been received, and no more.
    """

    last_active_at: float

    @property
    def is_reading(self) -> bool:
        """Whether a request is being received."""


Entry = TypeVar("Entry", bound=TableEntry)


def no_limit() -> int:
    """Return a number of connections that is never reached."""
    return sys.maxsize


class ConnectionTable(Generic[Entry]):
    """Connections by the time since they became idle.

    Load pattern: clients open more connections than the process has descriptors for,
    and leave them. ``max_connections`` returns the largest number.
    """

    def __init__(self, max_connections: Callable[[], int] = no_limit) -> None:
        self.max_connections = max_connections
        self.connections: set[Entry] = set()
        self.idle: dict[Entry, None] = {}

    def add(self, connection: Entry) -> Entry | None:
        """Add a connection; return the one to close for it, None if there is room."""
        surplus = None
        if len(self.connections) >= UNCHECKED_CONNECTIONS:
            surplus = self._choose_surplus(connection)
        self.connections.add(connection)
        self.mark_idle(connection)
        return surplus

    def _choose_surplus(self, new: Entry) -> Entry | None:
        """Return the connection that is idle for the longest time, then the slowest.

        Connections whose requests are under way are not closed; if there are no
        others, the new one is.
        """
        if len(self.connections) < self.max_connections():
            return None
        if self.idle:
            return next(iter(self.idle))
        reading = [c for c in self.connections if c.is_reading]
        return min(reading, key=lambda c: c.last_active_at, default=new)

    def remove(self, connection: Entry) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)

    def mark_idle(self, connection: Entry) -> None:
        """Record that a connection waits for its next request from now on."""
        self.idle.pop(connection, None)
        self.idle[connection] = None

    def mark_active(self, connection: Entry) -> None:
        """Record that a connection has received something."""
        self.idle.pop(connection, None)


__all__ = ["ConnectionTable", "TableEntry", "no_limit"]
