"""Messages of membership: datagrams in a zone, control messages over links."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.process.membership.member import Member


class Kind(IntEnum):
    """What a datagram asks for."""

    PROBE = 0
    ACK = 1
    PROBE_REQUEST = 2
    PUSH = 3


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram between daemons of one zone.

    ``target`` is the member that the receiver of a probe request is to probe.
    ``updates`` are members as the sender knows them.
    """

    kind: Kind
    sequence: int
    running_version: int
    updates: tuple[Member, ...] = ()
    target: Address | None = None


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """A zone's live members as a checksum; ``age`` is in whole seconds."""

    availability_zone: str
    checksum: int
    age: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Asks a peer for the members of a zone on which the two differ."""

    sender: Member
    summaries: tuple[ZoneSummary, ...]
    wants_table: bool


@dataclass(frozen=True, slots=True)
class SyncReply:
    """One zone's members, or other peers to ask when the sender is busy.

    ``minimum_version`` is the version last heard from the asker's address;
    ``more`` tells that the two differ on further zones.
    """

    running_version: int
    minimum_version: int
    availability_zone: str
    updates: tuple[Member, ...]
    peers: tuple[Address, ...]
    busy: bool
    more: bool


@dataclass(frozen=True, slots=True)
class Updates:
    """Statements that the receiver may not know."""

    updates: tuple[Member, ...]


ControlMessage = SyncRequest | SyncReply | Updates


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram for a peer of the own zone."""

    peer: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class SendControl:
    """A control message for a peer of any zone."""

    peer: Address
    message: ControlMessage


Send = SendDatagram | SendControl


__all__ = [
    "ControlMessage",
    "Datagram",
    "Kind",
    "Send",
    "SendControl",
    "SendDatagram",
    "SyncReply",
    "SyncRequest",
    "Updates",
    "ZoneSummary",
]
