"""Headers that carry a call's context from hop to hop."""

from __future__ import annotations

import re
from dataclasses import dataclass


DEADLINE_LINE = b"Briarslip-Deadline-Ms: %d\r\n"
DEPTH_LINE = b"Briarslip-Depth: %d\r\n"
PRIORITY_LINE = b"Briarslip-Priority: bulk\r\n"
RETRIED_LINE = b"Briarslip-Retried: 1\r\n"
CONTEXT_LINES = re.compile(
    rb"(?im)^(briarslip-deadline-ms|briarslip-depth|briarslip-priority"
    rb"|briarslip-retried|idempotency-key)[ \t]*:[ \t]*([^\r\n]*)\r\n"
)
KEY_NAME = b"idempotency-key"
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class CallContext:
    """What a request's headers say about its place in a tree of calls.

    ``headers`` are the other header lines. ``retried`` is true when the
    request, or one that it is nested in, is a second attempt. ``bulk`` is true
    when it is nested in a bulk call.
    """

    headers: bytes
    key: bytes = b""
    retried: bool = False
    bulk: bool = False


def read_context(headers: bytes) -> CallContext:
    """Split header lines in wire form into the context and the rest."""
    found = {name.lower(): value for name, value in CONTEXT_LINES.findall(headers)}
    if not found:
        return CallContext(headers)
    key = found.get(KEY_NAME, b"").strip()
    rest = CONTEXT_LINES.sub(b"", headers)
    if key:
        rest += b"Idempotency-Key: %s\r\n" % key
    return CallContext(
        headers=rest,
        key=key,
        retried=found.get(b"briarslip-retried", b"").strip() == b"1",
        bulk=found.get(b"briarslip-priority", b"").strip().lower() == b"bulk",
    )


def context_lines(depth: int, urgent: bool, retried: bool) -> bytes:
    """Return the header lines that tell a server the context of its call."""
    lines = DEPTH_LINE % depth
    if not urgent:
        lines += PRIORITY_LINE
    if retried:
        lines += RETRIED_LINE
    return lines


def deadline_line(remaining: float) -> bytes:
    """Return the header line for the seconds that remain."""
    return DEADLINE_LINE % max(0, int(remaining * MS_PER_SECOND))


__all__ = ["CallContext", "context_lines", "deadline_line", "read_context"]
