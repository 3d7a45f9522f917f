"""Header names and statuses of the platform's callers and backend servers."""

from __future__ import annotations

from briarslip.connection.header_conventions import HeaderConventions


# The status that guarantees that a request has not run and will not run.
MISDIRECTED = 421

PLATFORM_CONVENTIONS = HeaderConventions(
    deadline=b"Deadline-Ms",
    not_run=b"Not-Executed",
    not_run_statuses=frozenset((MISDIRECTED,)),
    request_id=b"Attempt-Id",
    signature=b"Server-Signature",
    expected_server=b"Expected-Instance",
    caller_service=b"Caller-Service",
    outcome=b"",
    request_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
    retry_after_decimals=3,
    credentials=b"Authorization",
    credentials_scheme=b"Token",
    organisation=b"Tenant",
)

__all__ = ["PLATFORM_CONVENTIONS"]
