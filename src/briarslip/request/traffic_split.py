"""Which of a route's services a request goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.version.record import Route


def choose_part(route: Route, draw: float) -> str:
    """Return the service for a draw from [0, 1), in proportion to the weights."""
    total = sum(part.weight for part in route.parts)
    if not total:
        return route.service
    left = draw * total
    service = route.service
    for part in route.parts:
        if not part.weight:
            continue
        service = part.service
        left -= part.weight
        if left < 0:
            break
    return service


__all__ = ["choose_part"]
