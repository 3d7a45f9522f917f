"""Bytes and messages that a daemon of a fleet sends and receives."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from briarslip.connection.frame import Topic


DATAGRAM = "datagram"


@dataclass
class Traffic:
    """Bytes sent and received and messages sent, by kind, headers included.

    A kind is ``DATAGRAM`` or the name of a topic of control messages.
    ``largest_datagram_bytes`` counts the payload only.
    """

    sent: Counter[str]
    received: Counter[str]
    messages: Counter[str]
    largest_datagram_bytes: int = 0

    @classmethod
    def empty(cls) -> Traffic:
        """Return zero traffic."""
        return cls(Counter(), Counter(), Counter())

    @property
    def total_bytes(self) -> int:
        """The bytes of both directions."""
        return self.sent.total() + self.received.total()

    @property
    def membership_bytes(self) -> int:
        """The bytes of both directions for membership."""
        kinds = (DATAGRAM, Topic.MEMBERSHIP.name)
        return sum(self.sent[kind] + self.received[kind] for kind in kinds)


__all__ = ["DATAGRAM", "Traffic"]
