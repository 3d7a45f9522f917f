"""Claims on the platform, and the answers that their holders keep.

A claim costs one write, before the hand-over. Its answer stays with the daemon
that holds it, which a daemon with a copy of the request asks. Claims hang on a
lease that a daemon shares among all its claims, so that they go away by
themselves.
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


CLAIM_TRIES = 3
RETRY_SECONDS = 0.05
# What a call leaves the platform of its time; the rest is for the call itself.
PLATFORM_SHARE = 0.5
ANSWER_MARGIN_SECONDS = 0.02
RELEASE_DELAYS_SECONDS = (0.0, 1.0, 4.0, 16.0)
DOWN_SECONDS = 1.0
NONCE_BITS = 64


class StoreClaims:
    """Makes claims on the platform.

    After a failure every claim is refused at once for a second, so that calls
    don't all wait for a platform that is down.
    """

    def __init__(
        self,
        platform: StoreClient,
        clock: Clock,
        rng: random.Random,
        call_later: CallLater,
        own_address: Address,
        ask: Callable[[Address, Call, ResponseSink], Callable[[], None]],
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.call_later = call_later
        self.own_address = own_address
        self.ask = ask
        self.answers = ClaimResults(clock)
        self.lease = ClaimLease(platform, clock)
        self.down_until = float("-inf")

    def acquire(
        self, request: ClaimRequest, then: Callable[[ClaimDecision], None]
    ) -> None:
        """Make a claim; ``then`` gets the decision, before the deadline."""
        nonce = f"{self.rng.getrandbits(NONCE_BITS):016x}"
        claim = Claim(nonce, request.digest, str(self.own_address))
        Acquisition(self, request, claim, then).start()

    def serve(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Tell a peer what became of a request that is claimed here."""
        nonce = call.body.decode("latin-1")
        return self.answers.wait_for_result(
            call.target, nonce, lambda r: send_result(r, sink)
        )

    def store(self, held: AcquiredClaim, answer: StoredResponse) -> None:
        """Keep the answer for later copies, if it is small enough."""
        self.answers.store(held, answer)

    def abandon(self, held: AcquiredClaim) -> None:
        """Take note that there is no answer; the request may have run."""
        self.answers.complete(held, AlreadyForwarded())

    def release(self, held: AcquiredClaim) -> None:
        """Take back a claim whose request has surely not run."""
        _spawn(self._release(held))

    async def _release(self, held: AcquiredClaim) -> None:
        for delay in RELEASE_DELAYS_SECONDS:
            await self.sleep(delay)
            # An unclear claim may be written late, so it is looked for again.
            if await self._delete(held):
                self.answers.complete(held, Released())
                if held.revision:
                    return
        self.answers.complete(held, AlreadyForwarded())
        if held.revision:
            emit(Event.CLAIM_LEFT, key=held.key)

    async def _delete(self, held: AcquiredClaim) -> bool:
        """Delete the claim; return whether it is known to be gone."""
        reply = await self.platform.get(held.key)
        if isinstance(reply, Err):
            return False
        current = reply.ok_value
        if current is None or decode_claim(current.value) != held.claim:
            return True
        deleted = await self.platform.swap(held.key, None, current.mod_revision)
        return not isinstance(deleted, Err) and deleted.ok_value.swapped

    def failed(self, reason: str) -> None:
        """Take note that the platform doesn't answer."""
        now = self.clock.monotonic()
        if now >= self.down_until:
            emit(Event.CLAIMS_UNAVAILABLE, reason=reason)
        self.down_until = now + DOWN_SECONDS * self.rng.uniform(0.8, 1.2)

    async def sleep(self, seconds: float) -> None:
        """Wait some seconds."""
        if seconds > 0.0:
            waiting: Deferred[None] = Deferred()
            self.call_later(seconds, lambda: waiting.callback(None))
            await waiting


