"""HTTP endpoints for the backend server on the instance and for operators."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import partial
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.web import http

from briarslip.process.error_log import record_error
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from twisted.internet.interfaces import IAddress


# An announcement has some hundred bytes.
MAX_BODY_BYTES = 64 << 10
# A read of this size has few chunks, however short they are.
MAX_READ_BYTES = 4 << 10


@dataclass(frozen=True, slots=True)
class JsonReply:
    """An HTTP status and a body that is serialised as JSON."""

    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class TextReply:
    """An HTTP status and a plain text body."""

    status: int
    body: str


Reply = JsonReply | TextReply


class LocalRequest(http.Request):
    """One request to an endpoint."""

    def gotLength(self, length: int | None) -> None:
        """Buffer the body in memory, since instances have no disks."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 (Twisted)
        """Buffer a part of the body; abort the connection if it is too long."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            reason = f"the body is longer than {MAX_BODY_BYTES} bytes"
            emit(Event.MESSAGE_REJECTED, peer=self.getClientIP(), reason=reason)
            self.channel.abortConnection()
            return
        self.content.write(data)

    def process(self) -> None:
        """Send the reply of the endpoint for this method and path."""
        path = self.path.decode("latin-1")
        method = self.method.decode("latin-1")
        endpoint = self.channel.factory.find_endpoint(method, path)
        reply: Reply
        if endpoint is None:
            reply = JsonReply(http.NOT_FOUND, {"error": f"no such endpoint: {path}"})
        else:
            reply = self._call_endpoint(endpoint)
        if isinstance(reply, TextReply):
            body, content_type = reply.body.encode(), b"text/plain; version=0.0.4"
        else:
            body, content_type = (
                json.dumps(reply.body).encode() + b"\n",
                b"application/json",
            )
        self.setResponseCode(reply.status)
        self.setHeader(b"content-type", content_type)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()

    def _call_endpoint(self, endpoint: Callable[[bytes], Reply]) -> Reply:
        try:
            return endpoint(self.content.getvalue())
        except Exception as error:
            record_error(error)
            text = Reason.INTERNAL_ERROR.value
            return JsonReply(http.INTERNAL_SERVER_ERROR, {"error": text})


class LocalChannel(http.HTTPChannel):
    """A connection whose reads are short, since all of a read is processed at once."""

    def connectionMade(self) -> None:
        """Limit the reads of the transport."""
        super().connectionMade()
        self.transport.bufferSize = MAX_READ_BYTES


class LocalHttpFactory(http.HTTPFactory):
    """Serves endpoints by method and path.

    The endpoint of a path that ends with a slash serves all paths with one more
    segment; it is called with that segment and the body.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        endpoints: Mapping[tuple[str, str], Callable[..., Reply]],
    ) -> None:
        super().__init__(reactor=reactor)
        self.endpoints = endpoints

    def find_endpoint(self, method: str, path: str) -> Callable[[bytes], Reply] | None:
        """Return the endpoint for a method and path, None if there is none."""
        endpoint = self.endpoints.get((method, path))
        if endpoint is not None:
            return endpoint
        parent_path, _, last_segment = path.rpartition("/")
        endpoint = self.endpoints.get((method, f"{parent_path}/"))
        return (
            None
            if endpoint is None or not last_segment
            else partial(endpoint, last_segment)
        )

    def buildProtocol(self, addr: IAddress) -> http.HTTPChannel:
        """Build a plain HTTP/1.1 channel."""
        channel = LocalChannel()
        channel.requestFactory = LocalRequest
        channel.factory = self
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log."""


__all__ = ["JsonReply", "LocalHttpFactory", "Reply", "TextReply"]
