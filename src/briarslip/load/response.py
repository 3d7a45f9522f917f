"""Validation of responses against the requests that they answer."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit


if TYPE_CHECKING:
    from briarslip.load.plan import RequestKind


class Verdict(Enum):
    """The result of one request as its sender sees it; the values are in reports.

    MISMATCHED is a response that does not belong to its request or is too short,
    TRUNCATED one whose connection was lost before its end.
    """

    COMPLETE = "whole"
    ERROR_STATUS = "refused"
    MISMATCHED = "wrong"
    TRUNCATED = "cut"
    TIMED_OUT = "timed-out"
    NOT_CONNECTED = "not-connected"


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    ``outcome`` is the value of its Briarslip-Outcome header, or empty.
    """

    status: int
    outcome: str
    body: bytes


def check_response(request_id: str, kind: RequestKind, response: Response) -> Verdict:
    """Return whether a response is the complete response to its request.

    Any status of 400 or above counts as an error status. Otherwise the JSON body
    must echo the request's id, method and body length, and must be at least as long
    as the ``size`` parameter of the request's path. A HEAD response has no body to
    check.
    """
    if response.status >= 400:
        return Verdict.ERROR_STATUS
    if kind.method == "HEAD":
        return Verdict.COMPLETE
    try:
        document = json.loads(response.body)
    except ValueError:
        return Verdict.MISMATCHED
    expected = {
        "id": request_id,
        "method": kind.method,
        "length": kind.body_bytes,
    }
    if not isinstance(document, dict) or any(
        document.get(name) != value for name, value in expected.items()
    ):
        return Verdict.MISMATCHED
    size = parse_qs(urlsplit(kind.path).query).get("size", ["0"])[0]
    return Verdict.COMPLETE if len(response.body) >= int(size) else Verdict.MISMATCHED


__all__ = ["Response", "Verdict", "check_response"]
