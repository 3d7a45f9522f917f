"""Responses of the platform's store, converted to those of the store's interface."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.revision import to_revision


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.store.http import HttpResponse


T = TypeVar("T")

OK = 200
# With these statuses the store guarantees that it has not applied the request.
NEVER_APPLIED_STATUSES = frozenset((400, 403, 404, 405, 410, 412, 413, 429, 503))


def parse_response(
    response: HttpResponse,
    convert: Callable[[dict[str, Any]], T],
    *,
    is_write: bool,
    expected: int = OK,
) -> Result[T, StoreError]:
    """Parse a response with the expected status; the error says what was received."""
    if response.status != expected:
        return Err(status_error(response, is_write=is_write))
    try:
        return Ok(convert(json.loads(response.body)))
    except MALFORMED_JSON_ERRORS as error:
        reason = f"malformed response: {type(error).__name__}: {error}"
        return Err(StoreError(reason, is_write))


def status_error(response: HttpResponse, *, is_write: bool) -> StoreError:
    """Return the error for a response with an unexpected status."""
    maybe_applied = response.status not in NEVER_APPLIED_STATUSES
    return StoreError(f"HTTP status {response.status}", is_write and maybe_applied)


def parse_item(copy: int, document: dict[str, Any]) -> KeyValue:
    """Parse an item; ``copy`` is the number of the copy that it was read from."""
    return KeyValue(
        key=str(document["key"]),
        value=base64.b64decode(document["value"], validate=True),
        mod_revision=to_revision(copy, int(document["revision"])),
        lease_id=int(document.get("lease", 0)),
    )


def parse_page(copy: int, document: dict[str, Any]) -> tuple[list[KeyValue], bool, int]:
    """Parse a page of items; return also whether more follow, and its revision."""
    items = [parse_item(copy, item) for item in document["items"]]
    revision = to_revision(copy, int(document["current-rev"]))
    return items, bool(document["has-more"]), revision


def parse_failed_swap(copy: int, document: dict[str, Any], key: str) -> SwapReply:
    """Parse the response to a swap whose condition did not hold."""
    items = [
        parse_item(copy, item)
        for item in document["items"]
        if item.get("revision") and "value" in item
    ]
    current = next((item for item in items if item.key == key), None)
    return SwapReply(False, current.mod_revision if current else 0, current)


def parse_changes(
    copy: int, document: dict[str, Any]
) -> tuple[tuple[WatchEvent, ...], int]:
    """Parse the changes that a watch delivers, and the revision to go on from."""
    events = tuple(_parse_event(copy, event) for event in document["events"])
    return events, to_revision(copy, int(document["current-rev"]))


def _parse_event(copy: int, event: dict[str, Any]) -> WatchEvent:
    if event.get("removed"):
        revision = to_revision(copy, int(event["revision"]))
        return WatchEvent(str(event["key"]), None, revision)
    item = parse_item(copy, event)
    return WatchEvent(item.key, item.value, item.mod_revision)


__all__ = [
    "OK",
    "parse_changes",
    "parse_failed_swap",
    "parse_item",
    "parse_page",
    "parse_response",
    "status_error",
]
