"""Invariants of a trial, checked on what callers, servers and daemons recorded."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from bench.chaos.traffic import CUT_OFF
from bench.chaos.traffic import NOT_SENT


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from pathlib import Path

    from bench.chaos.fault_log import FaultLog
    from bench.chaos.status_poller import StatusSample
    from bench.chaos.traffic import CallerAttempt
    from bench.chaos.traffic import SentRequest


NOT_RUN_OUTCOMES = frozenset(("not-run", NOT_SENT))
# A caller may still send on a connection to a daemon that was killed shortly before.
KILL_MARGIN_SECONDS = 0.5
# Half the service time of a backend server.
MIN_RUN_SECONDS = 0.02


def runs_by_id(directory: Path) -> Counter[str]:
    """Return from the backend servers' logs how often each request ran."""
    counts: Counter[str] = Counter()
    for path in directory.glob("backend-*.log"):
        text = path.read_text(encoding="utf-8", errors="replace")
        counts.update(re.findall(r"^ran (\S+)$", text, re.MULTILINE))
    return counts


def run_more_than_once(sent: Iterable[SentRequest], runs: Counter[str]) -> list[str]:
    """Return the non-idempotent requests that ran more than once."""
    return [
        request.id
        for request in sent
        if request.method == "POST" and runs[request.id] > 1
    ]


def run_despite_not_run_outcome(
    sent: Iterable[SentRequest], runs: Counter[str]
) -> list[str]:
    """Return the requests that ran although each attempt ended as not run."""
    return [
        request.id
        for request in sent
        if runs[request.id]
        and all(attempt.outcome in NOT_RUN_OUTCOMES for attempt in request.attempts)
    ]


def successful_without_run(
    sent: Iterable[SentRequest], runs: Counter[str]
) -> list[str]:
    """Return the requests that were answered with status 200 but never ran."""
    return [
        request.id
        for request in sent
        if not runs[request.id]
        and any(
            attempt.is_complete and attempt.status == 200
            for attempt in request.attempts
        )
    ]


def incomplete_or_foreign_answers(sent: Iterable[SentRequest]) -> list[str]:
    """Return the requests with a 2xx answer cut short or for another request."""
    return [
        request.id
        for request in sent
        if any(
            attempt.status and attempt.status < 300 and not attempt.is_complete
            for attempt in request.attempts
        )
    ]


def version_regressions(samples: Sequence[StatusSample]) -> list[str]:
    """Return the daemons that returned to an older configuration version, with it."""
    newest: dict[str, int] = {}
    regressions = []
    for sample in samples:
        if not sample.version:
            continue
        if sample.version < newest.get(sample.daemon, 0):
            regressions.append(f"{sample.daemon}: {sample.version}")
        newest[sample.daemon] = max(sample.version, newest.get(sample.daemon, 0))
    return regressions


def versions_with_differing_digests(samples: Iterable[StatusSample]) -> list[int]:
    """Return the configuration versions that were seen with different digests."""
    digests: dict[int, set[str]] = {}
    for sample in samples:
        digests.setdefault(sample.version, set()).add(sample.digest)
    return [
        version for version, digests_found in digests.items() if len(digests_found) > 1
    ]


def samples_with_invalid_route(samples: Iterable[StatusSample]) -> list[str]:
    """Return the daemon of each sample with a route of an invalid change."""
    return [sample.daemon for sample in samples if "bad" in sample.routes]


def requests_without_answer(
    sent: Iterable[SentRequest], fault_log: FaultLog, *, by_graceful_stop: bool
) -> list[str]:
    """Return the requests whose connection ended without an answer.

    If ``by_graceful_stop``, these are the ones during a graceful stop of the daemon,
    otherwise the ones without a known cause. An attempt on a reused connection that
    ended sooner than any server answers doesn't count: the daemon may have closed the
    connection before the request was sent.
    """
    return [
        f"{request.id} {request.method} {attempt}"
        for request in sent
        for attempt in request.attempts
        if attempt.outcome == CUT_OFF
        and not (
            attempt.reused_connection
            and attempt.ended_at - attempt.started_at < MIN_RUN_SECONDS
        )
        and _during_graceful_stop(attempt, fault_log) is by_graceful_stop
        and not _during_kill(attempt, fault_log)
        and attempt.caller_port
        not in fault_log.unconnected_ports.get(attempt.daemon, ())
        and not fault_log.was_disturbed(
            attempt.daemon, attempt.started_at, attempt.ended_at
        )
    ]


def _during_graceful_stop(attempt: CallerAttempt, fault_log: FaultLog) -> bool:
    return any(
        daemon == attempt.daemon
        and attempt.started_at <= until
        and attempt.ended_at >= since
        for daemon, since, until, _ in fault_log.graceful_stops
    )


def _during_kill(attempt: CallerAttempt, fault_log: FaultLog) -> bool:
    return any(
        daemon == attempt.daemon
        and attempt.started_at - KILL_MARGIN_SECONDS <= killed_at <= attempt.ended_at
        for daemon, killed_at in fault_log.kills
    )


__all__ = [
    "incomplete_or_foreign_answers",
    "requests_without_answer",
    "run_despite_not_run_outcome",
    "run_more_than_once",
    "runs_by_id",
    "samples_with_invalid_route",
    "successful_without_run",
    "version_regressions",
    "versions_with_differing_digests",
]
