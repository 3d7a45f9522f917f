"""Members, as the daemons describe them to one another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address


class Status(IntEnum):
    """The status of a member; at equal incarnation the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# The state sequence of a server that drains for good, whatever it reports later.
FINAL_SEQUENCE = 2**53


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as its daemon announces it.

    ``slots`` is the number of requests that the server runs at a time,
    ``connections`` the number of connections that it accepts. ``incarnation``
    identifies its start, 0 if it does not tell. ``state_sequence`` is the number of
    the report since that start by which ``draining`` last changed.
    """

    service: str
    version: str
    slots: int
    connections: int
    draining: bool
    incarnation: int = 0
    state_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon with its status, its backend servers and its configuration version.

    A member also serves as an update about that daemon in messages. The daemon
    alone raises its ``incarnation``, whenever it changes its own update or
    refutes a suspicion.
    """

    address: Address
    availability_zone: str
    region: str
    incarnation: int
    status: Status
    running_version: int
    endpoints: tuple[Endpoint, ...]


__all__ = ["FINAL_SEQUENCE", "Endpoint", "Member", "Status"]
