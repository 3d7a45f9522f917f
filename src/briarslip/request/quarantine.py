"""Quarantine of requests that crash the backend servers that run them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.crash import Clearance
from briarslip.request.crash_evidence import SuspectedCrash
from briarslip.request.fingerprint import body_digest
from briarslip.request.fingerprint import head_digest
from briarslip.request.suspicion import assess


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from briarslip.request.call import Call
    from briarslip.request.crash import Crash
    from briarslip.request.crash import CrashId
    from briarslip.request.standing import Standing
    from briarslip.request.suspicion import Suspicion


# A request that crashes servers comes again all day long.
CRASH_LIFETIME_SECONDS = 24 * 3600.0
MAX_CRASHES = 128


@dataclass(frozen=True, slots=True)
class KnownCrash:
    """A crash, and when it happened by the local monotonic clock in seconds."""

    crash: Crash
    at: float


@dataclass(frozen=True, slots=True)
class News:
    """Crashes and clearances that were unknown until now."""

    crashes: tuple[KnownCrash, ...]
    clearances: tuple[Clearance, ...]


class Quarantine:
    """The crashes and clearances that a daemon knows, and what follows from them.

    Both only ever accumulate until they expire, so daemons that have received the same
    ones in any order come to the same conclusions.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[CrashId, KnownCrash] = OrderedDict()
        self.cleared: dict[CrashId, set[Clearance]] = {}
        # By service, then by the digests of the head and of the body.
        self.suspicions: dict[str, dict[bytes, dict[bytes, Suspicion]]] = {}

    @property
    def clearances(self) -> frozenset[Clearance]:
        """Every clearance of a known crash."""
        return frozenset(c for cleared in self.cleared.values() for c in cleared)

    @property
    def quarantined(self) -> tuple[Suspicion, ...]:
        """The quarantined requests."""
        return tuple(s for s in self.all_suspicions if s.is_quarantined)

    @property
    def all_suspicions(self) -> Iterable[Suspicion]:
        """Every suspect request, quarantined or not."""
        for heads in self.suspicions.values():
            for bodies in heads.values():
                yield from bodies.values()

    def merge(
        self, crashes: Iterable[KnownCrash], clearances: Iterable[Clearance] = ()
    ) -> News:
        """Add crashes and clearances; return those that were unknown.

        A clearance of an unknown crash, or of a request that was not under way at the
        crash, is ignored.
        """
        new_crashes = [k for k in crashes if k.crash.id not in self.crashes]
        for known in new_crashes:
            self.crashes[known.crash.id] = known
        new_clearances = [c for c in clearances if self._is_new_clearance(c)]
        for clearance in new_clearances:
            self.cleared.setdefault(clearance.crash, set()).add(clearance)
        services = {known.crash.service for known in new_crashes}
        services |= {self.crashes[c.crash].crash.service for c in new_clearances}
        self._assess(services)
        self._remove(self._least_useful_crashes(len(self.crashes) - MAX_CRASHES))
        return News(
            tuple(k for k in new_crashes if k.crash.id in self.crashes),
            tuple(c for c in new_clearances if c.crash in self.crashes),
        )

    def _is_new_clearance(self, clearance: Clearance) -> bool:
        known = self.crashes.get(clearance.crash)
        if known is None:
            return False
        return clearance not in self.cleared.get(clearance.crash, ()) and any(
            suspect.fingerprint == clearance.fingerprint
            for suspect in known.crash.suspects
        )

    def expire(self, now: float) -> None:
        """Remove the crashes whose lifetime has passed."""
        oldest = now - CRASH_LIFETIME_SECONDS
        self._remove([i for i, known in self.crashes.items() if known.at < oldest])

    def find(self, call: Call) -> Suspicion | None:
        """Return the suspicion against a call, None if there is none.

        Calls to services without suspects cost nothing, and bodies are read only of
        calls whose head is that of a suspect.
        """
        heads = self.suspicions.get(call.service)
        if heads is None:
            return None
        bodies = heads.get(head_digest(call))
        return None if bodies is None else bodies.get(body_digest(call))

    def standing(self, call: Call, now: float) -> Standing | None:
        """Return where a call may run, None if it is no suspect."""
        suspicion = self.find(call)
        return None if suspicion is None else suspicion.standing(now)

    def _remove(self, crash_ids: Collection[CrashId]) -> None:
        if not crash_ids:
            return
        services = {self.crashes.pop(i).crash.service for i in crash_ids}
        for crash_id in crash_ids:
            self.cleared.pop(crash_id, None)
        self._assess(services)

    def _least_useful_crashes(self, count: int) -> list[CrashId]:
        """Return the oldest crashes, those that a quarantine is based on last.

        Otherwise callers could end a quarantine by causing other crashes.
        """
        if count <= 0:
            return []
        in_use = {crash.id for s in self.quarantined for crash in s.crashes}
        return sorted(self.crashes, key=lambda i: (i in in_use, self.crashes[i].at, i))[
            :count
        ]

    def _assess(self, services: Iterable[str]) -> None:
        """Derive the suspicions of services anew."""
        for service in services:
            heads = self._assess_service(service)
            if heads:
                self.suspicions[service] = heads
            else:
                self.suspicions.pop(service, None)

    def _assess_service(self, service: str) -> dict[bytes, dict[bytes, Suspicion]]:
        suspected = [
            self._suspected_crash(known)
            for known in self.crashes.values()
            if known.crash.service == service
        ]
        heads: dict[bytes, dict[bytes, Suspicion]] = {}
        for suspicion in assess(suspected):
            fingerprint = suspicion.fingerprint
            heads.setdefault(fingerprint.head, {})[fingerprint.body] = suspicion
        return heads

    def _suspected_crash(self, known: KnownCrash) -> SuspectedCrash:
        crash = known.crash
        cleared = self.cleared.get(crash.id, set())
        suspects = [
            suspect
            for suspect in crash.suspects
            if Clearance(suspect.fingerprint, crash.id, crash.version) not in cleared
        ]
        return SuspectedCrash(
            crash.id,
            crash.service,
            crash.version,
            known.at,
            frozenset(suspect.fingerprint for suspect in suspects),
            frozenset(s.fingerprint for s in suspects if s.isolated),
            frozenset((c.fingerprint, c.version) for c in cleared),
        )


__all__ = ["CRASH_LIFETIME_SECONDS", "MAX_CRASHES", "KnownCrash", "News", "Quarantine"]
