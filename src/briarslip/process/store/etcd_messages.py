"""Encoding and parsing of messages of the JSON gateway of etcd v3."""

from __future__ import annotations

import base64
from datetime import timedelta
from typing import Any

from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchEvent


def encode_base64(raw: bytes) -> str:
    """Encode bytes as Base64 text, as in the gateway's JSON messages."""
    return base64.b64encode(raw).decode("ascii")


def decode_base64(text: str) -> bytes:
    """Decode Base64 text from the gateway's JSON messages."""
    return base64.b64decode(text, validate=True)


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Return the first key and the end (exclusive) of the range under a prefix."""
    raw = prefix.encode()
    if not raw:
        return b"\0", b"\0"
    # No byte of UTF-8 is 0xff, so the last byte can always be incremented.
    return raw, raw[:-1] + bytes([raw[-1] + 1])


def parse_key_value(item: dict[str, Any]) -> KeyValue:
    """Parse one stored key of a response."""
    return KeyValue(
        key=decode_base64(item["key"]).decode(),
        value=decode_base64(item.get("value", "")),
        mod_revision=int(item["mod_revision"]),
        lease_id=int(item.get("lease", 0)),
    )


def parse_range_reply(reply: dict[str, Any]) -> RangeReply:
    """Parse the response to a range request."""
    items = tuple(parse_key_value(item) for item in reply.get("kvs", ()))
    return RangeReply(items, int(reply["header"]["revision"]))


def parse_swap_reply(reply: dict[str, Any]) -> SwapReply:
    """Parse the response to a compare-and-swap transaction."""
    revision = int(reply["header"]["revision"])
    if reply.get("succeeded", False):
        return SwapReply(swapped=True, revision=revision)
    items = reply["responses"][0]["response_range"].get("kvs", ())
    current = parse_key_value(items[0]) if items else None
    return SwapReply(swapped=False, revision=revision, current=current)


def parse_lease_ttl(reply: dict[str, Any]) -> timedelta | None:
    """Parse the remaining time of a lease; return None if it has expired."""
    seconds = int(reply["result"].get("TTL", 0))
    return timedelta(seconds=seconds) if seconds > 0 else None


def parse_watch_event(event: dict[str, Any]) -> WatchEvent:
    """Parse one event of a watch."""
    item = event["kv"]
    deleted = event.get("type") == "DELETE"
    return WatchEvent(
        key=decode_base64(item["key"]).decode(),
        value=None if deleted else decode_base64(item.get("value", "")),
        mod_revision=int(item["mod_revision"]),
    )


__all__ = [
    "decode_base64",
    "encode_base64",
    "parse_key_value",
    "parse_lease_ttl",
    "parse_range_reply",
    "parse_swap_reply",
    "parse_watch_event",
    "prefix_range",
]
