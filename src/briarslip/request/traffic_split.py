"""Split of a route's requests between services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.version.record import Route


def choose_service(route: Route, draw: float) -> str:
    """Return the service for a random ``draw`` from [0, 1), by weight."""
    total = sum(part.weight for part in route.parts)
    if not total:
        return route.service
    remaining = draw * total
    service = route.service
    for part in route.parts:
        if not part.weight:
            continue
        service = part.service
        remaining -= part.weight
        if remaining < 0:
            break
    return service


__all__ = ["choose_service"]
