"""Where a request may run that was under way when a backend server crashed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.rendezvous import rank_by_hash
from briarslip.request.ejection import eligible_servers


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.request.call import Call
    from briarslip.request.crash import CrashId
    from briarslip.request.fingerprint import Fingerprint
    from briarslip.request.server import Server


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a suspect request may run.

    ``crashed_versions`` are the service versions of servers that crashed while it was
    under way, ``ran_versions`` those whose servers have run it since. Servers of others
    must not run it if ``is_quarantined``, unless ``is_trial_due``, or a version has
    neither crashed nor run it and ``may_try_versions``.
    """

    fingerprint: Fingerprint
    crashed_versions: frozenset[str] = frozenset()
    ran_versions: frozenset[str] = frozenset()
    is_quarantined: bool = False
    is_trial_due: bool = False
    may_try_versions: bool = True

    def is_suspect_at(self, version: str) -> bool:
        """Return whether the request must be isolated at servers of a version."""
        if version in self.crashed_versions:
            return True
        return self.is_quarantined and version not in self.ran_versions

    def may_run(self, version: str) -> bool:
        """Return whether servers of a service version may run the request."""
        if not self.is_quarantined or self.is_trial_due:
            return True
        if version in self.crashed_versions:
            return False
        return version in self.ran_versions or self.may_try_versions

    def choose_server(self, servers: Iterable[Server], now: float) -> Server | None:
        """Return the server to isolate the request at, None if there is none.

        All daemons choose the same one as far as they know the same servers. Load
        pattern: many copies of a request that crashes servers arrive at many daemons.
        """
        permitted = [server for server in servers if self.may_run(server.version)]
        eligible = {
            server.address: server for server in eligible_servers(permitted, now)
        }
        ranked = rank_by_hash(eligible, self.fingerprint.text)
        return eligible[ranked[0]] if ranked else None


def _no_standing(call: Call) -> Standing | None:
    return None


def _ignore_completed(version: str, call: Call) -> None:
    """Do nothing with a call that has run to its end."""


def _ignore_crash(service: str, version: str, calls: Iterable[Call]) -> CrashId | None:
    return None


@dataclass(frozen=True, slots=True)
class SuspectCalls:
    """The functions by which the daemon beside a server handles suspect calls.

    ``standing`` returns where a call may run, None if it is no suspect. ``completed``
    receives the version of the server and each call that it has run to its end,
    ``crashed`` the service and the version of a server that has crashed, with the
    calls that were under way.
    """

    standing: Callable[[Call], Standing | None] = _no_standing
    completed: Callable[[str, Call], None] = _ignore_completed
    crashed: Callable[[str, str, Iterable[Call]], CrashId | None] = _ignore_crash


__all__ = ["Standing", "SuspectCalls"]
