"""The servers of one request: those it has tried, and the choice of the next one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.ejection import is_eligible
from briarslip.request.even_choice import choose_evenly
from briarslip.request.even_choice import has_idle_slots
from briarslip.request.server_choice import choose_server


if TYPE_CHECKING:
    from collections.abc import Sequence

    from briarslip.request.call import Call
    from briarslip.request.forwarder import Forwarder
    from briarslip.request.server import Server
    from briarslip.request.standing import Standing


# Full servers that one request may leave; the next one queues it. At 0.8 of the
# capacity nearly half of the servers are full, so that 6 moves leave 2% waiting.
MAX_MOVES = 8
# A larger body costs more bytes on the links than the wait for a slot is worth.
MAX_MOVED_BODY_BYTES = 16 << 10
# With 2 ms, two link times of 0.9 ms make p99 twice that of queueing, with 5 ms less.
MIN_SERVICE_SECONDS = 0.005
# Bound on the messages that moves add, whatever the views say.
MOVES_PER_REQUEST = 1.0
MAX_MOVE_TOKENS = 50.0


class MoveBudget:
    """A token bucket for moves: each request adds a part of one.

    ``moved`` counts the calls that moved on from a full server, and ``withheld``
    those that had to queue if their server was full, since no token was left.
    """

    def __init__(self) -> None:
        self.tokens = MAX_MOVE_TOKENS
        self.moved = 0
        self.withheld = 0

    def deposit(self) -> None:
        """Add the part of a request."""
        self.tokens = min(MAX_MOVE_TOKENS, self.tokens + MOVES_PER_REQUEST)

    def has_token(self) -> bool:
        """Return whether a call may move on; if not, it is counted as withheld."""
        if self.tokens >= 1.0:
            return True
        self.withheld += 1
        return False

    def withdraw(self) -> None:
        """Count a call that moves on."""
        self.tokens -= 1.0
        self.moved += 1


class Placement:
    """The servers that a request has tried, and those that were full."""

    def __init__(self, forwarder: Forwarder, call: Call) -> None:
        self.forwarder = forwarder
        self.call = call
        self.tried: set[Server] = set()
        self.full: set[Server] = set()
        self.candidates: Sequence[Server] = ()
        self.idle_slots: bool | None = None

    def choose(self, standing: Standing | None) -> Server | None:
        """Choose a server, None if there is none.

        A server that was full is chosen again only if there is no other.
        """
        forwarder, dependencies = self.forwarder, self.forwarder.dependencies
        servers = forwarder.candidate_servers(self.call, self.tried | self.full)
        if not servers and self.full:
            servers = forwarder.candidate_servers(self.call, self.tried)
        now = forwarder.clock.monotonic()
        if standing is not None:
            trusted = [s for s in servers if not standing.is_suspect_at(s.version)]
            if not trusted:
                return standing.choose_server(servers, now)
            servers = trusted
        self.candidates = servers
        choose = choose_evenly if dependencies.even_load else choose_server
        return choose(
            servers,
            dependencies.availability_zone,
            now,
            forwarder.rng,
            forwarder.latency_limit(self.call, now),
        )

    def may_move_on(self, server: Server) -> bool:
        """Return whether a call need not queue at a full server.

        Load pattern: many daemons with old views send calls to the same server at the
        same moment. A call moves on only within its zone, so that moves cost no bytes
        between zones, and not if all servers are full, as moves are in vain then. A
        short call waits less than a move takes.
        """
        if not self.forwarder.dependencies.even_load or len(self.full) >= MAX_MOVES:
            return False
        zone = self.forwarder.dependencies.availability_zone
        return (
            server.availability_zone == zone
            and not 0.0 < server.service_seconds < MIN_SERVICE_SECONDS
            and self.call.body.size_bytes <= MAX_MOVED_BODY_BYTES
            and self._has_other_server(server, zone)
            and self._has_idle_slots(zone)
            and self.forwarder.moves.has_token()
        )

    def _has_other_server(self, server: Server, zone: str) -> bool:
        now = self.forwarder.clock.monotonic()
        return any(
            other is not server
            and other not in self.full
            and other.availability_zone == zone
            and is_eligible(other, now)
            for other in self.candidates
        )

    def _has_idle_slots(self, zone: str) -> bool:
        """Return whether servers of the zone were idle when the request arrived."""
        if self.idle_slots is None:
            self.idle_slots = has_idle_slots(self.candidates, zone)
        return self.idle_slots

    def move_on(self, server: Server) -> None:
        """Record that a call moves on from a full server."""
        self.full.add(server)
        self.tried.discard(server)
        self.forwarder.moves.withdraw()


__all__ = ["MoveBudget", "Placement"]
