"""Bytes and messages that a daemon of a fleet sends and receives."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from briarslip.connection.frame import Topic


DATAGRAM = "datagram"


@dataclass
class Traffic:
    """Bytes and messages by kind, headers included."""

    sent: Counter[str]
    received: Counter[str]
    messages: Counter[str]
    largest_datagram: int = 0

    @classmethod
    def empty(cls) -> Traffic:
        """Return traffic with nothing counted."""
        return cls(Counter(), Counter(), Counter())

    @property
    def total(self) -> int:
        """The bytes of both directions."""
        return self.sent.total() + self.received.total()

    @property
    def membership(self) -> int:
        """The bytes of both directions that membership has spent."""
        kinds = (DATAGRAM, Topic.MEMBERSHIP.name)
        return sum(self.sent[kind] + self.received[kind] for kind in kinds)


__all__ = ["DATAGRAM", "Traffic"]