class Acquisition:
    """One claim on its way; it gives exactly one decision."""

    def __init__(
        self,
        claims: StoreClaims,
        request: ClaimRequest,
        claim: Claim,
        then: Callable[[ClaimDecision], None],
    ) -> None:
        self.claims = claims
        self.request = request
        self.claim = claim
        self.then = then
        self.timer: Timer | None = None
        self.tried_lease = 0
        self.cancel: Callable[[], None] = _nothing
        self.ended = False

    def start(self) -> None:
        """Look for the claim here first, then make it on the platform."""
        entry = self.claims.answers.find(self.request.key)
        if entry is not None:
            self._wait(entry.claim)
        else:
            self._ask_platform()

    def _ask_platform(self) -> None:
        if self.claims.clock.monotonic() < self.claims.down_until:
            self._end(StoreUnavailable())
            return
        remaining = self.request.deadline - self.claims.clock.monotonic()
        self._set_timer(remaining * PLATFORM_SHARE, self._time_out)
        _spawn(self._run())

    async def _run(self) -> None:
        decision = await self._decide()
        if isinstance(decision, Claim):
            if not self.ended:
                self._wait(decision)
        else:
            self._end(decision)

    async def _decide(self) -> ClaimDecision | Claim:
        for attempt in range(CLAIM_TRIES):
            if attempt:
                await self.claims.sleep(RETRY_SECONDS * 2**attempt)
            if self.ended:
                break
            decision = await self._try()
            if decision is not None:
                return decision
        self.claims.failed("no clear answer")
        return self._no_platform()

    async def _try(self) -> ClaimDecision | Claim | None:
        """Write the claim, or find the one that stands; None if unclear.

        A write whose answer was lost is simply made again: it creates the key
        or shows what stands there, by its nonce perhaps the claim itself.
        """
        claims = self.claims
        request = self.request
        granted = await claims.lease.take()
        if isinstance(granted, Err):
            return None
        lease = granted.ok_value
        self.tried_lease = lease
        reply = await claims.platform.swap(
            request.key, encode_claim(self.claim), 0, lease
        )
        if isinstance(reply, Err):
            if not reply.err_value.maybe_applied:
                claims.lease.forget(lease)
            return None
        if reply.ok_value.swapped:
            return self._held(reply.ok_value.revision, lease)
        current = reply.ok_value.current
        return None if current is None else self._judge(current)

    def _judge(self, current: KeyValue) -> ClaimDecision | Claim:
        existing = decode_claim(current.value)
        if existing is None:
            return AlreadyForwarded()
        if existing.nonce == self.claim.nonce:
            return self._held(current.mod_revision, current.lease_id)
        return existing

    def _wait(self, existing: Claim) -> None:
        """Wait for what became of the request that has the claim."""
        if existing.digest != self.request.digest:
            self._end(KeyMismatch())
            return
        remaining = self.request.deadline - self.claims.clock.monotonic()
        self._set_timer(remaining - ANSWER_MARGIN_SECONDS, self._no_answer)
        key = self.request.key
        if existing.holder == str(self.claims.own_address):
            self.cancel = self.claims.answers.wait_for_result(
                key, existing.nonce, self._take
            )
            return
        holder = parse_address(existing.holder)
        if isinstance(holder, Err):
            self._no_answer()
            return
        question = result_query(key, existing.nonce, self.request.deadline)
        self.cancel = self.claims.ask(holder.ok_value, question, ResultSink(self._take))

    def _take(self, result: ClaimResult) -> None:
        if self.ended:
            return
        if isinstance(result, Released):
            self._ask_platform()
        else:
            self._end(result)

    def _no_answer(self) -> None:
        self._end(AlreadyForwarded())
        self.cancel()

    def _held(self, revision: int, lease: int) -> ClaimDecision:
        held = AcquiredClaim(self.request.key, self.claim, revision, lease)
        if self.claims.lease.outlasts(lease, self.request.deadline):
            return held
        # Paused for so long that the claim may lapse before the call's end.
        self.claims.lease.forget(lease)
        return StoreUnavailable(held)

    def _no_platform(self) -> StoreUnavailable:
        if not self.tried_lease:
            return StoreUnavailable()
        key = self.request.key
        return StoreUnavailable(AcquiredClaim(key, self.claim, 0, self.tried_lease))

    def _time_out(self) -> None:
        self.claims.failed("timed out")
        self._end(self._no_platform())

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
        held = (
            decision.uncertain_claim
            if isinstance(decision, StoreUnavailable)
            else decision
        )
        if isinstance(held, AcquiredClaim):
            self.claims.answers.add(held)
        self.then(decision)


def _nothing() -> None:
    """Cancel nothing."""


def _spawn(work: Coroutine[Deferred[object], object, None]) -> None:
    Deferred.fromCoroutine(work)


__all__ = ["StoreClaims"]
