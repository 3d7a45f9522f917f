"""The backend servers by service, with what was learned about each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.server import Server
from briarslip.request.server_choice import WARM_UP_SECONDS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member


REFRESH_SECONDS = 0.5

ServerKey = tuple["Address", str, str]


class ServerDirectory:
    """An index of the members, so that a call does not go through them all.

    It is built again at most twice a second, and only if the members are
    another object than before.
    """

    def __init__(self, members: Callable[[], Iterable[Member]]) -> None:
        self.members = members
        self.seen: Iterable[Member] | None = None
        self.refreshed_at = float("-inf")
        self.servers: dict[ServerKey, Server] = {}
        self.services: dict[str, list[Server]] = {}

    def find(
        self, service: str, version: str, excluded: frozenset[str], now: float
    ) -> list[Server]:
        """Return the servers of a service; an empty version admits all."""
        if now - self.refreshed_at >= REFRESH_SECONDS:
            self.refresh(now)
        servers = self.services.get(service, [])
        if not version and not excluded:
            return servers
        return [
            server
            for server in servers
            if version in ("", server.version) and server.version not in excluded
        ]

    def refresh(self, now: float) -> None:
        """Take over the members as they are now."""
        self.refreshed_at = now
        members = self.members()
        if members is self.seen:
            return
        self.seen = members
        known, self.servers = self.servers, {}
        services, self.services = self.services, {}
        for member in members:
            for endpoint in member.endpoints:
                if endpoint.draining:
                    continue
                key = (member.address, endpoint.service, endpoint.version)
                server = known.get(key)
                if server is None:
                    # Nobody is cold for a daemon that has just started.
                    is_new = endpoint.service in services
                    server = Server(
                        address=member.address,
                        availability_zone=member.availability_zone,
                        service=endpoint.service,
                        version=endpoint.version,
                        slots=max(1, endpoint.slots),
                        warm_at=now + WARM_UP_SECONDS if is_new else now,
                    )
                self.servers[key] = server
                self.services.setdefault(endpoint.service, []).append(server)


__all__ = ["REFRESH_SECONDS", "ServerDirectory"]
