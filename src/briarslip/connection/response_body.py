"""Bodies of backend servers' responses, decoded as they arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.connection.chunked_decoder import ChunkedDecoder


if TYPE_CHECKING:
    from briarslip.connection.http_head import BackendResponseHead


BODILESS_STATUSES = frozenset((204, 304))


class ResponseBody:
    """Parser of the bytes after a response's head, up to the end of its body.

    ``remaining_bytes`` is None for a body that is chunked or ends with the connection.
    ``trailing_data`` holds the bytes that follow a complete body.
    """

    def __init__(self, remaining_bytes: int | None, is_chunked: bool) -> None:
        self.remaining_bytes = remaining_bytes
        self.decoder = ChunkedDecoder() if is_chunked else None
        self.trailing_data = b""
        self.is_complete = remaining_bytes == 0

    @classmethod
    def from_head(cls, head: BackendResponseHead, method: str) -> ResponseBody:
        """Return the body that follows the response to a request with ``method``."""
        if method == "HEAD" or head.status in BODILESS_STATUSES:
            return cls(0, False)
        return cls(head.length, head.chunked)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the close of the connection ends the body."""
        return self.remaining_bytes is None and self.decoder is None

    @property
    def has_backlog(self) -> bool:
        """Whether received data can be decoded further without more data."""
        return self.decoder is not None and self.decoder.has_backlog

    def read(self, data: bytes) -> Result[bytes, str]:
        """Read received bytes; return the part of the body that they hold."""
        if self.decoder is not None:
            return self._read_chunks(self.decoder, data)
        if self.remaining_bytes is None:
            return Ok(data)
        part = data[: self.remaining_bytes]
        self.trailing_data = data[self.remaining_bytes :]
        self.remaining_bytes -= len(part)
        self.is_complete = self.remaining_bytes == 0
        return Ok(part)

    def _read_chunks(self, decoder: ChunkedDecoder, data: bytes) -> Result[bytes, str]:
        part = decoder.decode(data)
        if isinstance(part, Err):
            return part
        if decoder.is_complete:
            self.is_complete = True
            self.trailing_data = decoder.undecoded
        return part


__all__ = ["ResponseBody"]
