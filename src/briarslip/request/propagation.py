"""Headers that propagate the context of a call from hop to hop."""

from __future__ import annotations

import re
from dataclasses import dataclass


DEADLINE_HEADER = b"Briarslip-Deadline-Ms: %d\r\n"
DEPTH_HEADER = b"Briarslip-Depth: %d\r\n"
PRIORITY_HEADER = b"Briarslip-Priority: bulk\r\n"
RETRIED_HEADER = b"Briarslip-Retried: 1\r\n"
CONTEXT_HEADER_PATTERN = re.compile(
    rb"(?im)^(briarslip-deadline-ms|briarslip-depth|briarslip-priority"
    rb"|briarslip-retried|idempotency-key)[ \t]*:[ \t]*([^\r\n]*)\r\n"
)
IDEMPOTENCY_KEY_NAME = b"idempotency-key"
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class CallContext:
    """The context in a request's headers, set by calls that it is nested in.

    ``headers`` are the other header lines, with the idempotency key. ``is_retry``
    is true if the request, or one that it is nested in, is a retry. ``is_bulk`` is
    true if it is nested in a bulk call.
    """

    headers: bytes
    idempotency_key: bytes = b""
    is_retry: bool = False
    is_bulk: bool = False


def read_context(headers: bytes) -> CallContext:
    """Separate the context from the other header lines in wire form."""
    context_values = {
        name.lower(): value for name, value in CONTEXT_HEADER_PATTERN.findall(headers)
    }
    if not context_values:
        return CallContext(headers)
    key = context_values.get(IDEMPOTENCY_KEY_NAME, b"").strip()
    other_lines = CONTEXT_HEADER_PATTERN.sub(b"", headers)
    if key:
        other_lines += b"Idempotency-Key: %s\r\n" % key
    return CallContext(
        headers=other_lines,
        idempotency_key=key,
        is_retry=context_values.get(b"briarslip-retried", b"").strip() == b"1",
        is_bulk=context_values.get(b"briarslip-priority", b"").strip().lower()
        == b"bulk",
    )


def context_headers(depth: int, urgent: bool, is_retry: bool) -> bytes:
    """Return the header lines with the context of a call, in wire form."""
    lines = DEPTH_HEADER % depth
    if not urgent:
        lines += PRIORITY_HEADER
    if is_retry:
        lines += RETRIED_HEADER
    return lines


def deadline_header(remaining_seconds: float) -> bytes:
    """Return the header line for the remaining time in seconds."""
    return DEADLINE_HEADER % max(0, int(remaining_seconds * MS_PER_SECOND))


__all__ = ["CallContext", "context_headers", "deadline_header", "read_context"]
