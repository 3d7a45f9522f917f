"""The Cap'n Proto codec of membership messages.

A repeated text is written once and referred to by its index. Datagrams do not
contain the zone and region of the sender, since they stay within a zone.
"""

from __future__ import annotations

import ipaddress
import sys
import zlib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.address import Address
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import DatagramKind
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.messages import ZoneSummary
from briarslip.version.version_words import join_version
from briarslip.version.version_words import split_version


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from briarslip.process.membership.messages import ControlMessage


SCHEMA = capnp.load(str(Path(__file__).with_name("membership.capnp")))
MAX_CONTROL_BYTES = 4 << 20
BAD_MESSAGE_ERRORS = (capnp.KjException, ValueError, IndexError, zlib.error)

Locality = tuple[str, str]
NO_LOCALITY: Locality = ("", "")


def encode_datagram(datagram: Datagram, locality: Locality) -> bytes:
    """Encode a datagram; ``locality`` is the sender's zone and region."""
    message = SCHEMA.Datagram.new_message()
    message.zoneTag = _zone_tag(locality)
    message.kind = int(datagram.kind)
    message.sequence = datagram.sequence
    _write_version(message, datagram.running_version)
    if datagram.target is not None:
        _write_address(message.init("target"), datagram.target)
    _write_updates(message, datagram.updates, locality)
    data: bytes = message.to_bytes_packed()
    return data


def decode_datagram(data: bytes, locality: Locality) -> Result[Datagram, str]:
    """Decode a datagram; ``locality`` is the receiver's zone and region.

    The error is a reason for the log.
    """
    try:
        message = SCHEMA.Datagram.from_bytes_packed(data)
        if message.zoneTag != _zone_tag(locality):
            return Err(
                f"datagram from another zone: got zone tag {message.zoneTag}, "
                f"expected the tag of {locality}"
            )
        has_target = message.kind == DatagramKind.PROBE_REQUEST
        return Ok(
            Datagram(
                kind=DatagramKind(message.kind),
                sequence=message.sequence,
                running_version=_read_version(message),
                updates=_read_updates(message, locality),
                target=_read_address(message.target) if has_target else None,
            )
        )
    except BAD_MESSAGE_ERRORS as error:
        return Err(f"malformed membership datagram: {error}")


def encode_control(message: ControlMessage) -> bytes:
    """Encode a control message, compressed since it can contain a whole zone."""
    target = SCHEMA.Control.new_message()
    updates: Sequence[Member]
    match message:
        case SyncRequest(sender):
            updates = (sender,)
            _write_request(target.init("request"), message)
        case SyncReply():
            updates = message.updates
            _write_reply(target.init("reply"), message)
        case Updates(updates):
            target.updates = None
    _write_updates(target, updates, NO_LOCALITY)
    return zlib.compress(target.to_bytes_packed())


def decode_control(data: bytes) -> Result[ControlMessage, str]:
    """Decode a control message; the error is a reason for the log."""
    try:
        inflater = zlib.decompressobj()
        inflated = inflater.decompress(data, MAX_CONTROL_BYTES)
        message = SCHEMA.Control.from_bytes_packed(inflated)
        updates = _read_updates(message, NO_LOCALITY)
        match message.which():
            case "request":
                return Ok(_read_request(message.request, updates[0]))
            case "reply":
                return Ok(_read_reply(message.reply, updates))
            case _:
                return Ok(Updates(updates))
    except BAD_MESSAGE_ERRORS as error:
        return Err(f"malformed membership control message: {error}")


def _zone_tag(locality: Locality) -> int:
    return zlib.crc32("/".join(locality).encode())


def _write_version(target: Any, version: int) -> None:
    target.runningVersion, target.runningVersionHigh = split_version(version)


def _read_version(source: Any) -> int:
    return join_version(source.runningVersion, source.runningVersionHigh)


def _write_request(target: Any, message: SyncRequest) -> None:
    _write_version(target, message.sender.running_version)
    target.wantsTable = message.wants_table
    entries = target.init("summaries", len(message.summaries))
    for entry, summary in zip(entries, message.summaries, strict=True):
        entry.availabilityZone = summary.availability_zone
        entry.checksum = summary.checksum
        entry.age = summary.age_seconds


