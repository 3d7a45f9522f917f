"""HTTP headers that callers, daemons and backend servers exchange."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import cached_property

from briarslip.request.header_lines import HeaderLines


@dataclass(frozen=True)
class HeaderConventions:
    """The header names and statuses that one deployment uses.

    An empty name means that the deployment does not use the header.

    ``deadline`` holds the milliseconds left for a request, both from callers and
    to servers. ``not_run`` on a response means that the server did not run the
    request, as does each of ``not_run_statuses``. A server echoes ``request_id``
    and sets ``signature`` on each response of its own. ``expected_server`` names
    the only server that may run a request, ``caller_service`` the service that
    sent it. ``outcome`` tells a caller whether its request was run. On a response,
    ``request_limit`` holds the requests a second that the server accepts from all
    instances together, and ``leaving`` is 1 if the server is about to end.
    ``retry_after_decimals`` is the number of decimals in Retry-After. ``credentials``
    holds a caller's key, after the ``credentials_scheme`` if that is not empty, and
    ``organisation`` tells a server the name of the organisation that holds the key.
    """

    deadline: bytes = b"Briarslip-Deadline-Ms"
    not_run: bytes = b"Briarslip-Not-Run"
    not_run_statuses: frozenset[int] = frozenset()
    request_id: bytes = b""
    signature: bytes = b""
    expected_server: bytes = b""
    caller_service: bytes = b""
    outcome: bytes = b"Briarslip-Outcome"
    request_limit: bytes = b"Briarslip-Request-Limit"
    leaving: bytes = b"Briarslip-Leaving"
    retry_after_decimals: int = 0
    credentials: bytes = b"Briarslip-Caller-Key"
    credentials_scheme: bytes = b""
    organisation: bytes = b"Briarslip-Organisation"

    @cached_property
    def names_set_by_daemon(self) -> frozenset[bytes]:
        """Lower-case names of request headers that a daemon always replaces."""
        names = (
            self.deadline,
            self.expected_server,
            self.caller_service,
            self.organisation,
        )
        return frozenset(name.lower() for name in names if name)

    @cached_property
    def inspected_names(self) -> frozenset[bytes]:
        """Lower-case names of headers that a daemon reads."""
        names = (
            self.not_run,
            self.request_id,
            self.signature,
            self.request_limit,
            self.leaving,
        )
        return self.names_set_by_daemon | {name.lower() for name in names if name}

    @cached_property
    def _request_id_lines(self) -> HeaderLines:
        return HeaderLines(self.request_id)

    def request_id_of(self, headers: bytes) -> bytes:
        """Return the request id from header lines, empty if there is none."""
        if not self.request_id:
            return b""
        return self._request_id_lines.first_value(headers)

    def request_id_text_of(self, headers: bytes) -> str:
        """Return the request id from header lines as text for logs."""
        return self.request_id_of(headers).decode("latin-1")

    @cached_property
    def _credentials_lines(self) -> HeaderLines:
        return HeaderLines(self.credentials)

    def split_credentials(self, headers: bytes) -> tuple[bytes, bytes]:
        """Return the header lines without credentials, and the key in them or b"".

        Credentials of another scheme have no key. Two lines of them have none either,
        since servers and daemons could take different ones.
        """
        lines = self._credentials_lines.all_values(headers)
        if not lines:
            return headers, b""
        others = self._credentials_lines.remove_from(headers)
        scheme = self.credentials_scheme.lower()
        if not scheme:
            return others, lines[0] if len(lines) == 1 else b""
        sent_scheme, _, key = lines[0].partition(b" ")
        is_usable = len(lines) == 1 and sent_scheme.lower() == scheme
        return others, key.strip() if is_usable else b""

    @property
    def challenge_line(self) -> bytes:
        """The header line that names the scheme to a caller without a valid key."""
        return _header_line(b"WWW-Authenticate", self.credentials_scheme.decode())

    def organisation_line(self, organisation: str) -> bytes:
        """Return the header line for the organisation that a request comes from."""
        return b"%s: %s\r\n" % (self.organisation, organisation.encode())

    def expected_server_line(self, server: str) -> bytes:
        """Return the header line for the only server that may run the request."""
        return _header_line(self.expected_server, server)

    def caller_service_line(self, service: str) -> bytes:
        """Return the header line for the service that a request comes from."""
        return _header_line(self.caller_service, service)

    def deadline_line(self, remaining_seconds: float) -> bytes:
        """Return the deadline header line for the remaining seconds."""
        return b"%s: %d\r\n" % (self.deadline, max(0, int(remaining_seconds * 1000)))

    def outcome_line(self, outcome: str) -> bytes:
        """Return the header line for the outcome of a request."""
        return _header_line(self.outcome, outcome)

    def retry_after_line(self, seconds: float) -> bytes:
        """Return the Retry-After header line for a delay in seconds."""
        if self.retry_after_decimals:
            return b"Retry-After: %.*f\r\n" % (self.retry_after_decimals, seconds)
        # HTTP's own Retry-After holds whole seconds; 0 would mean no wait.
        # Rounded up: a caller that returns earlier may be refused again.
        return b"Retry-After: %d\r\n" % max(1, math.ceil(seconds))


def _header_line(name: bytes, value: str) -> bytes:
    return b"%s: %s\r\n" % (name, value.encode("latin-1")) if name and value else b""


DEFAULT_CONVENTIONS = HeaderConventions()

__all__ = ["DEFAULT_CONVENTIONS", "HeaderConventions"]
