"""The backend servers beside this daemon."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.deadline_wheel import DeadlineWheel
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.rollouts.evidence_collector import MeasuredServer
from briarslip.request.admission import Admission


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.process.announcements import Announcement
    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Endpoint
    from briarslip.request.call import Dispatch


MAX_SERVERS = 6
# Servers that have ended, remembered so that late announcements are told apart.
MAX_ENDED_SERVERS = 64


class LocalServer:
    """One backend server with its connections and its admission."""

    def __init__(
        self,
        announcement: Announcement,
        now: float,
        reactor: Any,
        clock: Clock,
        excluded_versions: Callable[[str], frozenset[str]],
        instrument: Callable[[Callable[[], MeasuredServer], Dispatch], Dispatch],
        conventions: HeaderConventions,
    ) -> None:
        self.announcement = announcement
        self.warm_at: float | None = None
        self.update_warm_up(now)
        self.expected_server_line = conventions.expected_server_line(
            announcement.server_id
        )
        self.last_announced_at = now
        slots = announcement.endpoint.slots
        self.pool = BackendPool(
            reactor, announcement.address, slots, conventions=conventions
        )
        instrumented_pool = instrument(self.as_measured_server, self.pool)
        call_later = DeadlineWheel(reactor, clock).call_later
        self.admission = Admission(
            clock,
            slots,
            instrumented_pool,
            call_later,
            excluded_versions,
            self.backend_headers,
            conventions.request_id_text_of,
        )
        self.conventions = conventions

    def as_measured_server(self) -> MeasuredServer:
        """Return what the evidence on a rollout needs to know of the server."""
        return MeasuredServer(self.announcement.endpoint.version, self.warm_at)

    def update_warm_up(self, now: float) -> None:
        """Take from the announcement when the server will be warm."""
        left = self.announcement.warm_up_left_seconds
        if left is not None:
            self.warm_at = now + left

    def backend_headers(self, remaining: float) -> bytes:
        """Return the header lines that a call gets on its way to the server."""
        return self.conventions.deadline_line(remaining) + self.expected_server_line


class LocalServers:
    """Keeps the servers that announce themselves, each for a lease."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        lease_seconds: float,
        on_change: Callable[[], None],
        excluded_versions: Callable[[str], frozenset[str]],
        instrument: Callable[[Callable[[], MeasuredServer], Dispatch], Dispatch],
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
    ) -> None:
        self.reactor = reactor
        self.conventions = conventions
        self.clock = clock
        self.lease_seconds = lease_seconds
        self.on_change = on_change
        self.excluded_versions = excluded_versions
        self.instrument = instrument
        self.servers: dict[Address, LocalServer] = {}
        self.retired: list[LocalServer] = []
        self.ended_incarnations: OrderedDict[str, int] = OrderedDict()

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """What members are told of the servers."""
        return tuple(s.announcement.endpoint for s in self.servers.values())

    @property
    def in_flight(self) -> int:
        """The calls at all servers, those that were replaced included."""
        servers = (*self.servers.values(), *self.retired)
        return sum(server.admission.in_flight for server in servers)

    def receive(self, announcement: Announcement) -> bool:
        """Take or renew a server's announcement; False if there are too many.

        One that was overtaken on its way says nothing new.
        """
        server = self.servers.get(announcement.address)
        if server is not None and announcement.is_older_than(server.announcement):
            return True
        if announcement.incarnation <= self.ended_incarnations.get(
            announcement.server_id, -1
        ):
            return True
        if server is None and len(self.servers) >= MAX_SERVERS:
            return False
        if server is None or _is_other_server(server.announcement, announcement):
            self._replace(announcement)
        else:
            server.last_announced_at = self.clock.monotonic()
            is_changed = server.announcement.endpoint != announcement.endpoint
            server.announcement = announcement
            server.update_warm_up(server.last_announced_at)
            if announcement.endpoint.draining:
                server.admission.close()
            else:
                server.admission.closed = False
            if is_changed:
                self.on_change()
        return True

    def deregister(self, server_id: str, incarnation: int = 0) -> None:
        """Give a server that ends no new work; what it runs goes on."""
        self.ended_incarnations[server_id] = incarnation
        for server in self.servers.values():
            announcement = server.announcement
            if announcement.server_id != server_id:
                continue
            self.ended_incarnations[server_id] = max(
                incarnation, announcement.incarnation
            )
            endpoint = replace(announcement.endpoint, draining=True)
            server.announcement = replace(announcement, endpoint=endpoint)
            server.admission.close()
            self.on_change()
        while len(self.ended_incarnations) > MAX_ENDED_SERVERS:
            self.ended_incarnations.popitem(last=False)

    def expire(self) -> None:
        """Forget the servers whose lease has lapsed."""
        now = self.clock.monotonic()
        for address, server in list(self.servers.items()):
            if now - server.last_announced_at > self.lease_seconds:
                self._retire(address)
                emit(Event.SERVER_EXPIRED, server=address)
                self.on_change()
        self.retired = [s for s in self.retired if s.admission.in_flight]

    def _replace(self, announcement: Announcement) -> None:
        """Take a server that is new, or another one at a known address."""
        self._retire(announcement.address)
        self.servers[announcement.address] = LocalServer(
            announcement,
            self.clock.monotonic(),
            self.reactor,
            self.clock,
            self.excluded_versions,
            self.instrument,
            self.conventions,
        )
        emit(Event.SERVER_ANNOUNCED, server=announcement.address)
        self.on_change()

    def _retire(self, address: Address) -> None:
        """Let a server's calls end and give it no new ones."""
        server = self.servers.pop(address, None)
        if server is not None:
            server.pool.close()
            server.admission.close()
            self.retired.append(server)

    def admission_for(self, service: str, version: str) -> Admission | None:
        """Return the admission of a server; ``version`` empty admits all."""
        for server in self.servers.values():
            endpoint = server.announcement.endpoint
            if (
                endpoint.service == service
                and version in ("", endpoint.version)
                and not endpoint.draining
            ):
                return server.admission
        return None


def _is_other_server(known: Announcement, given: Announcement) -> bool:
    """Tell whether another server, or another start of it, is at the address."""
    before, now = known.endpoint, given.endpoint
    return (
        before.service,
        before.version,
        before.slots,
        known.server_id,
        known.incarnation,
    ) != (now.service, now.version, now.slots, given.server_id, given.incarnation)


__all__ = ["MAX_SERVERS", "LocalServer", "LocalServers"]
