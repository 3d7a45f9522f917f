"""Responses by which a backend server refuses a request without running it."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from briarslip.request.call import ResponseHead


# They are true for the caller as they are. Others would tell it that its request is
# wrong, or that it may have run.
FORWARDED_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
RETRY_AFTER_LINE = re.compile(
    rb"(?im)^retry-after:[ \t]*([0-9]{1,9}(?:\.[0-9]{1,9})?)[ \t]*\r\n"
)


def refusal_failure(head: ResponseHead) -> Failure:
    """Return the failure that a refusal stands for, with the server's Retry-After."""
    match = RETRY_AFTER_LINE.search(head.headers)
    seconds = None if match is None else float(match[1])
    return Failure(Outcome.NOT_RUN, Reason.SHED, seconds)


def may_forward_refusal(head: ResponseHead) -> bool:
    """Return whether the caller may get a refusal with its status and body."""
    return head.status in FORWARDED_STATUSES


__all__ = ["may_forward_refusal", "refusal_failure"]
