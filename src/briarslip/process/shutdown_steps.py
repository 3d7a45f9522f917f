"""What a daemon does in the phases of its graceful shutdown."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from briarslip.connection.socket_close import close_listener
from briarslip.process.clock import boot_seconds
from briarslip.process.shutdown import Phase
from briarslip.process.shutdown import Remaining
from briarslip.process.shutdown import Shutdown


if TYPE_CHECKING:
    from briarslip.process.daemon import Daemon


def make_shutdown(daemon: Daemon) -> Shutdown:
    """Return the shutdown of a daemon, which has not begun."""
    grace = daemon.settings.limits.stop_grace
    return Shutdown(
        daemon.reactor,
        daemon.clock,
        partial(max_timeout_seconds, daemon),
        partial(count_remaining, daemon),
        partial(enter_phase, daemon),
        math.inf if grace is None else grace.total_seconds(),
        partial(end_waiting, daemon),
        boot_seconds,
    )


def max_timeout_seconds(daemon: Daemon) -> float:
    """Return the largest timeout of all routes and the default, in seconds."""
    timeouts = [route.timeout for route in daemon.distribution.table.routes]
    default = daemon.settings.limits.default_timeout
    return max([default, *timeouts]).total_seconds()


def count_remaining(daemon: Daemon) -> Remaining:
    """Count the requests and connections that the shutdown waits for."""
    requests = (
        daemon.callers.unfinished_count
        + daemon.links.served_call_count
        + daemon.servers.in_flight
    )
    connections = len(daemon.callers.connections) + len(daemon.links.accepted_links)
    return Remaining(requests, connections)


def end_waiting(daemon: Daemon, end: float) -> None:
    """Fail as not run what waits for a server; the rest has until ``end``."""
    daemon.callers.reject_unread()
    daemon.forwarder.end_waiting(end)
    daemon.links.withdraw_served_calls()


def enter_phase(daemon: Daemon, phase: Phase) -> None:
    """Act on the start of a phase."""
    match phase:
        case Phase.NOTICE:
            daemon.update_membership()
        case Phase.FINISHING:
            daemon.callers.drain()
            connections = daemon.callers.connections
            close_listener(daemon.caller_port, lambda: len(connections))
            daemon.links.drain()
        case Phase.CLOSING:
            daemon.callers.close_idle()
        case Phase.STOPPED:
            daemon.reactor.stop()


__all__ = ["make_shutdown"]
