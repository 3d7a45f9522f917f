"""Outlier ejection: failing servers get no calls for a while."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

    from briarslip.request.server import Server


MAX_CONSECUTIVE_FAILURES = 5
FAILURE_SHARE_WEIGHT = 0.1
MAX_FAILURE_SHARE = 0.5
BASE_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
LINK_FAILURE_INTERVAL_SECONDS = 0.1
# Older outcomes of other servers are no evidence of a shared cause.
OUTCOME_MAX_AGE_SECONDS = 10.0
# A server is ejected only if its failure share exceeds the mean of the others by
# this factor; otherwise the cause is likely to be shared.
SHARED_CAUSE_FACTOR = 3.0
DRAINING_AVOIDANCE_SECONDS = 3.0


def record_success(server: Server, now: float) -> None:
    """Record a successful call; after an ejection it readmits the server."""
    server.last_outcome_at = now
    server.consecutive_failures = 0
    server.failure_share *= 1.0 - FAILURE_SHARE_WEIGHT
    if 0.0 < server.ejected_until <= now:
        server.ejected_until = 0.0
        server.failure_share = 0.0
    elif server.ejection_count and server.failure_share < FAILURE_SHARE_WEIGHT / 2:
        server.ejection_count = 0


def record_failure(
    server: Server, now: float, rng: random.Random, others: Iterable[Server] = ()
) -> None:
    """Record a failed call and eject the server if it fails too often.

    ``others`` are the servers that would get the calls instead. If a service
    that all of these servers depend on fails, they all fail about equally
    often; moving calls to another server, even in another zone, would not help.
    """
    server.last_outcome_at = now
    server.consecutive_failures += 1
    server.failure_share += (1.0 - server.failure_share) * FAILURE_SHARE_WEIGHT
    trial_call_failed = 0.0 < server.ejected_until <= now
    if (
        trial_call_failed
        or server.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        or server.failure_share > MAX_FAILURE_SHARE
    ) and server.ejected_until <= now:
        if _others_fail_too(server, now, others):
            server.ejected_until = 0.0
            server.ejection_count = 0
            server.consecutive_failures = 0
        else:
            _eject(server, now, rng)


def eject_unreachable(server: Server, now: float, rng: random.Random) -> None:
    """Eject a server at once because no connection to it could be made."""
    if server.ejected_until <= now:
        _eject(server, now, rng)


def _others_fail_too(server: Server, now: float, others: Iterable[Server]) -> bool:
    """Return whether the other servers recently failed about as often."""
    shares = [
        other.failure_share
        for other in others
        if other is not server and now - other.last_outcome_at < OUTCOME_MAX_AGE_SECONDS
    ]
    if not shares:
        return False
    mean = sum(shares) / len(shares)
    return mean > 0.0 and server.failure_share <= SHARED_CAUSE_FACTOR * mean


def record_lost_link(server: Server, now: float, rng: random.Random) -> None:
    """Record one failure for a lost link, however many calls were on it.

    The server may be healthy and respond on the next link.
    """
    if now - server.link_failed_at >= LINK_FAILURE_INTERVAL_SECONDS:
        server.link_failed_at = now
        record_failure(server, now, rng)


def _eject(server: Server, now: float, rng: random.Random) -> None:
    seconds = min(
        MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**server.ejection_count
    )
    server.ejection_count = min(server.ejection_count + 1, 10)
    server.ejected_until = now + seconds * rng.uniform(0.8, 1.2)
    server.consecutive_failures = 0


def is_eligible(server: Server, now: float) -> bool:
    """Return whether a server may get a call.

    After an ejection it gets one call at a time until one succeeds.
    """
    if server.avoid_until > now:
        return False
    if not server.ejected_until:
        return True
    return server.ejected_until <= now and server.in_flight == 0


def eligible_servers(servers: Sequence[Server], now: float) -> Sequence[Server]:
    """Return the servers that may get a call.

    At most ``MAX_EJECTED_SHARE`` of the servers stay ejected, because outcomes
    say little about a single server when most of them fail. Servers whose
    ejection ends first are readmitted early, except those to be avoided.
    """
    eligible = [server for server in servers if is_eligible(server, now)]
    min_count = math.ceil(len(servers) * (1.0 - MAX_EJECTED_SHARE))
    if len(eligible) >= min_count:
        return eligible
    ejected = [s for s in servers if s.avoid_until <= now and s not in eligible]
    ejected.sort(key=lambda server: server.ejected_until)
    return eligible + ejected[: min_count - len(eligible)]


__all__ = [
    "DRAINING_AVOIDANCE_SECONDS",
    "MAX_EJECTED_SHARE",
    "eject_unreachable",
    "eligible_servers",
    "record_failure",
    "record_lost_link",
    "record_success",
]
