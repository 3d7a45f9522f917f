"""Names of the headers that callers, daemons and backend servers exchange."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True)
class HeaderConventions:
    """The header names and statuses of one deployment.

    An empty name stands for a header that the deployment does not have.

    ``deadline`` holds the milliseconds that are left for a request, on its way
    in and out. ``not_run`` on an answer says that the request was not run, as
    does each of ``not_run_statuses``. ``request_id`` is echoed by a server, and
    ``signature`` stands on each answer that a server made. ``expected_server``
    names the only server that may run a request, and ``caller_service`` the
    service that the request comes from. ``outcome`` tells a caller what became
    of its request. ``retry_after_decimals`` is how precisely a caller is told
    when to come back.
    """

    deadline: bytes = b"Briarslip-Deadline-Ms"
    not_run: bytes = b"Briarslip-Not-Run"
    not_run_statuses: frozenset[int] = frozenset()
    request_id: bytes = b""
    signature: bytes = b""
    expected_server: bytes = b""
    caller_service: bytes = b""
    outcome: bytes = b"Briarslip-Outcome"
    retry_after_decimals: int = 0

    @cached_property
    def names_set_by_daemon(self) -> frozenset[bytes]:
        """The request headers that a daemon sets, whatever came in, lower case."""
        names = (self.deadline, self.expected_server, self.caller_service)
        return frozenset(name.lower() for name in names if name)

    @cached_property
    def inspected_names(self) -> frozenset[bytes]:
        """The headers that a daemon looks at, in lower case."""
        names = (self.not_run, self.request_id, self.signature)
        return self.names_set_by_daemon | {name.lower() for name in names if name}

    @cached_property
    def _request_id_line(self) -> re.Pattern[bytes]:
        name = re.escape(self.request_id)
        return re.compile(rb"(?im)^%s:[ \t]*([^\r\n]*?)[ \t]*\r\n" % name)

    def request_id_of(self, headers: bytes) -> bytes:
        """Return the request's id in header lines, empty if there is none."""
        if not self.request_id:
            return b""
        match = self._request_id_line.search(headers)
        return b"" if match is None else match[1]

    def request_id_text_of(self, headers: bytes) -> str:
        """Return the request's id as the logs show it."""
        return self.request_id_of(headers).decode("latin-1")

    def expected_server_line(self, server: str) -> bytes:
        """Return the header line that names the only server that may run."""
        return _header_line(self.expected_server, server)

    def caller_service_line(self, service: str) -> bytes:
        """Return the header line that names the service a request comes from."""
        return _header_line(self.caller_service, service)

    def deadline_line(self, remaining: float) -> bytes:
        """Return the header line for the seconds that remain."""
        return b"%s: %d\r\n" % (self.deadline, max(0, int(remaining * 1000)))

    def outcome_line(self, outcome: str) -> bytes:
        """Return the header line that tells what became of a request."""
        return _header_line(self.outcome, outcome)

    def retry_after_line(self, seconds: float) -> bytes:
        """Return the header line that tells when to come back."""
        if self.retry_after_decimals:
            return b"Retry-After: %.*f\r\n" % (self.retry_after_decimals, seconds)
        # A whole second is the least that the header can say.
        return b"Retry-After: %d\r\n" % max(1, round(seconds))


def _header_line(name: bytes, value: str) -> bytes:
    return b"%s: %s\r\n" % (name, value.encode("latin-1")) if name and value else b""


DEFAULT_CONVENTIONS = HeaderConventions()

__all__ = ["DEFAULT_CONVENTIONS", "HeaderConventions"]
