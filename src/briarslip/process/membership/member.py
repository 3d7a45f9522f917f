"""What the daemons know of one another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address


class Status(IntEnum):
    """How a member is seen; at equal incarnation the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as its daemon announces it."""

    service: str
    version: str
    slots: int
    connections: int
    draining: bool


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon, its backend servers and the configuration it runs.

    ``incarnation`` grows with each statement that the member makes of itself.
    """

    address: Address
    availability_zone: str
    region: str
    incarnation: int
    status: Status
    running_version: int
    endpoints: tuple[Endpoint, ...]


__all__ = ["Endpoint", "Member", "Status"]