def _read_request(source: Any, sender: Member) -> SyncRequest:
    summaries = tuple(
        ZoneSummary(entry.availabilityZone, entry.checksum, entry.age)
        for entry in source.summaries
    )
    return SyncRequest(sender, summaries, source.wantsTable)


def _write_reply(target: Any, message: SyncReply) -> None:
    _write_version(target, message.running_version)
    target.minimumVersion, target.minimumVersionHigh = split_version(
        message.minimum_version
    )
    target.busy = message.busy
    target.more = message.more
    servers = target.init("drainingServers", len(message.draining_servers))
    for entry, server in zip(servers, message.draining_servers, strict=True):
        entry.incarnation = server.incarnation
        entry.sequence = server.sequence
    target.availabilityZone = message.availability_zone
    entries = target.init("peers", len(message.peers))
    for entry, peer in zip(entries, message.peers, strict=True):
        _write_address(entry, peer)


def _read_reply(source: Any, updates: tuple[Member, ...]) -> SyncReply:
    return SyncReply(
        running_version=_read_version(source),
        minimum_version=join_version(source.minimumVersion, source.minimumVersionHigh),
        availability_zone=source.availabilityZone,
        updates=updates,
        peers=tuple(_read_address(entry) for entry in source.peers),
        busy=source.busy,
        more=source.more,
        draining_servers=tuple(
            DrainingServer(entry.incarnation, entry.sequence)
            for entry in source.drainingServers
        ),
    )


def _write_updates(target: Any, members: Sequence[Member], locality: Locality) -> None:
    indexes = {text: index for index, text in enumerate(dict.fromkeys(locality))}
    implied = len(indexes)
    entries = target.init("statements", len(members))
    for entry, member in zip(entries, members, strict=True):
        _write_update(entry, member, indexes)
    names = list(indexes)[implied:]
    if names:
        target.names = names


def _write_update(entry: Any, member: Member, indexes: dict[str, int]) -> None:
    def index_of(text: str) -> int:
        return indexes.setdefault(text, len(indexes))

    _write_address(entry, member.address)
    entry.incarnation = member.incarnation
    entry.status = int(member.status)
    _write_version(entry, member.running_version)
    entry.availabilityZone = index_of(member.availability_zone)
    entry.region = index_of(member.region)
    if not member.endpoints or member.status is not Status.ALIVE:
        return
    targets = entry.init("endpoints", len(member.endpoints))
    for target, endpoint in zip(targets, member.endpoints, strict=True):
        target.service = index_of(endpoint.service)
        target.version = index_of(endpoint.version)
        target.slots = endpoint.slots
        target.connections = endpoint.connections
        target.draining = endpoint.draining
        target.incarnation = endpoint.incarnation
        target.stateSequence = endpoint.state_sequence


def _read_updates(source: Any, locality: Locality) -> tuple[Member, ...]:
    # Interned, since all members of the table have few different names.
    names = [*dict.fromkeys(locality), *map(sys.intern, source.names)]
    return tuple(_read_update(entry, names) for entry in source.statements)


def _read_update(entry: Any, names: Sequence[str]) -> Member:
    return Member(
        address=_read_address(entry),
        availability_zone=names[entry.availabilityZone],
        region=names[entry.region],
        incarnation=entry.incarnation,
        status=Status(entry.status),
        running_version=_read_version(entry),
        endpoints=_read_endpoints(entry.endpoints, names),
    )


def _read_endpoints(
    entries: Iterable[Any], names: Sequence[str]
) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(
            service=names[e.service],
            version=names[e.version],
            slots=e.slots,
            connections=e.connections,
            draining=e.draining,
            incarnation=e.incarnation,
            state_sequence=e.stateSequence,
        )
        for e in entries
    )


def _write_address(target: Any, address: Address) -> None:
    host = ipaddress.ip_address(address.host)
    if host.version == 4:
        target.ipv4 = int(host)
    else:
        target.ipv6 = host.packed
    target.port = address.port


def _read_address(source: Any) -> Address:
    packed = source.ipv6
    host = ipaddress.ip_address(packed or source.ipv4)
    return Address(sys.intern(str(host)), source.port)


__all__ = [
    "decode_control",
    "decode_datagram",
    "encode_control",
    "encode_datagram",
]
