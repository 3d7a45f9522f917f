"""The gauges of a daemon's metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.even_choice import occupied_spread
from briarslip.request.even_choice import view_age_seconds
from briarslip.request.quota.messages import Mode


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarslip.process.daemon import Daemon


def gauges(daemon: Daemon) -> Mapping[str, Callable[[], float]]:
    """Return the functions that read the gauges, by name."""
    return {
        "running_version": lambda: daemon.distribution.snapshot.version,
        "live_members": lambda: len(daemon.membership.live),
        "requests_in_flight": lambda: daemon.callers.in_flight,
        "buffered_bytes": lambda: daemon.buffers.used_bytes,
        "buffer_capacity_bytes": lambda: daemon.buffers.capacity_bytes,
        "caller_connections": lambda: len(daemon.callers.connections),
        "calls_served": lambda: daemon.links.served_call_count,
        "calls_at_servers": lambda: daemon.servers.in_flight,
        "calls_sent_to_servers": lambda: daemon.servers.sent_calls,
        "server_request_limit": lambda: daemon.servers.request_limit,
        "cold_servers": lambda: daemon.servers.cold_servers,
        "evacuated_zones": lambda: len(daemon.evacuations.known),
        "silent_peers": lambda: len(daemon.links.silent_peers),
        "retry_tokens": lambda: daemon.forwarder.retry_budget.tokens,
        "suspect_requests": lambda: len(daemon.quarantine.suspicions),
        "quarantined_requests": lambda: sum(
            suspicion.is_quarantined for suspicion in daemon.quarantine.suspicions
        ),
        "calls_queued": lambda: daemon.servers.queued_calls,
        "calls_returned": lambda: daemon.servers.returned_calls,
        "calls_moved_on": lambda: daemon.forwarder.moves.moved,
        "moves_withheld": lambda: daemon.forwarder.moves.withheld,
        "occupied_slots_spread": lambda: occupied_spread(
            daemon.forwarder.directory.servers.values()
        ),
        "view_age_seconds": lambda: view_age_seconds(
            daemon.forwarder.directory.servers.values(), daemon.clock.monotonic()
        ),
        "limited_organisations": lambda: daemon.quotas.node.count_mode(Mode.LIMITED),
        "near_limit_organisations": lambda: daemon.quotas.node.count_mode(Mode.NEAR),
        "over_limit_requests": lambda: daemon.quotas.node.refused,
        "longest_turn_seconds": lambda: daemon.reactor_delay.longest_recent_seconds,
        "ready": lambda: daemon.is_ready,
    }


__all__ = ["gauges"]
