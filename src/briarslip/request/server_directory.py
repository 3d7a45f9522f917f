"""Index of the backend servers by service, with the state of each."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from briarslip.request.server import Server
from briarslip.request.server_choice import SLOW_START_SECONDS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member


REFRESH_SECONDS = 0.5

# Leaving servers that are remembered, as the daemon beside one may be restarted.
MAX_LEAVING_SERVERS = 1024

ServerKey = tuple["Address", str, str, int]
ServerStart = tuple["Address", int]


class ServerDirectory:
    """Index of the members' servers by service.

    A call then need not search all members. The index is rebuilt at most twice a
    second, and only if ``members`` returns another object than before. The state
    of a server is kept as long as a member has the server.
    """

    def __init__(self, members: Callable[[], Iterable[Member]]) -> None:
        self.members = members
        self.indexed_members: Iterable[Member] | None = None
        self.refreshed_at = -math.inf
        self.servers: dict[ServerKey, Server] = {}
        self.servers_by_service: dict[str, list[Server]] = {}
        self.leaving: OrderedDict[ServerStart, None] = OrderedDict()

    def find(
        self, service: str, version: str, excluded_versions: frozenset[str], now: float
    ) -> list[Server]:
        """Return the servers of a service; an empty version matches all."""
        if now - self.refreshed_at >= REFRESH_SECONDS:
            self.refresh(now)
        servers = self.servers_by_service.get(service, [])
        if not version and not excluded_versions:
            return servers
        return [
            server
            for server in servers
            if version in ("", server.version)
            and server.version not in excluded_versions
        ]

    def record_leaving(self, address: Address, incarnation: int) -> None:
        """Send no more calls to a start of the server beside a daemon."""
        start = (address, incarnation)
        if start in self.leaving:
            return
        self.leaving[start] = None
        if len(self.leaving) > MAX_LEAVING_SERVERS:
            self.leaving.popitem(last=False)
        self.indexed_members = None
        self.refreshed_at = -math.inf

    def refresh(self, now: float) -> None:
        """Rebuild the index if the members have changed."""
        self.refreshed_at = now
        members = self.members()
        if members is self.indexed_members:
            return
        self.indexed_members = members
        previous, self.servers = self.servers, {}
        previous_services, self.servers_by_service = self.servers_by_service, {}
        for member in members:
            for endpoint in member.endpoints:
                start = (member.address, endpoint.incarnation)
                if endpoint.draining or start in self.leaving:
                    continue
                key = (
                    member.address,
                    endpoint.service,
                    endpoint.version,
                    endpoint.incarnation,
                )
                server = previous.get(key)
                if server is None:
                    # After the daemon starts, all servers are new to it but not cold.
                    is_new = endpoint.service in previous_services
                    server = Server(
                        address=member.address,
                        availability_zone=member.availability_zone,
                        service=endpoint.service,
                        version=endpoint.version,
                        slots=max(1, endpoint.slots),
                        slow_start_ends_at=now + SLOW_START_SECONDS if is_new else now,
                    )
                self.servers[key] = server
                self.servers_by_service.setdefault(endpoint.service, []).append(server)


__all__ = ["REFRESH_SECONDS", "ServerDirectory"]
