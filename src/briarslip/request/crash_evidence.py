"""Evidence from the crashes of a service version on the requests that caused them."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.request.crash import CrashId
    from briarslip.request.fingerprint import Fingerprint


MIN_CRASHES = 2
# More crashes than these of a version in the time before a crash suggest that it
# crashes by itself. Two may be the first ones that other requests cause.
MAX_OTHER_CRASHES = 2
OTHER_CRASHES_SECONDS = 60.0


@dataclass(frozen=True, slots=True, eq=False)
class SuspectedCrash:
    """A crash with the requests that may have caused it.

    ``isolated`` are those that were already suspects, and the only one at that server.
    ``ran`` has requests with the version of a server that has run them since. ``at`` is
    a reading of the monotonic clock in seconds.
    """

    id: CrashId
    service: str
    version: str
    at: float
    suspects: frozenset[Fingerprint]
    isolated: frozenset[Fingerprint]
    ran: frozenset[tuple[Fingerprint, str]]


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """The crashes of a service version.

    ``repeated`` has the requests that were under way at more than one of them, with
    those crashes, and ``confirmed`` those that must have caused a crash.
    """

    crashes: list[SuspectedCrash]
    repeated: dict[Fingerprint, list[SuspectedCrash]]
    confirmed: frozenset[Fingerprint]

    @classmethod
    def from_crashes(cls, crashes: list[SuspectedCrash]) -> CrashEvidence:
        """Find the requests that were under way repeatedly.

        Such a request is confirmed if it was isolated at a crash, and is the only
        repeated one of a crash.
        """
        counts = Counter(f for crash in crashes for f in crash.suspects)
        repeated = {
            fingerprint: [c for c in crashes if fingerprint in c.suspects]
            for fingerprint, count in counts.items()
            if count >= MIN_CRASHES
        }
        isolated = {f for crash in crashes for f in crash.isolated}
        found = (crash.suspects & repeated.keys() for crash in crashes)
        only_repeated = {f for one in found if len(one) == 1 for f in one}
        return cls(crashes, repeated, frozenset(only_repeated & isolated))

    def unexplained(self) -> dict[Fingerprint, list[SuspectedCrash]]:
        """Return the crashes that each request may have caused.

        A crash with a confirmed request says nothing against the other requests.
        """
        found: dict[Fingerprint, list[SuspectedCrash]] = defaultdict(list)
        for crash in self.crashes:
            for fingerprint in crash.suspects & self.confirmed or crash.suspects:
                found[fingerprint].append(crash)
        return found

    def causes(self) -> set[Fingerprint]:
        """Return the confirmed requests with enough evidence for a quarantine.

        While servers often crash by no repeated request, one crash of an isolated
        request may be a coincidence.
        """
        others = [c.at for c in self.crashes if c.suspects.isdisjoint(self.repeated)]
        causes: set[Fingerprint] = set()
        for fingerprint in self.confirmed:
            crashes = self.repeated[fingerprint]
            last_at = max(crash.at for crash in crashes)
            other_count = sum(
                0.0 <= last_at - at <= OTHER_CRASHES_SECONDS for at in others
            )
            isolated_count = sum(fingerprint in crash.isolated for crash in crashes)
            if isolated_count >= (2 if other_count > MAX_OTHER_CRASHES else 1):
                causes.add(fingerprint)
        return causes


__all__ = ["MIN_CRASHES", "CrashEvidence", "SuspectedCrash"]
