"""The answers of claimed requests, kept by the daemon that holds the claims."""

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
ENTRY_BYTES = 500
# As long as a claim can stand.
KEPT_SECONDS = 3600.0


@dataclass(eq=False)
class ClaimEntry:
    """A claimed request; ``result`` is None until it has ended."""

    claim: Claim
    began: float
    result: ClaimResult | None = None
    size: int = ENTRY_BYTES
    waiting: dict[int, Callable[[ClaimResult], None]] = field(default_factory=dict)


class ClaimResults:
    """What became of the claimed requests, the oldest forgotten first."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: OrderedDict[str, ClaimEntry] = OrderedDict()
        self.total_bytes = 0
        self.next_waiter = 0

    def find(self, key: str) -> ClaimEntry | None:
        """Return the entry of a key, unless its claim must have lapsed."""
        entry = self.entries.get(key)
        if entry is None:
            return None
        if self.clock.monotonic() - entry.began < KEPT_SECONDS:
            return entry
        self._forget(key)
        return None

    def add(self, held: AcquiredClaim) -> None:
        """Open the entry of a claim, unless the key has one."""
        if self.find(held.key) is None:
            self.entries[held.key] = ClaimEntry(held.claim, self.clock.monotonic())
            self.total_bytes += ENTRY_BYTES
            self._trim()

    def store(self, held: AcquiredClaim, answer: StoredResponse) -> None:
        """Keep the answer, if it is small enough."""
        entry = self._entry(held)
        if entry is None or answer.size > MAX_STORED_RESPONSE_BYTES:
            self.complete(held, AlreadyForwarded())
            return
        entry.size += answer.size
        self.total_bytes += answer.size
        self.complete(held, Replay(answer))
        self._trim()

    def complete(self, held: AcquiredClaim, result: ClaimResult) -> None:
        """Give those that wait the result, and later ones unless released."""
        entry = self._entry(held)
        if entry is None:
            return
        entry.result = result
        if isinstance(result, Released):
            self._forget(held.key)
        waiting, entry.waiting = entry.waiting, {}
        for then in waiting.values():
            then(result)

    def wait_for_result(
        self, key: str, nonce: str, then: Callable[[ClaimResult], None]
    ) -> Callable[[], None]:
        """Give the result of a claim when there is one; return the cancel."""
        entry = self.find(key)
        if entry is None or entry.claim.nonce != nonce:
            then(AlreadyForwarded())
        elif entry.result is not None:
            then(entry.result)
        else:
            self.next_waiter += 1
            number, waiting = self.next_waiter, entry.waiting
            waiting[number] = then
            return lambda: _discard(waiting, number)
        return lambda: None

    def _entry(self, held: AcquiredClaim) -> ClaimEntry | None:
        entry = self.find(held.key)
        return entry if entry is not None and entry.claim == held.claim else None

    def _forget(self, key: str) -> None:
        self.total_bytes -= self.entries.pop(key).size

    def _trim(self) -> None:
        if self.total_bytes <= MAX_TOTAL_BYTES:
            return
        for key, entry in list(self.entries.items()):
            if entry.result is not None:
                self._forget(key)
            if self.total_bytes <= MAX_TOTAL_BYTES * 3 // 4:
                return


def _discard(waiting: dict[int, Callable[[ClaimResult], None]], number: int) -> None:
    waiting.pop(number, None)


__all__ = ["ClaimEntry", "ClaimResults"]
