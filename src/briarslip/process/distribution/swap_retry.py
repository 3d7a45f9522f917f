"""Compare-and-swap whose lost answers are settled before going on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.process.store.client import SwapReply


if TYPE_CHECKING:
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError


ATTEMPTS = 5


async def swap_with_retries(
    store: StoreClient, key: str, value: bytes | None, expected_revision: int
) -> Result[SwapReply, StoreError]:
    """Swap, and after an unclear answer try the same swap again.

    The swap can take effect once only, and a delayed first attempt then stands
    in the way of the second: ``value`` found at the key means that it took
    effect. So ``value`` must be one that nobody else writes, or that is as
    good when somebody else wrote it.
    """
    reply = await store.swap(key, value, expected_revision)
    unclear = False
    for _ in range(ATTEMPTS - 1):
        if not isinstance(reply, Err) or not reply.err_value.maybe_applied:
            break
        unclear = True
        reply = await store.swap(key, value, expected_revision)
    if isinstance(reply, Err) or reply.ok_value.swapped or not unclear:
        return reply
    current = reply.ok_value.current
    found = current.value if current is not None else None
    if found != value:
        return reply
    revision = current.mod_revision if current else reply.ok_value.revision
    return Ok(SwapReply(True, revision))


__all__ = ["swap_with_retries"]
