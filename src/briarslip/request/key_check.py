"""Check of the key that a caller sends, and what it sends on to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from briarslip.version.record import Organisation
    from briarslip.version.record import Route
    from briarslip.version.routing_table import RoutingTable


class CredentialHeaders(Protocol):
    """The headers with a caller's key and with the name of its organisation."""

    def split_credentials(self, headers: bytes) -> tuple[bytes, bytes]:
        """Return the header lines without credentials, and the key in them or b""."""

    def organisation_line(self, organisation: str) -> bytes:
        """Return the header line that tells a server the caller's organisation."""


class NoCredentialHeaders:
    """Conventions without keys."""

    def split_credentials(self, headers: bytes) -> tuple[bytes, bytes]:
        """Return the header lines as they are, and no key."""
        return headers, b""

    def organisation_line(self, organisation: str) -> bytes:
        """Return no header line."""
        return b""


class CheckedRequest(NamedTuple):
    """The header lines that may leave the daemon, and the caller's organisation."""

    headers: bytes
    organisation: Organisation | None


def check_key(
    table: RoutingTable, route: Route, headers: bytes, conventions: CredentialHeaders
) -> CheckedRequest | None:
    """Return the request with its organisation, None if its key is not accepted.

    Without organisations no key is needed and the headers stay as they are. On a
    public route a key is not needed, but one that is sent must be known.
    """
    if not table.organisations:
        return CheckedRequest(headers, None)
    other_headers, key = conventions.split_credentials(headers)
    organisation = table.find_organisation(key) if key else None
    if organisation is not None:
        other_headers += conventions.organisation_line(organisation.name)
    elif key or not route.public:
        return None
    return CheckedRequest(other_headers, organisation)


__all__ = ["CheckedRequest", "CredentialHeaders", "NoCredentialHeaders", "check_key"]
