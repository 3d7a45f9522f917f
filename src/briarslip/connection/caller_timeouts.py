"""Timeouts of callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.web import http

from briarslip.connection.socket_close import has_unsent_data


if TYPE_CHECKING:
    from briarslip.connection.caller_connection import CallerConnection
    from briarslip.connection.caller_limits import CallerLimits


# Time for requests that are on their way when the idle connections are closed.
CLOSING_IDLE_SECONDS = 0.2
# Time for the caller to read the last response and to close its side.
LINGER_SECONDS = 1.0


def close_if_inactive(
    connection: CallerConnection, limits: CallerLimits, now: float, closing: bool
) -> None:
    """Close a connection on which too little happens for what it does now.

    If the daemon is ``closing``, an idle connection has ``CLOSING_IDLE_SECONDS``.
    """
    inactive_seconds = now - connection.last_active_at
    transport = connection.transport
    if connection.paused or has_unsent_data(transport):
        # How long the request took says nothing about the caller's reading.
        stalled = connection.write_progress.stalled_seconds(transport, now)
        if stalled > limits.idle_timeout_seconds:
            connection.disconnect()
        return
    if connection.closed:
        if inactive_seconds > LINGER_SECONDS:
            transport.loseConnection()
        return
    if connection.exchange is not None:
        return
    if connection.is_reading:
        if inactive_seconds > limits.read_timeout_seconds:
            connection.reject(http.REQUEST_TIMEOUT, "the request took too long")
        return
    if inactive_seconds > (
        CLOSING_IDLE_SECONDS if closing else limits.idle_timeout_seconds
    ):
        connection.close_if_idle()


__all__ = ["CLOSING_IDLE_SECONDS", "LINGER_SECONDS", "close_if_inactive"]
