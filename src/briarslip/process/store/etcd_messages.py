"""Messages of the JSON gateway of etcd v3."""

from __future__ import annotations

import base64
from datetime import timedelta
from typing import Any

from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchEvent


def encode_base64(raw: bytes) -> str:
    """Return bytes as the gateway's JSON carries them."""
    return base64.b64encode(raw).decode("ascii")


def decode_base64(text: str) -> bytes:
    """Return the bytes that the gateway's JSON carries."""
    return base64.b64decode(text, validate=True)


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Return the first key and the end (exclusive) of a prefix's range."""
    raw = prefix.encode()
    if not raw:
        return b"\0", b"\0"
    # No byte of UTF-8 is 0xff, so the last byte can always be raised.
    return raw, raw[:-1] + bytes([raw[-1] + 1])


def key_value(item: dict[str, Any]) -> KeyValue:
    """Read one stored key of an answer."""
    return KeyValue(
        key=decode_base64(item["key"]).decode(),
        value=decode_base64(item.get("value", "")),
        mod_revision=int(item["mod_revision"]),
        lease_id=int(item.get("lease", 0)),
    )


def range_reply(reply: dict[str, Any]) -> RangeReply:
    """Read the answer of a range call."""
    items = tuple(key_value(item) for item in reply.get("kvs", ()))
    return RangeReply(items, int(reply["header"]["revision"]))


def swap_reply(reply: dict[str, Any]) -> SwapReply:
    """Read the answer of a compare-and-swap transaction."""
    revision = int(reply["header"]["revision"])
    if reply.get("succeeded", False):
        return SwapReply(swapped=True, revision=revision)
    items = reply["responses"][0]["response_range"].get("kvs", ())
    current = key_value(items[0]) if items else None
    return SwapReply(swapped=False, revision=revision, current=current)


def time_left(reply: dict[str, Any]) -> timedelta | None:
    """Read what is left of a lease, None if it has lapsed."""
    seconds = int(reply["result"].get("TTL", 0))
    return timedelta(seconds=seconds) if seconds > 0 else None


def watch_event(event: dict[str, Any]) -> WatchEvent:
    """Read one event of a watch."""
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
    "key_value",
    "prefix_range",
    "range_reply",
    "swap_reply",
    "time_left",
    "watch_event",
]
