"""HTTP headers in wire form."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def header_block(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return end-to-end headers as lines, each ended by CRLF."""
    return b"".join(
        b"%s: %s\r\n" % (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
    )


def split_block(block: bytes) -> list[tuple[bytes, bytes]]:
    """Return the names and values of a header block."""
    pairs = []
    for line in block.split(b"\r\n"):
        name, separator, value = line.partition(b":")
        if separator:
            pairs.append((name.strip(), value.strip()))
    return pairs


__all__ = ["HOP_BY_HOP", "header_block", "split_block"]
