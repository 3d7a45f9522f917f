"""Compare-and-swap with retries while its outcome is unknown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.process.store.client import SwapReply


if TYPE_CHECKING:
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError


MAX_ATTEMPTS = 5


async def swap_with_retries(
    store: StoreClient, key: str, value: bytes | None, expected_revision: int
) -> Result[SwapReply, StoreError]:
    """Compare and swap, and retry as long as the outcome is unknown.

    Only one of the attempts can take effect, since it changes the revision that the
    others expect. If a retry fails because ``value`` is already at the key, an
    earlier attempt took effect and the reply says so. ``value`` must therefore be
    unique, or be equally valid if another client wrote it. The error of the last
    attempt is returned if every attempt failed.
    """
    reply = await store.swap(key, value, expected_revision)
    was_maybe_applied = False
    for _ in range(MAX_ATTEMPTS - 1):
        if not isinstance(reply, Err) or not reply.err_value.maybe_applied:
            break
        was_maybe_applied = True
        reply = await store.swap(key, value, expected_revision)
    if isinstance(reply, Err) or reply.ok_value.swapped or not was_maybe_applied:
        return reply
    current = reply.ok_value.current
    current_value = current.value if current is not None else None
    if current_value != value:
        return reply
    revision = current.mod_revision if current else reply.ok_value.revision
    return Ok(SwapReply(True, revision))


__all__ = ["swap_with_retries"]
