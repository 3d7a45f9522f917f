"""Suspicion against requests that were under way when backend servers crashed."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.crash_evidence import MIN_CRASHES
from briarslip.request.crash_evidence import CrashEvidence
from briarslip.request.standing import Standing


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.request.crash_evidence import SuspectedCrash
    from briarslip.request.fingerprint import Fingerprint


# After its last crash a quarantined request is run once more, in case it is innocent;
# after as many crashes as there are delays no more.
TRIAL_DELAYS_SECONDS = (60.0, 600.0, 6_000.0)
MAX_CRASHES_BY_TRIALS = MIN_CRASHES + len(TRIAL_DELAYS_SECONDS)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """The crashes that a request may have caused.

    ``confirmed_versions`` are the service versions for which it is known to be the
    cause.
    """

    fingerprint: Fingerprint
    crashes: tuple[SuspectedCrash, ...]
    confirmed_versions: frozenset[str]

    @property
    def is_quarantined(self) -> bool:
        """Whether servers of some version must not run the request."""
        return bool(self.confirmed_versions)

    @property
    def crashed_versions(self) -> frozenset[str]:
        """The service versions of the servers that crashed."""
        return frozenset(crash.version for crash in self.crashes)

    @property
    def ran_versions(self) -> frozenset[str]:
        """The service versions that have run the request since a crash."""
        return frozenset(
            version
            for crash in self.crashes
            for fingerprint, version in crash.ran
            if fingerprint == self.fingerprint
        )

    def is_known_to_run_at(self, version: str) -> bool:
        """Return whether a version neither crashed nor has still to be tried."""
        return version in self.ran_versions and version not in self.crashed_versions

    def standing(self, now: float) -> Standing:
        """Return where the request may run now.

        Once it is known to crash one version, a single crash of another suffices.
        """
        crashes = len(self.crashes)
        delays = TRIAL_DELAYS_SECONDS[max(0, crashes - MIN_CRASHES) :]
        last_at = max(crash.at for crash in self.crashes)
        return Standing(
            self.fingerprint,
            self.crashed_versions,
            self.ran_versions,
            self.is_quarantined,
            self.is_quarantined and bool(delays) and now - last_at >= delays[0],
            crashes < MAX_CRASHES_BY_TRIALS,
        )


def assess(crashes: Iterable[SuspectedCrash]) -> list[Suspicion]:
    """Return the suspicions that follow from the crashes of one service.

    Each of its versions is judged by itself, since a version may crash by requests
    that others run.
    """
    by_version: dict[str, list[SuspectedCrash]] = defaultdict(list)
    for crash in crashes:
        by_version[crash.version].append(crash)
    suspected: dict[Fingerprint, list[SuspectedCrash]] = defaultdict(list)
    confirmed_versions: dict[Fingerprint, set[str]] = defaultdict(set)
    for version, version_crashes in by_version.items():
        evidence = CrashEvidence.from_crashes(version_crashes)
        for fingerprint, unexplained in evidence.unexplained().items():
            suspected[fingerprint] += unexplained
        for fingerprint in evidence.causes():
            confirmed_versions[fingerprint].add(version)
    return [
        Suspicion(
            fingerprint,
            tuple(unexplained),
            frozenset(confirmed_versions.get(fingerprint, ())),
        )
        for fingerprint, unexplained in suspected.items()
    ]


__all__ = ["TRIAL_DELAYS_SECONDS", "Suspicion", "assess"]
