"""Count and log of the requests that the daemon itself ends with a 3xx or 4xx."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.web import http

from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    from collections.abc import Callable


FIRST_REDIRECTION_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED_REQUEST = 421
TOO_MANY_REQUESTS = 429
# They say that the request may be sent again, not that it is wrong.
RETRYABLE_STATUSES = frozenset(
    (http.REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS)
)


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The configuration in force when a request is ended.

    ``version`` is 0 before the first one. ``age_seconds`` is the time since it came
    into force. ``store_copy`` is the copy that the store works on, as last seen.
    """

    version: int
    age_seconds: float
    store_copy: int


NO_CONFIGURATION = ConfigurationState(0, 0.0, 0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """What a connection had received of a request when the request was ended.

    ``start_line`` is the first line, as far as it was received. ``request_id`` and
    ``host`` are empty if the head could not be read. ``earlier_requests`` is the number
    of requests on the connection before this one.
    """

    start_line: str
    request_id: str
    host: str
    earlier_requests: int


class ClientErrors:
    """Counts the requests that are ended with 3xx or 4xx, by status and reason.

    Those whose status says that they are wrong are logged with the configuration.
    """

    def __init__(
        self, configuration: Callable[[], ConfigurationState] = lambda: NO_CONFIGURATION
    ) -> None:
        self.configuration = configuration
        self.counts: Counter[tuple[int, str]] = Counter()

    def record(self, status: int, reason: str, request: ReceivedRequest) -> None:
        """Record the status with which a request is ended; others are ignored."""
        if not FIRST_REDIRECTION_STATUS <= status < FIRST_SERVER_ERROR_STATUS:
            return
        self.counts[status, reason] += 1
        if status in RETRYABLE_STATUSES:
            return
        configuration = self.configuration()
        emit(
            Event.CLIENT_ERROR,
            status=status,
            reason=reason,
            request=request.request_id,
            line=request.start_line,
            host=request.host,
            earlier_requests=request.earlier_requests,
            configuration=configuration.version,
            age_s=round(configuration.age_seconds, 3),
            copy=configuration.store_copy,
        )


__all__ = ["NO_CONFIGURATION", "ClientErrors", "ConfigurationState", "ReceivedRequest"]
