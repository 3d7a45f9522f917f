"""Results of requests whose claims this daemon has acquired."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.request.claim import MAX_STORED_RESPONSE_BYTES
from briarslip.request.claim import AlreadyForwarded
from briarslip.request.claim import Released
from briarslip.request.claim import Replay


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.claim import AcquiredClaim
    from briarslip.request.claim import Claim
    from briarslip.request.claim import ClaimResult
    from briarslip.request.claim import StoredResponse


MAX_TOTAL_BYTES = 2 << 20
ENTRY_OVERHEAD_BYTES = 500
# The longest time for which a claim can exist in the store.
RETENTION_SECONDS = 3600.0


@dataclass(eq=False)
class ClaimEntry:
    """A request with a claim; ``result`` is None until it has ended.

    ``callbacks`` get the result, by ID.
    """

    claim: Claim
    started_at: float
    result: ClaimResult | None = None
    size_bytes: int = ENTRY_OVERHEAD_BYTES
    callbacks: dict[int, Callable[[ClaimResult], None]] = field(default_factory=dict)


class ClaimResults:
    """The results of requests with a claim, bounded in age and total size.

    The oldest results are evicted first.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: OrderedDict[str, ClaimEntry] = OrderedDict()
        self.total_bytes = 0
        self.next_callback_id = 0

    def find(self, key: str) -> ClaimEntry | None:
        """Return the entry of a key, None if there is none or it has expired."""
        entry = self.entries.get(key)
        if entry is None:
            return None
        if self.clock.monotonic() - entry.started_at < RETENTION_SECONDS:
            return entry
        self._evict(key)
        return None

    def add(self, acquired: AcquiredClaim) -> None:
        """Add an entry for a claim, unless the key has one."""
        if self.find(acquired.key) is None:
            self.entries[acquired.key] = ClaimEntry(
                acquired.claim, self.clock.monotonic()
            )
            self.total_bytes += ENTRY_OVERHEAD_BYTES
            self._evict_oldest()

    def store(self, acquired: AcquiredClaim, response: StoredResponse) -> None:
        """Complete a claim with a response, if it is small enough to be stored."""
        entry = self._entry_of(acquired)
        if entry is None or response.size_bytes > MAX_STORED_RESPONSE_BYTES:
            self.complete(acquired, AlreadyForwarded())
            return
        entry.size_bytes += response.size_bytes
        self.total_bytes += response.size_bytes
        self.complete(acquired, Replay(response))
        self._evict_oldest()

    def complete(self, acquired: AcquiredClaim, result: ClaimResult) -> None:
        """Set the result of a claim and call the waiting callbacks with it.

        The entry of a released claim is removed.
        """
        entry = self._entry_of(acquired)
        if entry is None:
            return
        entry.result = result
        if isinstance(result, Released):
            self._evict(acquired.key)
        callbacks, entry.callbacks = entry.callbacks, {}
        for callback in callbacks.values():
            callback(result)

    def wait_for_result(
        self, key: str, nonce: str, callback: Callable[[ClaimResult], None]
    ) -> Callable[[], None]:
        """Call ``callback`` with the result of a claim once there is one.

        Return a function that cancels the wait. Without a matching entry the
        result is ``AlreadyForwarded``.
        """
        entry = self.find(key)
        if entry is None or entry.claim.nonce != nonce:
            callback(AlreadyForwarded())
        elif entry.result is not None:
            callback(entry.result)
        else:
            self.next_callback_id += 1
            callback_id, callbacks = self.next_callback_id, entry.callbacks
            callbacks[callback_id] = callback
            return lambda: _remove_callback(callbacks, callback_id)
        return lambda: None

    def _entry_of(self, acquired: AcquiredClaim) -> ClaimEntry | None:
        entry = self.find(acquired.key)
        return entry if entry is not None and entry.claim == acquired.claim else None

    def _evict(self, key: str) -> None:
        self.total_bytes -= self.entries.pop(key).size_bytes

    def _evict_oldest(self) -> None:
        if self.total_bytes <= MAX_TOTAL_BYTES:
            return
        for key, entry in list(self.entries.items()):
            if entry.result is not None:
                self._evict(key)
            if self.total_bytes <= MAX_TOTAL_BYTES * 3 // 4:
                return


def _remove_callback(
    callbacks: dict[int, Callable[[ClaimResult], None]], callback_id: int
) -> None:
    callbacks.pop(callback_id, None)


__all__ = ["ClaimEntry", "ClaimResults"]
