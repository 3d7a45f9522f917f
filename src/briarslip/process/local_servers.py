"""The backend servers that are registered with this daemon."""

from __future__ import annotations

import math
from collections import OrderedDict
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.local_server import LocalServer
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.membership.member import FINAL_SEQUENCE
from briarslip.request.cold_limit import WINDOW_SECONDS
from briarslip.request.cold_limit import ColdLimit
from briarslip.request.standing import SuspectCalls


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.process.announcements import Announcement
    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Endpoint
    from briarslip.process.rollouts.evidence_collector import MeasuredServer
    from briarslip.request.admission import Admission
    from briarslip.request.call import Dispatch
    from briarslip.request.cold_limit import ColdRule


MAX_SERVERS = 6
MS_PER_SECOND = 1000
# Ended servers that are remembered to recognise their late announcements.
MAX_ENDED_SERVERS = 64


def _ignore_draining(server: DrainingServer) -> None:
    """Do nothing with a server that drains."""


def _no_cold_rule(service: str) -> ColdRule | None:
    return None


class LocalServers:
    """The servers that announce themselves, each until its lease expires.

    ``on_change`` is called when the endpoints change. ``excluded_versions``
    returns the versions of a service that get no calls, and ``instrument`` wraps
    the dispatch to a server so that the evidence on rollouts is collected.
    ``suspects`` knows which calls may have crashed servers. ``on_draining`` is called
    with each server that begins to drain. ``draining_starts`` has the report by which
    each start of a server began to drain, also from before a restart of this daemon.
    ``cold_rule`` returns what a cold server of a service may get, None without a limit.
    ``is_evacuated`` returns whether servers in this zone must not get calls.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        lease_seconds: float,
        on_change: Callable[[], None],
        excluded_versions: Callable[[str], frozenset[str]],
        instrument: Callable[[Callable[[], MeasuredServer], Dispatch], Dispatch],
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
        suspects: SuspectCalls | None = None,
        on_draining: Callable[[DrainingServer], None] = _ignore_draining,
        cold_rule: Callable[[str], ColdRule | None] = _no_cold_rule,
        is_evacuated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.suspects = suspects or SuspectCalls()
        self.reactor = reactor
        self.conventions = conventions
        self.clock = clock
        self.lease_seconds = lease_seconds
        self.cold_rule = cold_rule
        self.is_evacuated = is_evacuated
        self.started_at = clock.monotonic()
        self.on_change = on_change
        self.on_draining = on_draining
        self.excluded_versions = excluded_versions
        self.instrument = instrument
        self.servers: dict[Address, LocalServer] = {}
        self.retired: list[LocalServer] = []
        self.ended_incarnations: OrderedDict[str, int] = OrderedDict()
        self.draining_starts: OrderedDict[int, int] = OrderedDict()

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """The endpoints of the servers, as published to the members."""
        return tuple(s.announcement.endpoint for s in self.servers.values())

    @property
    def in_flight(self) -> int:
        """The number of calls at all servers, including replaced ones."""
        servers = (*self.servers.values(), *self.retired)
        return sum(server.admission.in_flight for server in servers)

    @property
    def sent_calls(self) -> int:
        """The number of calls that were sent to the registered servers."""
        return sum(server.admission.sent_calls for server in self.servers.values())

    @property
    def cold_servers(self) -> int:
        """The number of registered servers that get limited calls as they are cold."""
        now = self.clock.monotonic()
        return sum(server.cold_limit.is_cold(now) for server in self.servers.values())

    @property
    def queued_calls(self) -> int:
        """The number of calls that have queued for a slot of these servers."""
        return sum(server.dispatch.queued_calls for server in self.servers.values())

    @property
    def returned_calls(self) -> int:
        """The number of calls that moved on as these servers were full."""
        return sum(server.dispatch.returned_calls for server in self.servers.values())

    @property
    def request_limit(self) -> float:
        """The sum of the servers' limits in requests a second, infinity without."""
        limits = [server.admission.rate.limit for server in self.servers.values()]
        return sum(math.inf if limit is None else limit for limit in limits)

    def receive(self, announcement: Announcement) -> bool:
        """Register or renew a server; return False if there are too many servers.

        An announcement that arrives after a newer one, or after the end of its
        server, is ignored.
        """
        server = self.servers.get(announcement.address)
        if server is not None and announcement.is_older_than(server.announcement):
            return True
        if announcement.incarnation <= self.ended_incarnations.get(
            announcement.server_id, -1
        ):
            _log_ignored(announcement)
            return True
        is_same_start = server is not None and not _is_other_server(
            server.announcement, announcement
        )
        announcement = announcement.after(
            server.announcement if server is not None and is_same_start else None
        )
        if announcement.endpoint.draining:
            self._record_draining(announcement)
        elif self._is_leaving(announcement, server):
            _log_ignored(announcement)
            sequence = self.draining_starts.get(
                announcement.incarnation, FINAL_SEQUENCE
            )
            announcement = announcement.as_draining(sequence)
        if server is None and len(self.servers) >= MAX_SERVERS:
            return False
        if server is None or _is_other_server(server.announcement, announcement):
            self._replace(announcement)
        else:
            server.last_announced_at = self.clock.monotonic()
            is_changed = server.announcement.endpoint != announcement.endpoint
            server.announcement = announcement
            server.update_warm_up()
            if announcement.endpoint.draining:
                server.admission.close()
            else:
                server.admission.closed = False
            if is_changed:
                self.on_change()
        return True

    def _is_leaving(
        self, announcement: Announcement, server: LocalServer | None
    ) -> bool:
        """Return whether this start of the server is known to be leaving."""
        if not announcement.incarnation:
            return server is not None and server.admission.is_leaving
        sequence = self.draining_starts.get(announcement.incarnation)
        return sequence is not None and announcement.sequence <= sequence

    def _record_draining(self, announcement: Announcement) -> None:
        """Remember by which report a start of a server began to drain.

        Without an incarnation its starts can't be told apart.
        """
        if announcement.incarnation:
            sequence = announcement.endpoint.state_sequence
            self._record_start(DrainingServer(announcement.incarnation, sequence))

    def _record_start(self, server: DrainingServer) -> None:
        known_sequence = self.draining_starts.get(server.incarnation)
        if known_sequence is None:
            self.on_draining(server)
        self.draining_starts[server.incarnation] = max(
            server.sequence, known_sequence or 0
        )
        _forget_oldest(self.draining_starts)

    def _server_leaves(self, leaving: LocalServer) -> None:
        """Publish that a server takes no more calls, whatever it reports later.

        The response may be to a call from before the server was registered again.
        """
        announcement = leaving.announcement
        start = (announcement.server_id, announcement.incarnation)
        self._record_draining(announcement.as_draining())
        for server in {leaving, *self.servers.values()}:
            registered = server.announcement
            if (registered.server_id, registered.incarnation) != start:
                continue
            server.admission.leaving_incarnation = registered.endpoint.incarnation
            server.announcement = registered.as_draining()
            server.admission.close()
        self.on_change()

    def deregister(self, server_id: str, incarnation: int = 0) -> None:
        """Stop new calls to a server that is ending; running calls continue.

        ``incarnation`` is 0 if the server does not name its start. If it is not
        registered either, as after a restart of this daemon, every start before now
        has ended: a late report must not register the server again.
        """
        now_ms = int(self.clock.now().timestamp() * MS_PER_SECOND)
        self.ended_incarnations[server_id] = incarnation or now_ms
        if incarnation:
            self._record_start(DrainingServer(incarnation, FINAL_SEQUENCE))
        for server in self.servers.values():
            announcement = server.announcement
            if announcement.server_id != server_id:
                continue
            if 0 < incarnation < announcement.incarnation:
                # The deregistration of an earlier start is late.
                continue
            self.ended_incarnations[server_id] = max(
                incarnation, announcement.incarnation
            )
            server.announcement = announcement.as_draining()
            self._record_draining(server.announcement)
            server.admission.close()
            self.on_change()
        _forget_oldest(self.ended_incarnations)

    def restore_draining(self, known: DrainingServer) -> None:
        """Stop new calls to a server that has been draining before a restart.

        An earlier process of this daemon has published that, so other daemons or the
        store know it. A report from before the draining may still arrive.
        """
        if known.sequence <= self.draining_starts.get(known.incarnation, -1):
            return
        self.draining_starts[known.incarnation] = known.sequence
        _forget_oldest(self.draining_starts)
        emit(Event.SERVER_DRAINING_RESTORED, incarnation=known.incarnation)
        for server in self.servers.values():
            announcement = server.announcement
            is_same_start = announcement.incarnation == known.incarnation
            if is_same_start and self._is_leaving(announcement, server):
                server.announcement = announcement.as_draining(known.sequence)
                server.admission.close()
                self.on_change()

    def apply_evacuation(self) -> None:
        """Reject the calls that wait for a server while this zone is evacuated."""
        if self.is_evacuated():
            for server in self.servers.values():
                server.admission.reject_queued()

    def expire(self) -> None:
        """Remove the servers whose lease has expired."""
        now = self.clock.monotonic()
        for address, server in list(self.servers.items()):
            if now - server.last_announced_at > self.lease_seconds:
                self._retire(address)
                emit(Event.SERVER_EXPIRED, server=address)
                self.on_change()
        self.retired = [s for s in self.retired if s.admission.in_flight]

    def _replace(self, announcement: Announcement) -> None:
        """Register a new server, replacing any other one at its address."""
        previous = self.servers.get(announcement.address)
        if previous is not None:
            previous.crash_detector.server_restarted()
        self._retire(announcement.address)
        server = LocalServer(
            announcement,
            self.clock.monotonic(),
            self.reactor,
            self.clock,
            self.excluded_versions,
            self.instrument,
            self.conventions,
            self.suspects,
            self._cold_limit_for(announcement, previous),
        )
        server.admission.is_evacuated = self.is_evacuated
        server.admission.on_leaving = partial(self._server_leaves, server)
        if announcement.endpoint.draining:
            server.admission.close()
        self.servers[announcement.address] = server
        emit(Event.SERVER_ANNOUNCED, server=announcement.address)
        self.on_change()

    def _cold_limit_for(
        self, announcement: Announcement, previous: LocalServer | None
    ) -> ColdLimit:
        """Return the limit for a new start of a server.

        An earlier process of this daemon may just have sent calls to it.
        """
        cold_limit = ColdLimit(
            partial(self.cold_rule, announcement.endpoint.service),
            self.clock.monotonic(),
            self.started_at + WINDOW_SECONDS,
        )
        if previous is not None:
            cold_limit.continue_from(previous.cold_limit)
        return cold_limit

    def _retire(self, address: Address) -> None:
        """Stop new calls to a server; keep it until its running calls have ended."""
        server = self.servers.pop(address, None)
        if server is not None:
            server.pool.close()
            server.admission.close()
            self.retired.append(server)

    def dispatch_for(self, service: str, version: str) -> Dispatch | None:
        """Return the dispatch to a server of the version; any version if empty."""
        server = self._server_for(service, version)
        return None if server is None else server.dispatch

    def admission_for(self, service: str, version: str) -> Admission | None:
        """Return the admission of a server of the version; any version if empty."""
        server = self._server_for(service, version)
        return None if server is None else server.admission

    def _server_for(self, service: str, version: str) -> LocalServer | None:
        for server in self.servers.values():
            endpoint = server.announcement.endpoint
            if (
                endpoint.service == service
                and version in ("", endpoint.version)
                and not endpoint.draining
            ):
                return server
        return None


def _log_ignored(announcement: Announcement) -> None:
    emit(
        Event.SERVER_REPORT_IGNORED,
        server=announcement.address,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
    )


def _forget_oldest(incarnations: OrderedDict[Any, int]) -> None:
    while len(incarnations) > MAX_ENDED_SERVERS:
        incarnations.popitem(last=False)


def _is_other_server(registered: Announcement, received: Announcement) -> bool:
    """Return whether the announcement comes from another server or another start."""
    old, new = registered.endpoint, received.endpoint
    return (
        old.service,
        old.version,
        old.slots,
        registered.server_id,
        registered.incarnation,
    ) != (new.service, new.version, new.slots, received.server_id, received.incarnation)


__all__ = ["MAX_SERVERS", "LocalServers"]
