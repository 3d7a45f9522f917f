"""What must hold, checked from the records of a trial."""

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

    from bench.chaos.account import Account
    from bench.chaos.observer import Reading
    from bench.chaos.traffic import Sent
    from bench.chaos.traffic import Try


NOT_RUN_OUTCOMES = frozenset(("not-run", NOT_SENT))
# A caller that was still connected when its daemon was killed is cut off.
KILL_MARGIN_SECONDS = 0.5
# Half of what a backend server takes for a request.
LEAST_RUN_SECONDS = 0.02


def runs_by_id(directory: Path) -> Counter[str]:
    """Count from the backend servers' logs how often each request ran."""
    counts: Counter[str] = Counter()
    for path in directory.glob("backend-*.log"):
        text = path.read_text(encoding="utf-8", errors="replace")
        counts.update(re.findall(r"^ran (\S+)$", text, re.MULTILINE))
    return counts


def run_twice(sent: Iterable[Sent], runs: Counter[str]) -> list[str]:
    """Return the non-idempotent requests that ran more than once."""
    return [s.id for s in sent if s.method == "POST" and runs[s.id] > 1]


def false_refusals(sent: Iterable[Sent], runs: Counter[str]) -> list[str]:
    """Return the requests that ran although each try said that it did not."""
    return [
        s.id
        for s in sent
        if runs[s.id] and all(t.outcome in NOT_RUN_OUTCOMES for t in s.tries)
    ]


def false_successes(sent: Iterable[Sent], runs: Counter[str]) -> list[str]:
    """Return the requests answered with success that never ran."""
    return [
        s.id
        for s in sent
        if not runs[s.id] and any(t.whole and t.status == 200 for t in s.tries)
    ]


def wrong_answers(sent: Iterable[Sent]) -> list[str]:
    """Return the requests with a success that is not their whole own answer."""
    return [
        s.id
        for s in sent
        if any(t.status and t.status < 300 and not t.whole for t in s.tries)
    ]


def older_versions(readings: Sequence[Reading]) -> list[str]:
    """Return the daemons that went back to an older version."""
    newest: dict[str, int] = {}
    found = []
    for reading in readings:
        if not reading.version:
            continue
        if reading.version < newest.get(reading.daemon, 0):
            found.append(f"{reading.daemon}: {reading.version}")
        newest[reading.daemon] = max(reading.version, newest.get(reading.daemon, 0))
    return found


def differing_digests(readings: Iterable[Reading]) -> list[int]:
    """Return the versions that were not the same everywhere."""
    digests: dict[int, set[str]] = {}
    for reading in readings:
        digests.setdefault(reading.version, set()).add(reading.digest)
    return [version for version, found in digests.items() if len(found) > 1]


def bad_routes(readings: Iterable[Reading]) -> list[str]:
    """Return the daemons that ran a part of a refused change."""
    return [reading.daemon for reading in readings if "bad" in reading.routes]


def cut_off(sent: Iterable[Sent], account: Account, *, planned: bool) -> list[str]:
    """Return the requests whose connection ended without an answer.

    With ``planned`` those that a planned stop cut off, else those without any
    cause. A connection that has served others may have been closed before the
    request was sent: it ends sooner then than any server answers.
    """
    return [
        f"{request.id} {request.method} {attempt}"
        for request in sent
        for attempt in request.tries
        if attempt.outcome == CUT_OFF
        and not (attempt.kept and attempt.ended - attempt.began < LEAST_RUN_SECONDS)
        and _is_stopped(attempt, account) is planned
        and not _is_killed(attempt, account)
        and attempt.port not in account.refused.get(attempt.daemon, ())
        and not account.is_disturbed(attempt.daemon, attempt.began, attempt.ended)
    ]


def _is_stopped(attempt: Try, account: Account) -> bool:
    return any(
        daemon == attempt.daemon and attempt.began <= until and attempt.ended >= since
        for daemon, since, until, _ in account.planned_stops
    )


def _is_killed(attempt: Try, account: Account) -> bool:
    return any(
        daemon == attempt.daemon
        and attempt.began - KILL_MARGIN_SECONDS <= at <= attempt.ended
        for daemon, at in account.killed
    )


__all__ = [
    "bad_routes",
    "cut_off",
    "differing_digests",
    "false_refusals",
    "false_successes",
    "older_versions",
    "run_twice",
    "runs_by_id",
    "wrong_answers",
]
