"""The task that shares crashes of backend servers with the other daemons."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.quarantine.codec import QuarantineDigest
from briarslip.process.quarantine.codec import QuarantineState
from briarslip.process.quarantine.codec import ReportedCrash
from briarslip.process.quarantine.codec import decode_message
from briarslip.process.quarantine.codec import encode_message
from briarslip.request.crash import Clearance
from briarslip.request.crash import Crash
from briarslip.request.crash import CrashId
from briarslip.request.crash import Suspect
from briarslip.request.fingerprint import Fingerprint
from briarslip.request.quarantine import CRASH_LIFETIME_SECONDS
from briarslip.request.quarantine import KnownCrash
from briarslip.request.quarantine import Quarantine


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.quarantine.codec import QuarantineMessage
    from briarslip.request.call import Call
    from briarslip.request.standing import Standing
    from briarslip.request.suspicion import Suspicion


TICK_SECONDS = 0.5
DIGEST_INTERVAL_TICKS = 4
DIGEST_PEERS = 2
DIGEST_BYTES = 16


class QuarantineTask:
    """Knows the crashes at all servers and which requests must not run because of them.

    Only the daemon beside a server reports its crashes, so each counts once. New
    crashes and clearances are sent to ``neighbors``, which forward what they did not
    know; digests sent to random neighbors make up for what was lost. Nothing is kept
    in the store. ``own_id`` has the address of this daemon and the time of its start.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        own_id: CrashId,
        neighbors: Callable[[], tuple[Address, ...]],
        send: Callable[[Address, Topic, bytes], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.last_id = own_id
        self.neighbors = neighbors
        self.send = send
        self.quarantine = Quarantine()
        self.last_neighbors: tuple[Address, ...] = ()
        self.tick_count = 0

    @property
    def suspicions(self) -> tuple[Suspicion, ...]:
        """Every suspect request, quarantined or not."""
        return tuple(self.quarantine.all_suspicions)

    def start(self) -> None:
        """Start to send digests, as long as there is anything to tell.

        A neighbor that is new gets one at once: it may have been started or have been
        cut off.
        """
        self.reactor.callLater(TICK_SECONDS, self.start)
        self.quarantine.expire(self.clock.monotonic())
        neighbors = self.neighbors()
        peers = set(neighbors) - set(self.last_neighbors)
        self.last_neighbors = neighbors
        self.tick_count += 1
        if self.tick_count % DIGEST_INTERVAL_TICKS == 0:
            count = min(DIGEST_PEERS, len(neighbors))
            peers.update(self.rng.sample(neighbors, count))
        if self.quarantine.crashes and peers:
            self._send_digests(peers)

    def standing(self, call: Call) -> Standing | None:
        """Return where a call may run, None if it is no suspect."""
        return self.quarantine.standing(call, self.clock.monotonic())

    def report_crash(
        self, service: str, version: str, calls: Iterable[Call]
    ) -> CrashId:
        """Report a crash of a local server at which calls were under way."""
        last = self.last_id
        self.last_id = CrashId(last.reporter, last.started_ms, last.number + 1)
        suspects = {
            Fingerprint.from_call(call): call.is_suspect
            for call in sorted(calls, key=lambda call: call.is_suspect)
        }
        crash = Crash(
            self.last_id,
            service,
            version,
            tuple(Suspect(*suspect) for suspect in suspects.items()),
        )
        self._merge(QuarantineState(False, (ReportedCrash(crash, 0.0),)))
        return self.last_id

    def call_completed(self, version: str, call: Call) -> None:
        """Record that a local server of a version has run a call to its end."""
        suspicion = self.quarantine.find(call)
        if suspicion is None or suspicion.is_known_to_run_at(version):
            return
        cleared = tuple(
            Clearance(suspicion.fingerprint, crash.id, version)
            for crash in suspicion.crashes
        )
        self._merge(QuarantineState(False, clearances=cleared))

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Receive a message of a peer."""
        decoded = decode_message(payload)
        if isinstance(decoded, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=decoded.err_value)
            return
        match decoded.ok_value:
            case QuarantineDigest(digest):
                if digest != self._digest():
                    self._send(sender, self._full_state())
            case QuarantineState() as state:
                self._merge(state, sender)
                if state.is_complete and self._is_behind(state):
                    self._send(sender, self._full_state())

    def _merge(self, state: QuarantineState, sender: Address | None = None) -> None:
        """Add what is new in a state and forward it to the neighbors."""
        before = {s.fingerprint: s for s in self.quarantine.quarantined}
        now = self.clock.monotonic()
        news = self.quarantine.merge(
            (
                KnownCrash(reported.crash, now - reported.age_seconds)
                for reported in state.crashes
                if reported.age_seconds < CRASH_LIFETIME_SECONDS
            ),
            state.clearances,
        )
        if not news.crashes and not news.clearances:
            return
        self._log_changes(before)
        update = QuarantineState(
            False, _report_crashes(news.crashes, now), news.clearances
        )
        for peer in self.neighbors():
            if peer != sender:
                self._send(peer, update)

    def _log_changes(self, before: dict[Fingerprint, Suspicion]) -> None:
        after = {s.fingerprint: s for s in self.quarantine.quarantined}
        for fingerprint, suspicion in (before | after).items():
            if (fingerprint in before) == (fingerprint in after):
                continue
            is_new = fingerprint in after
            emit(
                Event.REQUEST_QUARANTINED if is_new else Event.REQUEST_RELEASED,
                fingerprint=fingerprint.text,
                service=suspicion.crashes[0].service,
                versions=sorted(suspicion.crashed_versions),
                crashes=[str(crash.id) for crash in suspicion.crashes],
            )

    def _full_state(self) -> QuarantineState:
        now = self.clock.monotonic()
        crashes = _report_crashes(self.quarantine.crashes.values(), now)
        return QuarantineState(True, crashes, tuple(self.quarantine.clearances))

    def _is_behind(self, state: QuarantineState) -> bool:
        """Return whether the sender of a full state lacks something known here."""
        crash_ids = {reported.crash.id for reported in state.crashes}
        return bool(
            self.quarantine.crashes.keys() - crash_ids
            or self.quarantine.clearances.difference(state.clearances)
        )

    def _digest(self) -> bytes:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for crash_id in sorted(self.quarantine.crashes):
            digest.update(f"{crash_id}\n".encode())
        for text in sorted(
            f"{clearance.fingerprint.text} {clearance.crash} {clearance.version}\n"
            for clearance in self.quarantine.clearances
        ):
            digest.update(text.encode())
        return digest.digest()

    def _send_digests(self, peers: Iterable[Address]) -> None:
        digest = QuarantineDigest(self._digest())
        for peer in sorted(peers):
            self._send(peer, digest)

    def _send(self, peer: Address, message: QuarantineMessage) -> None:
        self.send(peer, Topic.QUARANTINE, encode_message(message))


def _report_crashes(
    crashes: Iterable[KnownCrash], now: float
) -> tuple[ReportedCrash, ...]:
    return tuple(ReportedCrash(known.crash, now - known.at) for known in crashes)


__all__ = ["QuarantineTask"]
