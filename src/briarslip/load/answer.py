"""Whether an answer is the whole answer to its own request."""

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
    """What came of one request, as its sender sees it."""

    WHOLE = "whole"
    REFUSED = "refused"
    WRONG = "wrong"
    CUT = "cut"
    TIMED_OUT = "timed-out"
    NOT_CONNECTED = "not-connected"


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP answer; ``outcome`` is empty if its header is absent."""

    status: int
    outcome: str
    body: bytes


def check(request_id: str, kind: RequestKind, answer: Answer) -> Verdict:
    """Compare an answer with its request.

    A status of 400 and above is a refusal. Any other answer must name the
    request's id, method and body length, and be as long as was asked.
    """
    if answer.status >= 400:
        return Verdict.REFUSED
    if kind.method == "HEAD":
        return Verdict.WHOLE
    try:
        document = json.loads(answer.body)
    except ValueError:
        return Verdict.WRONG
    expected = {
        "id": request_id,
        "method": kind.method,
        "length": kind.body_bytes,
    }
    if not isinstance(document, dict) or any(
        document.get(name) != value for name, value in expected.items()
    ):
        return Verdict.WRONG
    size = parse_qs(urlsplit(kind.path).query).get("size", ["0"])[0]
    return Verdict.WHOLE if len(answer.body) >= int(size) else Verdict.WRONG


__all__ = ["Answer", "Verdict", "check"]
