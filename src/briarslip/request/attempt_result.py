"""What one answered or failed call tells about its server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.request.outcome import Outcome


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt at one server.

    ``failed`` is true for a failure and for a status of 500 and above.
    ``latency`` is in seconds, from the hand-over to the end of the answer.
    """

    service: str
    version: str
    route: str
    server: Address
    outcome: Outcome
    failed: bool
    latency: float


__all__ = ["AttemptResult"]
