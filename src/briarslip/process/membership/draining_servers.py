"""Starts of backend servers that drain, remembered beyond a restart of their daemon."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Endpoint


MAX_STARTS = 1024
# A server ends within seconds of its draining, and its reports are late by seconds.
RETENTION_SECONDS = 600.0


class ServerStart(NamedTuple):
    """One start of a backend server: the address of its daemon and its incarnation."""

    daemon: Address
    incarnation: int


class DrainingServer(NamedTuple):
    """A start of a server, and the number of its report by which it began to drain."""

    incarnation: int
    sequence: int

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint) -> DrainingServer:
        """Return the start and the report of a draining endpoint."""
        return cls(endpoint.incarnation, endpoint.state_sequence)


@dataclass(slots=True)
class DrainingServers:
    """The starts of servers that any daemon has published as draining.

    A daemon that is restarted knows nothing of it, and takes a late report, from
    before the draining, for a new one. Only a later report can make a server ready
    again. ``sequences`` has the report by which each server began to drain, in the
    order of ``recorded_at``, whose times are monotonic seconds.
    """

    sequences: dict[ServerStart, int] = field(default_factory=dict)
    recorded_at: OrderedDict[ServerStart, float] = field(default_factory=OrderedDict)

    def record(
        self, daemon: Address, endpoints: Iterable[Endpoint], now: float
    ) -> bool:
        """Record a daemon's servers that drain, and forget those that are ready again.

        Return whether any draining server was not known.
        """
        is_any_new = False
        for endpoint in endpoints:
            start = ServerStart(daemon, endpoint.incarnation)
            if endpoint.draining and endpoint.incarnation:
                server = DrainingServer.from_endpoint(endpoint)
                is_any_new |= self.add(daemon, server, now)
            elif endpoint.state_sequence > self.sequences.get(
                start, endpoint.state_sequence
            ):
                self._forget(start)
        return is_any_new

    def add(self, daemon: Address, server: DrainingServer, now: float) -> bool:
        """Record one server that drains; return whether it was not known."""
        start = ServerStart(daemon, server.incarnation)
        known_sequence = self.sequences.get(start, -1)
        self.sequences[start] = max(server.sequence, known_sequence)
        self.recorded_at[start] = now
        self.recorded_at.move_to_end(start)
        if len(self.recorded_at) > MAX_STARTS:
            self._forget(next(iter(self.recorded_at)))
        return server.sequence > known_sequence

    def of_daemon(self, daemon: Address) -> tuple[DrainingServer, ...]:
        """Return the servers of a daemon that drain or have ended."""
        return tuple(
            DrainingServer(start.incarnation, sequence)
            for start, sequence in self.sequences.items()
            if start.daemon == daemon
        )

    def with_draining(
        self, daemon: Address, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints; those that a late report made ready are draining."""
        if not self.sequences:
            return endpoints
        return tuple(self._with_draining(daemon, endpoint) for endpoint in endpoints)

    def _with_draining(self, daemon: Address, endpoint: Endpoint) -> Endpoint:
        sequence = self.sequences.get(ServerStart(daemon, endpoint.incarnation))
        if sequence is None or endpoint.draining:
            return endpoint
        if endpoint.state_sequence > sequence:
            return endpoint
        return replace(endpoint, draining=True, state_sequence=sequence)

    def expire(self, now: float) -> None:
        """Forget the starts that were recorded long ago."""
        for start, recorded_at in list(self.recorded_at.items()):
            if now - recorded_at <= RETENTION_SECONDS:
                return
            self._forget(start)

    def _forget(self, start: ServerStart) -> None:
        del self.sequences[start]
        del self.recorded_at[start]


__all__ = ["DrainingServer", "DrainingServers"]
