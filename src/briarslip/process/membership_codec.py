"""The Cap'n Proto codec of membership messages."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.address import Address
from briarslip.process.member import Endpoint
from briarslip.process.member import Member
from briarslip.process.member import Status


if TYPE_CHECKING:
    from collections.abc import Sequence


SCHEMA = capnp.load(str(Path(__file__).with_name("membership.capnp")))


def encode_heartbeat(members: Sequence[Member]) -> bytes:
    """Return a heartbeat that carries some members."""
    message = SCHEMA.Heartbeat.new_message()
    entries = message.init("members", len(members))
    for entry, member in zip(entries, members, strict=True):
        _encode_member(entry, member)
    data: bytes = message.to_bytes_packed()
    return data


def decode_heartbeat(data: bytes) -> Result[tuple[Member, ...], str]:
    """Read a heartbeat's members; the error is a reason."""
    try:
        message = SCHEMA.Heartbeat.from_bytes_packed(data)
        return Ok(tuple(_decode_member(entry) for entry in message.members))
    except (capnp.KjException, ValueError) as error:
        return Err(f"not a heartbeat: {error}")


def _encode_member(entry: Any, member: Member) -> None:
    entry.host = member.address.host
    entry.port = member.address.port
    entry.availabilityZone = member.availability_zone
    entry.region = member.region
    entry.incarnation = member.incarnation
    entry.status = int(member.status)
    entry.runningVersion = member.running_version
    endpoints = entry.init("endpoints", len(member.endpoints))
    for target, endpoint in zip(endpoints, member.endpoints, strict=True):
        target.service = endpoint.service
        target.version = endpoint.version
        target.slots = endpoint.slots
        target.connections = endpoint.connections
        target.draining = endpoint.draining


def _decode_member(entry: Any) -> Member:
    return Member(
        address=Address(entry.host, entry.port),
        availability_zone=entry.availabilityZone,
        region=entry.region,
        incarnation=entry.incarnation,
        status=Status(entry.status.raw),
        running_version=entry.runningVersion,
        endpoints=tuple(
            Endpoint(e.service, e.version, e.slots, e.connections, e.draining)
            for e in entry.endpoints
        ),
    )


__all__ = ["decode_heartbeat", "encode_heartbeat"]
