"""Result of one attempt, for metrics and service levels."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.request.outcome import Outcome


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt at one server.

    ``failed`` is true for a failure and for a status of 500 and above.
    ``latency_seconds`` is the time from sending the call to the end of the response.
    """

    service: str
    version: str
    route: str
    server: Address
    outcome: Outcome
    failed: bool
    latency_seconds: float


__all__ = ["AttemptResult"]
