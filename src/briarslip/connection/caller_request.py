"""Requests of callers, made from what their connections have received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.connection.client_errors import ReceivedRequest
from briarslip.request.forwarder import CallerRequest


if TYPE_CHECKING:
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.connection.http_head import RequestHead
    from briarslip.connection.request_reader import RequestReader
    from briarslip.request.body import Body
    from briarslip.request.flow_control import FlowControl


MAX_LOGGED_LINE_BYTES = 200


def make_request(
    head: RequestHead, body: Body, flow: FlowControl, added_headers: bytes
) -> CallerRequest:
    """Return the request to forward, with header lines added to its own."""
    return CallerRequest(
        method=head.method.decode("latin-1"),
        target=head.target.decode("latin-1"),
        headers=head.headers + added_headers,
        body=body,
        depth=head.depth,
        timeout_seconds=None if head.timeout_ms is None else head.timeout_ms / 1000,
        flow=flow,
        host=head.host,
    )


def describe_head(
    head: RequestHead, conventions: HeaderConventions, earlier_requests: int
) -> ReceivedRequest:
    """Return what is logged of a request whose head was read."""
    start_line = head.method + b" " + head.target[:MAX_LOGGED_LINE_BYTES]
    return ReceivedRequest(
        start_line.decode("latin-1"),
        conventions.request_id_text_of(head.headers),
        head.host,
        earlier_requests,
    )


def describe_unread(
    reader: RequestReader, conventions: HeaderConventions, earlier_requests: int
) -> ReceivedRequest:
    """Return what is logged of a request that is being received."""
    if reader.head is not None:
        return describe_head(reader.head, conventions, earlier_requests)
    line = reader.buffer[:MAX_LOGGED_LINE_BYTES].partition(b"\r\n")[0]
    return ReceivedRequest(line.decode("latin-1"), "", "", earlier_requests)


__all__ = ["describe_head", "describe_unread", "make_request"]
