"""Heads of HTTP/1.1 requests and answers, read strictly."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache

from result import Err
from result import Ok
from result import Result
from twisted.web import http

from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.header_conventions import HeaderConventions


MAX_HEAD_BYTES = 32 << 10
HEAD_END = b"\r\n\r\n"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Each hop writes these itself.
PER_HOP = frozenset((b"content-length", b"briarslip-depth"))
NOT_END_TO_END = HOP_BY_HOP | PER_HOP
ALWAYS_NOTED = NOT_END_TO_END | {b"host"}

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
HEADER_LINES = rb"((?:%s:[^\x00-\x08\x0a-\x1f\x7f]*+\r\n)*+)" % TOKEN
REQUEST = re.compile(rb"(%s) ([\x21-\x7e]++) HTTP/1\.([01])\r\n" % TOKEN + HEADER_LINES)
ANSWER = re.compile(
    rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\r\n\x00]*+)?\r\n" + HEADER_LINES
)
DECLARED_LENGTH = re.compile(rb"(?im)^content-length:[ \t]*([0-9]+)[ \t]*\r\n")
ABSOLUTE_FORM = re.compile(rb"(?i)http://([^/?#@]+)([/?][^#]*)?")
MAX_NUMBER_DIGITS = 15


@dataclass(frozen=True, slots=True)
class HeadFault:
    """Why a head is refused, with the HTTP status that says so."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body.

    ``headers`` are the end-to-end header lines. ``length`` is None for a
    chunked body. ``keep`` says whether the connection goes on afterwards.
    """

    method: bytes
    target: bytes
    headers: bytes
    length: int | None
    keep: bool
    expects_continue: bool
    minor_version: bytes
    timeout_ms: int | None
    depth: int
    host: str = ""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """A backend server's answer without its body.

    ``length`` is None for a body that is chunked or ends with the connection.
    ``headers`` keep a Content-Length, which tells the caller's side how long
    the body must be. ``request_id`` is what the server echoes, ``signed``
    whether it put its signature on the answer.
    """

    status: int
    headers: bytes
    length: int | None
    chunked: bool
    keep: bool
    shed: bool
    request_id: bytes = b""
    signed: bool = False


@lru_cache(maxsize=8)
def _noted_pattern(conventions: HeaderConventions) -> re.Pattern[bytes]:
    names = sorted(re.escape(name) for name in ALWAYS_NOTED | conventions.noted)
    return re.compile(rb"(?im)^(%s):([^\r]*)\r\n" % b"|".join(names))


class NotedHeaders:
    """The headers of a head that matter to this hop, by lower-case name."""

    def __init__(self, block: bytes, conventions: HeaderConventions) -> None:
        self.block = block
        self.conventions = conventions
        self.values: dict[bytes, list[bytes]] = {}
        for name, value in _noted_pattern(conventions).findall(block):
            self.values.setdefault(name.lower(), []).append(value.strip())

    @property
    def connection(self) -> frozenset[bytes]:
        """The options of the Connection headers."""
        values = self.values.get(b"connection")
        if not values:
            return frozenset()
        options = b",".join(values).lower().split(b",")
        return frozenset(option.strip() for option in options)

    def keep(self, minor_version: bytes) -> bool:
        """Whether the connection goes on after this message."""
        if minor_version == b"0":
            return b"keep-alive" in self.connection
        return b"close" not in self.connection

    def end_to_end(self, kept: frozenset[bytes] = frozenset()) -> bytes:
        """Return the header lines without those of this hop, but for ``kept``."""
        own = NOT_END_TO_END | self.conventions.set_by_daemon
        dropped = (own - kept) & self.values.keys()
        if b"connection" in dropped:
            dropped |= self.connection - {b"close", b"keep-alive"} - kept
        if not dropped:
            return self.block
        lines = self.block.splitlines(keepends=True)
        return b"".join(
            line for line in lines if line.partition(b":")[0].lower() not in dropped
        )

    def first(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if there is none."""
        return self.values.get(name.lower(), [b""])[0]

    def number(self, name: bytes) -> Result[int | None, str]:
        """Read a header that may stand once and holds a whole number."""
        values = self.values.get(name)
        if values is None:
            return Ok(None)
        value = values[0]
        if len(values) > 1 or not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
            return Err(f"{name.decode()} is malformed")
        return Ok(int(value))


