"""Claims in the store, and the responses that their holders keep.

A claim costs one write to the store, before the request is forwarded. The response
stays at the daemon that holds the claim; a daemon that receives a copy of the
request queries the holder for it. All claims of a daemon are attached to one lease
at a time, so that they expire without being deleted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred

from briarslip.address import parse_address
from briarslip.process.claims.lease import ClaimLease
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.claim import AcquiredClaim
from briarslip.request.claim import AlreadyForwarded
from briarslip.request.claim import Claim
from briarslip.request.claim import KeyMismatch
from briarslip.request.claim import Released
from briarslip.request.claim import StoreUnavailable
from briarslip.request.claim import decode_claim
from briarslip.request.claim import encode_claim
from briarslip.request.claim_query import ResultSink
from briarslip.request.claim_query import result_query
from briarslip.request.claim_query import send_result
from briarslip.request.claim_results import ClaimResults


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import StoreClient
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import ClaimDecision
    from briarslip.request.claim import ClaimRequest
    from briarslip.request.claim import ClaimResult
    from briarslip.request.claim import StoredResponse
    from briarslip.request.timer import CallLater
    from briarslip.request.timer import Timer


MAX_CLAIM_TRIES = 3
RETRY_BASE_SECONDS = 0.05
# Fraction of a call's remaining time that the store gets; the call has the rest.
STORE_TIME_FRACTION = 0.5
RESULT_MARGIN_SECONDS = 0.02
RELEASE_DELAYS_SECONDS = (0.0, 1.0, 4.0, 16.0)
UNAVAILABLE_SECONDS = 1.0
NONCE_BITS = 64


class StoreClaims:
    """Acquires and releases claims in the store.

    After a failure of the store, new claims fail at once for about
    ``UNAVAILABLE_SECONDS``, so that calls do not all wait for an unavailable store.
    """

    def __init__(
        self,
        store_client: StoreClient,
        clock: Clock,
        rng: random.Random,
        call_later: CallLater,
        own_address: Address,
        send_query: Callable[[Address, Call, ResponseSink], Callable[[], None]],
    ) -> None:
        self.store_client = store_client
        self.clock = clock
        self.rng = rng
        self.call_later = call_later
        self.own_address = own_address
        self.send_query = send_query
        self.results = ClaimResults(clock)
        self.lease = ClaimLease(store_client, clock)
        self.unavailable_until = float("-inf")

    def acquire(
        self, request: ClaimRequest, callback: Callable[[ClaimDecision], None]
    ) -> None:
        """Acquire a claim; ``callback`` receives the decision before the deadline."""
        nonce = f"{self.rng.getrandbits(NONCE_BITS):016x}"
        claim = Claim(nonce, request.digest, str(self.own_address))
        Acquisition(self, request, claim, callback).start()

    def serve(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Respond to a peer's query for the result of a request that is claimed here.

        Return a function that cancels the query.
        """
        nonce = call.body.to_bytes().decode("latin-1")
        return self.results.wait_for_result(
            call.target, nonce, lambda r: send_result(r, sink)
        )

    def store(self, acquired: AcquiredClaim, response: StoredResponse) -> None:
        """Store the response for later copies of the request, if it is small enough."""
        self.results.store(acquired, response)

    def abandon(self, acquired: AcquiredClaim) -> None:
        """Record that there is no response, although the request may have run."""
        self.results.complete(acquired, AlreadyForwarded())

    def release(self, acquired: AcquiredClaim) -> None:
        """Delete the claim of a request that is known not to have run."""
        _start_coroutine(self._release(acquired))

    async def _release(self, acquired: AcquiredClaim) -> None:
        for delay in RELEASE_DELAYS_SECONDS:
            await self.sleep(delay)
            # An uncertain write may be applied late, so check again after each delay.
            if await self._delete(acquired):
                self.results.complete(acquired, Released())
                if acquired.revision:
                    return
        self.results.complete(acquired, AlreadyForwarded())
        if acquired.revision:
            emit(Event.CLAIM_NOT_RELEASED, key=acquired.key)

    async def _delete(self, acquired: AcquiredClaim) -> bool:
        """Delete the claim; return whether the store is known not to have it."""
        reply = await self.store_client.get(acquired.key)
        if isinstance(reply, Err):
            return False
        current = reply.ok_value
        if current is None or decode_claim(current.value) != acquired.claim:
            return True
        deleted = await self.store_client.swap(acquired.key, None, current.mod_revision)
        return not isinstance(deleted, Err) and deleted.ok_value.swapped

    def record_failure(self, reason: str) -> None:
        """Record that the store did not reply; fail new claims at once for a while."""
        now = self.clock.monotonic()
        if now >= self.unavailable_until:
            emit(Event.CLAIMS_UNAVAILABLE, reason=reason)
        self.unavailable_until = now + UNAVAILABLE_SECONDS * self.rng.uniform(0.8, 1.2)

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        if seconds > 0.0:
            waiting: Deferred[None] = Deferred()
            self.call_later(seconds, lambda: waiting.callback(None))
            await waiting


