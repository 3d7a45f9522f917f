"""Choice of the backend server that a call goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from briarslip.address import Address
    from briarslip.process.member import Member


def candidates(
    members: Iterable[Member], service: str, version: str
) -> tuple[Member, ...]:
    """Return the members with a server of a service that takes new work.

    An empty ``version`` admits every version.
    """
    return tuple(
        member
        for member in members
        if any(
            endpoint.service == service
            and not endpoint.draining
            and version in ("", endpoint.version)
            for endpoint in member.endpoints
        )
    )


def choose(
    members: Sequence[Member],
    availability_zone: str,
    in_flight: Callable[[Address], int],
    rng: random.Random,
) -> Member | None:
    """Choose the less busy of two random members, own zone first."""
    near = [m for m in members if m.availability_zone == availability_zone]
    pool = near or members
    if not pool:
        return None
    first = rng.choice(pool)
    second = rng.choice(pool)
    return min(first, second, key=lambda member: in_flight(member.address))


__all__ = ["candidates", "choose"]
