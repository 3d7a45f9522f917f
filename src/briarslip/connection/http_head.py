"""Strict parsing of the heads of HTTP/1.1 requests and responses."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result
from twisted.web import http

from briarslip.connection.deadline_value import parse_deadline_ms
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.header_conventions import HeaderConventions
from briarslip.connection.server_status import NO_STATUS
from briarslip.connection.server_status import parse_server_status


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.request.call import ServerStatus


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
# Each hop sets its own value.
DEPTH_NAME = b"briarslip-depth"
SET_PER_HOP = frozenset((b"content-length", DEPTH_NAME))
NOT_END_TO_END = HOP_BY_HOP | SET_PER_HOP
ALWAYS_INSPECTED = NOT_END_TO_END | {b"host"}

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
HEADER_LINES = rb"((?:%s:[^\x00-\x08\x0a-\x1f\x7f]*+\r\n)*+)" % TOKEN
REQUEST_HEAD = re.compile(
    rb"(%s) ([\x21-\x7e]++) HTTP/1\.([01])\r\n" % TOKEN + HEADER_LINES
)
RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n\x00]*+)?\r\n" + HEADER_LINES
)
DECLARED_LENGTH = re.compile(rb"(?im)^content-length:[ \t]*([0-9]+)[ \t]*\r\n")
ABSOLUTE_FORM = re.compile(rb"(?i)http://([^/?#@]+)([/?][^#]*)?")
MAX_NUMBER_DIGITS = 15
# Of a malformed head, in its error.
MAX_SHOWN_BYTES = 64
FIRST_REDIRECTION_STATUS = 300
DEPTH = re.compile(rb"[0-9]{1,%d}" % MAX_NUMBER_DIGITS)


@dataclass(frozen=True, slots=True)
class HeadError:
    """Why a request head is rejected, with the HTTP status of the response."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body.

    ``headers`` holds the end-to-end header lines. ``length`` is in bytes, None for
    a chunked body. ``keep_alive`` is whether the connection stays open after the
    response.
    """

    method: bytes
    target: bytes
    headers: bytes
    length: int | None
    keep_alive: bool
    expects_continue: bool
    minor_version: bytes
    timeout_ms: int | None
    depth: int
    host: str = ""


@dataclass(frozen=True, slots=True)
class BackendResponseHead:
    """A backend server's response without its body.

    ``length`` is in bytes, None for a body that is chunked or ends with the
    connection. ``headers`` keeps Content-Length, by which the caller's daemon
    checks the length of the body. ``shed`` means that the server did not run the
    request. ``request_id`` is the id that the server echoed, ``signed`` whether
    the response has the server's signature. ``server_status`` is what the server
    states about itself, or the reason why that can't be read.
    """

    status: int
    headers: bytes
    length: int | None
    chunked: bool
    keep_alive: bool
    shed: bool
    request_id: bytes = b""
    signed: bool = False
    server_status: Result[ServerStatus, str] = NO_STATUS


@lru_cache(maxsize=8)
def _inspected_pattern(conventions: HeaderConventions) -> re.Pattern[bytes]:
    names = sorted(
        re.escape(name) for name in ALWAYS_INSPECTED | conventions.inspected_names
    )
    return re.compile(rb"(?im)^(%s):([^\r]*)\r\n" % b"|".join(names))


class InspectedHeaders:
    """Values of the headers that this hop reads, by lower-case name."""

    def __init__(self, header_lines: bytes, conventions: HeaderConventions) -> None:
        self.header_lines = header_lines
        self.conventions = conventions
        self.values: dict[bytes, list[bytes]] = {}
        for name, value in _inspected_pattern(conventions).findall(header_lines):
            self.values.setdefault(name.lower(), []).append(value.strip())

    @property
    def connection_options(self) -> frozenset[bytes]:
        """The lower-case options of the Connection headers."""
        values = self.values.get(b"connection")
        if not values:
            return frozenset()
        options = b",".join(values).lower().split(b",")
        return frozenset(option.strip() for option in options)

    def is_keep_alive(self, minor_version: bytes) -> bool:
        """Return whether the connection stays open after this message."""
        if minor_version == b"0":
            return b"keep-alive" in self.connection_options
        return b"close" not in self.connection_options

    def end_to_end(self, retained_names: frozenset[bytes] = frozenset()) -> bytes:
        """Return the lines without hop-by-hop headers, except ``retained_names``."""
        hop_headers = NOT_END_TO_END | self.conventions.names_set_by_daemon
        removed_names = (hop_headers - retained_names) & self.values.keys()
        if b"connection" in removed_names:
            removed_names |= (
                self.connection_options - {b"close", b"keep-alive"} - retained_names
            )
        if not removed_names:
            return self.header_lines
        lines = self.header_lines.splitlines(keepends=True)
        return b"".join(
            line
            for line in lines
            if line.partition(b":")[0].lower() not in removed_names
        )

    def first_value(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if there is none."""
        return self.values.get(name.lower(), [b""])[0]

    def all_values(self, name: bytes) -> list[bytes]:
        """Return the values of a header, empty if there is none."""
        return self.values.get(name.lower(), [])

    def parse_number(self, name: bytes) -> Result[int | None, str]:
        """Parse a header that may occur once and holds a whole number.

        None means that the header is absent.
        """
        values = self.values.get(name)
        if values is None:
            return Ok(None)
        value = values[0]
        # Zeros before a number have no limit.
        is_number = value.isdigit() and len(value.lstrip(b"0")) <= MAX_NUMBER_DIGITS
        if len(values) > 1 or not is_number:
            return Err(f"{name.decode()} is malformed")
        return Ok(_to_int(value))


