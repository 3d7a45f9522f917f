"""The platform's side of claims.

A claim costs one write before the hand-over and one for the answer. Claims
hang on a lease that a daemon shares among all its claims, so that they go
away by themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred

from briarslip.process.claim_lease import ClaimLease
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.claim import MAX_ANSWER_BYTES
from briarslip.request.claim import Claim
from briarslip.request.claim import HandedOver
from briarslip.request.claim import HeldClaim
from briarslip.request.claim import NoPlatform
from briarslip.request.claim import decide
from briarslip.request.claim import decode_claim
from briarslip.request.claim import encode_claim


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine

    from briarslip.process.clock import Clock
    from briarslip.process.platform import KeyValue
    from briarslip.process.platform import PlatformClient
    from briarslip.request.claim import ClaimRequest
    from briarslip.request.claim import Decision
    from briarslip.request.claim import StoredAnswer
    from briarslip.request.timer import CallLater
    from briarslip.request.timer import Timer


CLAIM_TRIES = 3
RETRY_SECONDS = 0.05
# What a call leaves the platform of its time; the rest is for the call itself.
PLATFORM_SHARE = 0.5
ANSWER_MARGIN_SECONDS = 0.02
FIRST_POLL_SECONDS = 0.1
POLLS = 6
RELEASE_DELAYS_SECONDS = (0.0, 1.0, 4.0, 16.0)
DOWN_SECONDS = 1.0
NONCE_BITS = 64


class PlatformClaims:
    """Makes claims on the platform.

    After a failure every claim is refused at once for a second, so that calls
    don't all wait for a platform that is down.
    """

    def __init__(
        self,
        platform: PlatformClient,
        clock: Clock,
        rng: random.Random,
        call_later: CallLater,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.call_later = call_later
        self.lease = ClaimLease(platform, clock)
        self.down_until = float("-inf")

    def acquire(self, request: ClaimRequest, then: Callable[[Decision], None]) -> None:
        """Make a claim; ``then`` gets the decision, before the deadline."""
        if self.clock.monotonic() < self.down_until:
            then(NoPlatform())
            return
        nonce = f"{self.rng.getrandbits(NONCE_BITS):016x}"
        acquisition = Acquisition(self, request, Claim(nonce, request.digest), then)
        acquisition.start()

    def store(self, held: HeldClaim, answer: StoredAnswer) -> None:
        """Keep the answer for later copies, if it is small enough."""
        if answer.size <= MAX_ANSWER_BYTES:
            _spawn(self._store(held, answer))

    async def _store(self, held: HeldClaim, answer: StoredAnswer) -> None:
        value = encode_claim(Claim(held.claim.nonce, held.claim.digest, answer))
        revision = held.revision
        # A lost answer is not read back: the value is written or it is not.
        reply = await self.platform.swap(held.key, value, revision, held.lease_id)
        if isinstance(reply, Err) or reply.ok_value.swapped:
            return
        current = reply.ok_value.current
        if current is not None and _is_pending(current, held):
            await self.platform.swap(
                held.key, value, current.mod_revision, held.lease_id
            )

    def release(self, held: HeldClaim) -> None:
        """Take back a claim whose request has surely not run."""
        _spawn(self._release(held))

    async def _release(self, held: HeldClaim) -> None:
        for delay in RELEASE_DELAYS_SECONDS:
            await self.sleep(delay)
            # An unclear claim may be written late, so it is looked for again.
            if await self._delete(held) and held.revision:
                return
        if held.revision:
            emit(Event.CLAIM_LEFT, key=held.key)

    async def _delete(self, held: HeldClaim) -> bool:
        """Delete the claim; return whether it is known to be gone."""
        reply = await self.platform.get(held.key)
        if isinstance(reply, Err):
            return False
        current = reply.ok_value
        if current is None or not _is_pending(current, held):
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
        claims: PlatformClaims,
        request: ClaimRequest,
        claim: Claim,
        then: Callable[[Decision], None],
    ) -> None:
        self.claims = claims
        self.request = request
        self.claim = claim
        self.then = then
        self.timer: Timer | None = None
        self.tried_lease = 0
        self.ended = False

    def start(self) -> None:
        """Begin, with a bound on the platform's time."""
        remaining = self.request.deadline - self.claims.clock.monotonic()
        self._set_timer(remaining * PLATFORM_SHARE, self._time_out)
        _spawn(self._run())

    async def _run(self) -> None:
        self._end(await self._decide())

    async def _decide(self) -> Decision:
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

    async def _try(self) -> Decision | None:
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
        return await self._read(reply.ok_value.current)

    async def _read(self, current: KeyValue | None) -> Decision | None:
        """Decide by the claim that stands, waiting for its answer a while."""
        delay = FIRST_POLL_SECONDS
        for _ in range(POLLS):
            if current is None:
                return None
            decision = self._judge(current)
            if decision != HandedOver() or self.ended:
                return decision
            self._wait_for_answer()
            await self.claims.sleep(delay)
            delay *= 2
            if self.ended:
                return decision
            reply = await self.claims.platform.get(self.request.key)
            if isinstance(reply, Err):
                return decision
            current = reply.ok_value
        return HandedOver()

    def _judge(self, current: KeyValue) -> Decision:
        existing = decode_claim(current.value)
        if existing is None:
            return HandedOver()
        if existing.nonce == self.claim.nonce:
            return self._held(current.mod_revision, current.lease_id)
        return decide(existing, self.request.digest)

    def _held(self, revision: int, lease: int) -> Decision:
        held = HeldClaim(self.request.key, self.claim, revision, lease)
        if self.claims.lease.outlasts(lease, self.request.deadline):
            return held
        # Paused for so long that the claim may lapse before the call's end.
        self.claims.lease.forget(lease)
        return NoPlatform(held)

    def _no_platform(self) -> NoPlatform:
        if not self.tried_lease:
            return NoPlatform()
        key = self.request.key
        return NoPlatform(HeldClaim(key, self.claim, 0, self.tried_lease))

    def _wait_for_answer(self) -> None:
        remaining = self.request.deadline - self.claims.clock.monotonic()
        self._set_timer(
            remaining - ANSWER_MARGIN_SECONDS, lambda: self._end(HandedOver())
        )

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

    def _end(self, decision: Decision) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.then(decision)


def _is_pending(current: KeyValue, held: HeldClaim) -> bool:
    """Tell whether a value is the held claim, still without an answer."""
    claim = decode_claim(current.value)
    return claim is not None and claim == held.claim


def _spawn(work: Coroutine[Deferred[object], object, None]) -> None:
    Deferred.fromCoroutine(work)


__all__ = ["PlatformClaims"]