def parse_request_head(
    data: bytes, conventions: HeaderConventions = DEFAULT_CONVENTIONS
) -> Result[RequestHead, HeadFault]:
    """Read a request head up to, and without, its empty line.

    Anything that two readers could frame in two ways is refused.
    """
    match = REQUEST.fullmatch(data)
    if match is None:
        return Err(HeadFault(http.BAD_REQUEST, "the head is malformed"))
    method, target, minor, block = match.groups()
    noted = NotedHeaders(block, conventions)
    hosts = noted.values.get(b"host", [])
    if minor == b"1" and len(hosts) != 1:
        return Err(HeadFault(http.BAD_REQUEST, "there must be one Host header"))
    absolute = ABSOLUTE_FORM.fullmatch(target)
    if absolute is not None:
        hosts, target = [absolute[1]], absolute[2] or b"/"
    numbers: dict[bytes, int | None] = {}
    deadline = conventions.deadline.lower()
    for name in (PER_HOP | {deadline}) & noted.values.keys():
        number = noted.number(name)
        if isinstance(number, Err):
            return Err(HeadFault(http.BAD_REQUEST, number.err_value))
        numbers[name] = number.ok_value
    length = numbers.get(b"content-length")
    encodings = noted.values.get(b"transfer-encoding")
    if encodings is not None:
        if length is not None or minor == b"0":
            return Err(HeadFault(http.BAD_REQUEST, "the body has two framings"))
        if [encoding.lower() for encoding in encodings] != [b"chunked"]:
            return Err(HeadFault(http.NOT_IMPLEMENTED, "unknown transfer encoding"))
    expects = [value.lower() for value in noted.values.get(b"expect", ())]
    return Ok(
        RequestHead(
            method=method,
            target=target,
            headers=noted.end_to_end(),
            length=None if encodings is not None else length or 0,
            keep=noted.keep(minor),
            expects_continue=expects == [b"100-continue"],
            minor_version=minor,
            timeout_ms=numbers.get(deadline),
            depth=numbers.get(b"briarslip-depth") or 0,
            host=hosts[0].decode("latin-1").lower() if hosts else "",
        )
    )


def parse_answer_head(
    data: bytes, conventions: HeaderConventions = DEFAULT_CONVENTIONS
) -> Result[AnswerHead, str]:
    """Read an answer head up to, and without, its empty line."""
    match = ANSWER.fullmatch(data)
    if match is None:
        return Err("the head is malformed")
    minor, digits, block = match.groups()
    status = int(digits)
    noted = NotedHeaders(block, conventions)
    length = noted.number(b"content-length")
    if isinstance(length, Err):
        return Err(length.err_value)
    encodings = noted.values.get(b"transfer-encoding")
    if encodings is not None:
        if length.ok_value is not None:
            return Err("the body has two framings")
        if [encoding.lower() for encoding in encodings] != [b"chunked"]:
            return Err("unknown transfer encoding")
    return Ok(
        AnswerHead(
            status=status,
            headers=noted.end_to_end(frozenset((b"content-length",))),
            length=length.ok_value,
            chunked=encodings is not None,
            keep=noted.keep(minor),
            shed=conventions.not_run.lower() in noted.values
            or status in conventions.not_run_statuses,
            request_id=noted.first(conventions.request_id),
            signed=conventions.signature.lower() in noted.values,
        )
    )


def declared_length(block: bytes) -> int | None:
    """Return the Content-Length among header lines, if there is one."""
    match = DECLARED_LENGTH.search(block)
    return None if match is None else int(match[1])


__all__ = [
    "HEAD_END",
    "MAX_HEAD_BYTES",
    "AnswerHead",
    "HeadFault",
    "RequestHead",
    "declared_length",
    "parse_answer_head",
    "parse_request_head",
]