def parse_request_head(
    data: bytes, conventions: HeaderConventions = DEFAULT_CONVENTIONS
) -> Result[RequestHead, HeadError]:
    """Parse a request head without its final empty line.

    Ambiguous framing is rejected, since another parser on the path could find
    the end of the body elsewhere (request smuggling).
    """
    match = REQUEST_HEAD.fullmatch(data)
    if match is None:
        return Err(HeadError(http.BAD_REQUEST, "the head is malformed"))
    method, target, minor, header_lines = match.groups()
    inspected = InspectedHeaders(header_lines, conventions)
    hosts = inspected.values.get(b"host", [])
    if minor == b"1" and len(hosts) != 1:
        return Err(HeadError(http.BAD_REQUEST, "there must be one Host header"))
    absolute = ABSOLUTE_FORM.fullmatch(target)
    if absolute is not None:
        hosts, target = [absolute[1]], absolute[2] or b"/"
    content_length = inspected.parse_number(b"content-length")
    if isinstance(content_length, Err):
        return Err(HeadError(http.BAD_REQUEST, content_length.err_value))
    length = content_length.ok_value
    timeout = parse_deadline_ms(inspected.all_values(conventions.deadline))
    if isinstance(timeout, Err):
        return Err(HeadError(http.BAD_REQUEST, timeout.err_value))
    encodings = inspected.values.get(b"transfer-encoding")
    if encodings is not None:
        if length is not None or minor == b"0":
            return Err(HeadError(http.BAD_REQUEST, "the body has two framings"))
        if [encoding.lower() for encoding in encodings] != [b"chunked"]:
            return Err(HeadError(http.NOT_IMPLEMENTED, "unknown transfer encoding"))
    expects = [value.lower() for value in inspected.values.get(b"expect", ())]
    return Ok(
        RequestHead(
            method=method,
            target=target,
            headers=inspected.end_to_end(),
            length=None if encodings is not None else length or 0,
            keep_alive=inspected.is_keep_alive(minor),
            expects_continue=expects == [b"100-continue"],
            minor_version=minor,
            timeout_ms=timeout.ok_value,
            depth=_parse_depth(inspected.all_values(DEPTH_NAME)),
            host=hosts[0].decode("latin-1").lower() if hosts else "",
        )
    )


def _parse_depth(values: Iterable[bytes]) -> int:
    """Return the largest of the depths that can be read, 0 if there is none."""
    members = (member.strip() for value in values for member in value.split(b","))
    return max((int(m) for m in members if DEPTH.fullmatch(m)), default=0)


def parse_response_head(
    data: bytes, conventions: HeaderConventions = DEFAULT_CONVENTIONS
) -> Result[BackendResponseHead, str]:
    """Parse a response head without its final empty line."""
    match = RESPONSE_HEAD.fullmatch(data)
    if match is None:
        return Err(f"the head is malformed, it begins with {data[:MAX_SHOWN_BYTES]!r}")
    minor, digits, header_lines = match.groups()
    status = int(digits)
    inspected = InspectedHeaders(header_lines, conventions)
    length = inspected.parse_number(b"content-length")
    if isinstance(length, Err):
        return Err(length.err_value)
    encodings = inspected.values.get(b"transfer-encoding")
    if encodings is not None:
        if length.ok_value is not None:
            return Err("the body has two framings")
        if [encoding.lower() for encoding in encodings] != [b"chunked"]:
            return Err("unknown transfer encoding")
    # Callers tell by the signature that a response is the server's.
    retained_names = frozenset((b"content-length", conventions.signature.lower()))
    return Ok(
        BackendResponseHead(
            status=status,
            headers=inspected.end_to_end(retained_names),
            length=length.ok_value,
            chunked=encodings is not None,
            keep_alive=inspected.is_keep_alive(minor),
            shed=conventions.not_run.lower() in inspected.values
            or status in conventions.not_run_statuses,
            request_id=inspected.first_value(conventions.request_id),
            signed=inspected.first_value(conventions.signature) != b"",
            server_status=parse_server_status(inspected.values, conventions),
        )
    )


def lacks_signature(head: BackendResponseHead, conventions: HeaderConventions) -> bool:
    """Return whether a final response can't be the server's own.

    A server signs each response to a request that it ran, whatever the status. It need
    not sign that it did not run one; a status below 300 contradicts that.
    """
    if not conventions.signature or head.signed:
        return False
    return not head.shed or head.status < FIRST_REDIRECTION_STATUS


def declared_length(header_lines: bytes) -> int | None:
    """Return the Content-Length from header lines, None if there is none."""
    match = DECLARED_LENGTH.search(header_lines)
    return None if match is None else _to_int(match[1])


def _to_int(digits: bytes) -> int:
    """Convert digits; ``int`` refuses thousands of them, even if they are zeros."""
    return int(digits.lstrip(b"0") or b"0")


__all__ = [
    "HEAD_END",
    "MAX_HEAD_BYTES",
    "BackendResponseHead",
    "HeadError",
    "RequestHead",
    "declared_length",
    "lacks_signature",
    "parse_request_head",
    "parse_response_head",
]
