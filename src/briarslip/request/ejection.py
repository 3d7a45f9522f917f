"""Ejection: servers that fail get no work for a time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

    from briarslip.request.server import Server


CONSECUTIVE_FAILURES = 5
FAILURE_WEIGHT = 0.1
MAX_FAILURE_SHARE = 0.5
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
LINK_FAILURE_SECONDS = 0.1
# Outcomes of another server that are older say nothing of a cause it shares.
JUDGED_SECONDS = 10.0
# A server fails alone if it does so this much more often than the others.
SHARED_CAUSE_FACTOR = 3.0
DRAINING_AVOIDED_SECONDS = 3.0


def take_success(server: Server, now: float) -> None:
    """Count a call that went well; after an ejection it ends the probing."""
    server.judged_at = now
    server.consecutive_failures = 0
    server.failure_share *= 1.0 - FAILURE_WEIGHT
    if 0.0 < server.ejected_until <= now:
        server.ejected_until = 0.0
        server.failure_share = 0.0
    elif server.ejections and server.failure_share < FAILURE_WEIGHT / 2:
        server.ejections = 0


def take_failure(
    server: Server, now: float, rng: random.Random, others: Iterable[Server] = ()
) -> None:
    """Count a failed call; eject when there are too many.

    ``others`` are the servers that calls would go to instead. Load pattern: a
    service that all of these servers call fails, so each of them fails about as
    often; sending the calls to another one, even in another zone, helps nobody.
    """
    server.judged_at = now
    server.consecutive_failures += 1
    server.failure_share += (1.0 - server.failure_share) * FAILURE_WEIGHT
    probe_failed = 0.0 < server.ejected_until <= now
    if (
        probe_failed
        or server.consecutive_failures >= CONSECUTIVE_FAILURES
        or server.failure_share > MAX_FAILURE_SHARE
    ) and server.ejected_until <= now:
        if _others_fail_too(server, now, others):
            server.ejected_until = 0.0
            server.ejections = 0
            server.consecutive_failures = 0
        else:
            _eject(server, now, rng)


def take_unreachable(server: Server, now: float, rng: random.Random) -> None:
    """Eject a server that no connection can be made to, without further proof."""
    if server.ejected_until <= now:
        _eject(server, now, rng)


def _others_fail_too(server: Server, now: float, others: Iterable[Server]) -> bool:
    """Tell whether the other servers were seen to fail about as often."""
    shares = [
        other.failure_share
        for other in others
        if other is not server and now - other.judged_at < JUDGED_SECONDS
    ]
    if not shares:
        return False
    mean = sum(shares) / len(shares)
    return mean > 0.0 and server.failure_share <= SHARED_CAUSE_FACTOR * mean


def take_lost_link(server: Server, now: float, rng: random.Random) -> None:
    """Count the loss of a link once, however many calls were on it.

    The server may be well and answer on the next link.
    """
    if now - server.link_failed_at >= LINK_FAILURE_SECONDS:
        server.link_failed_at = now
        take_failure(server, now, rng)


def _eject(server: Server, now: float, rng: random.Random) -> None:
    length = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**server.ejections)
    server.ejections = min(server.ejections + 1, 10)
    server.ejected_until = now + length * rng.uniform(0.8, 1.2)
    server.consecutive_failures = 0


def is_eligible(server: Server, now: float) -> bool:
    """Tell whether a server may get a call; one probe after an ejection."""
    if server.avoid_until > now:
        return False
    if not server.ejected_until:
        return True
    return server.ejected_until <= now and server.in_flight == 0


def eligible(servers: Sequence[Server], now: float) -> Sequence[Server]:
    """Return the servers that may get a call, never less than the least part.

    When more than the greatest part is ejected, outcomes tell too little
    about the single server, and those whose ejection ends first come back.
    """
    chosen = [server for server in servers if is_eligible(server, now)]
    least = math.ceil(len(servers) * (1.0 - MAX_EJECTED_SHARE))
    if len(chosen) >= least:
        return chosen
    rest = [s for s in servers if s.avoid_until <= now and s not in chosen]
    rest.sort(key=lambda server: server.ejected_until)
    return chosen + rest[: least - len(chosen)]


__all__ = [
    "DRAINING_AVOIDED_SECONDS",
    "MAX_EJECTED_SHARE",
    "eligible",
    "take_failure",
    "take_lost_link",
    "take_success",
    "take_unreachable",
]