class Acquisition:
    """The acquisition of one claim; reports exactly one decision."""

    def __init__(
        self,
        claims: StoreClaims,
        request: ClaimRequest,
        claim: Claim,
        callback: Callable[[ClaimDecision], None],
    ) -> None:
        self.claims = claims
        self.request = request
        self.claim = claim
        self.callback = callback
        self.timer: Timer | None = None
        self.tried_lease_id = 0
        self.cancel_query: Callable[[], None] = _no_op
        self.ended = False

    def start(self) -> None:
        """Look for the claim at this daemon, then write it to the store."""
        entry = self.claims.results.find(self.request.key)
        if entry is not None:
            self._wait_for_result(entry.claim)
        else:
            self._claim_in_store()

    def _claim_in_store(self) -> None:
        if self.claims.clock.monotonic() < self.claims.unavailable_until:
            self._end(StoreUnavailable())
            return
        remaining_seconds = self.request.deadline - self.claims.clock.monotonic()
        self._set_timer(remaining_seconds * STORE_TIME_FRACTION, self._store_timed_out)
        _start_coroutine(self._run())

    async def _run(self) -> None:
        decision = await self._decide()
        if isinstance(decision, Claim):
            if not self.ended:
                self._wait_for_result(decision)
        else:
            self._end(decision)

    async def _decide(self) -> ClaimDecision | Claim:
        for try_number in range(MAX_CLAIM_TRIES):
            if try_number:
                await self.claims.sleep(RETRY_BASE_SECONDS * 2**try_number)
            if self.ended:
                break
            decision = await self._try()
            if decision is not None:
                return decision
        self.claims.record_failure("no definite reply from the store")
        return self._store_unavailable()

    async def _try(self) -> ClaimDecision | Claim | None:
        """Write the claim or return the existing one; None if the result is unknown.

        A write whose reply was lost can be repeated: it creates the key or returns
        the existing claim, whose nonce shows whether the lost write created it.
        """
        claims = self.claims
        request = self.request
        lease_reply = await claims.lease.get_lease_id()
        if isinstance(lease_reply, Err):
            return None
        lease_id = lease_reply.ok_value
        self.tried_lease_id = lease_id
        reply = await claims.store_client.swap(
            request.key, encode_claim(self.claim), 0, lease_id
        )
        if isinstance(reply, Err):
            if not reply.err_value.maybe_applied:
                claims.lease.retire(lease_id)
            return None
        if reply.ok_value.swapped:
            return self._claim_acquired(reply.ok_value.revision, lease_id)
        current = reply.ok_value.current
        return None if current is None else self._decide_from_existing(current)

    def _decide_from_existing(self, current: KeyValue) -> ClaimDecision | Claim:
        existing = decode_claim(current.value)
        if existing is None:
            return AlreadyForwarded()
        if existing.nonce == self.claim.nonce:
            return self._claim_acquired(current.mod_revision, current.lease_id)
        return existing

    def _wait_for_result(self, existing: Claim) -> None:
        """Wait for the result of the request that holds the existing claim."""
        if existing.digest != self.request.digest:
            self._end(KeyMismatch())
            return
        remaining_seconds = self.request.deadline - self.claims.clock.monotonic()
        self._set_timer(
            remaining_seconds - RESULT_MARGIN_SECONDS, self._end_without_result
        )
        key = self.request.key
        if existing.holder == str(self.claims.own_address):
            self.cancel_query = self.claims.results.wait_for_result(
                key, existing.nonce, self._receive_result
            )
            return
        holder = parse_address(existing.holder)
        if isinstance(holder, Err):
            self._end_without_result()
            return
        query = result_query(key, existing.nonce, self.request.deadline)
        self.cancel_query = self.claims.send_query(
            holder.ok_value, query, ResultSink(self._receive_result)
        )

    def _receive_result(self, result: ClaimResult) -> None:
        if self.ended:
            return
        if isinstance(result, Released):
            self._claim_in_store()
        else:
            self._end(result)

    def _end_without_result(self) -> None:
        self._end(AlreadyForwarded())
        self.cancel_query()

    def _claim_acquired(self, revision: int, lease_id: int) -> ClaimDecision:
        acquired = AcquiredClaim(self.request.key, self.claim, revision, lease_id)
        if self.claims.lease.outlasts(lease_id, self.request.deadline):
            return acquired
        # After a long pause of the process the claim may expire before the call ends.
        self.claims.lease.retire(lease_id)
        return StoreUnavailable(acquired)

    def _store_unavailable(self) -> StoreUnavailable:
        if not self.tried_lease_id:
            return StoreUnavailable()
        key = self.request.key
        return StoreUnavailable(AcquiredClaim(key, self.claim, 0, self.tried_lease_id))

    def _store_timed_out(self) -> None:
        self.claims.record_failure("the store did not reply in time")
        self._end(self._store_unavailable())

    def _set_timer(self, seconds: float, function: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.claims.call_later(max(0.0, seconds), self._fire(function))

    def _fire(self, function: Callable[[], None]) -> Callable[[], None]:
        def fire() -> None:
            self.timer = None
            function()

        return fire

    def _end(self, decision: ClaimDecision) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        acquired = (
            decision.uncertain_claim
            if isinstance(decision, StoreUnavailable)
            else decision
        )
        if isinstance(acquired, AcquiredClaim):
            self.claims.results.add(acquired)
        self.callback(decision)


def _no_op() -> None:
    """Do nothing: there is no query to cancel."""


def _start_coroutine(coroutine: Coroutine[Deferred[object], object, None]) -> None:
    Deferred.fromCoroutine(coroutine)


__all__ = ["StoreClaims"]
