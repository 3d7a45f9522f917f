"""Membership messages.

Datagrams go between daemons of one availability zone, control messages over the
peer links between daemons of any zones.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.process.membership.draining_servers import DrainingServer
    from briarslip.process.membership.member import Member


class DatagramKind(IntEnum):
    """The kind of a datagram."""

    PROBE = 0
    ACK = 1
    PROBE_REQUEST = 2
    PUSH = 3


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram between daemons of one zone.

    ``target`` is the member that the receiver of a probe request is to probe, None
    for the other kinds. ``running_version`` is the sender's configuration version.
    ``updates`` are piggybacked membership updates.
    """

    kind: DatagramKind
    sequence: int
    running_version: int
    updates: tuple[Member, ...] = ()
    target: Address | None = None


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """The checksum of a zone's live members.

    ``age_seconds`` is the time since the sender's last contact with the zone.
    """

    availability_zone: str
    checksum: int
    age_seconds: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """A request for the members of a zone whose checksum differs at the peer.

    ``summaries`` are the zones to compare; with ``wants_table`` the peer compares
    every zone that it knows.
    """

    sender: Member
    summaries: tuple[ZoneSummary, ...]
    wants_table: bool


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The members of one zone or, from a ``busy`` sender, other ``peers`` to ask.

    ``availability_zone`` is empty if no zone is sent. ``minimum_version`` is the
    configuration version last recorded for the requester's address, 0 if none
    was. ``more`` is true if the two differ on further zones. ``draining_servers`` are
    the servers at the requester's address that have been draining.
    """

    running_version: int
    minimum_version: int
    availability_zone: str
    updates: tuple[Member, ...]
    peers: tuple[Address, ...]
    busy: bool
    more: bool
    draining_servers: tuple[DrainingServer, ...] = ()


@dataclass(frozen=True, slots=True)
class Updates:
    """Membership updates that the receiver may lack."""

    updates: tuple[Member, ...]


ControlMessage = SyncRequest | SyncReply | Updates


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram to send to a peer of this daemon's zone."""

    peer: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class SendControl:
    """A control message to send to a peer of any zone."""

    peer: Address
    message: ControlMessage


Send = SendDatagram | SendControl


__all__ = [
    "ControlMessage",
    "Datagram",
    "DatagramKind",
    "Send",
    "SendControl",
    "SendDatagram",
    "SyncReply",
    "SyncRequest",
    "Updates",
    "ZoneSummary",
]
