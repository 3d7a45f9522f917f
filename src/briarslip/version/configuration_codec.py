"""Configuration messages between daemons and their Cap'n Proto codec."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import capnp
from result import Err
from result import Ok
from result import Result


SCHEMA = capnp.load(str(Path(__file__).with_name("configuration.capnp")))


@dataclass(frozen=True, slots=True)
class Offer:
    """The sender runs this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Pull:
    """The sender runs ``running`` and asks for what is newer."""

    running: int


@dataclass(frozen=True, slots=True)
class SnapshotData:
    """An encoded snapshot."""

    data: bytes


ConfigurationMessage = Offer | Pull | SnapshotData


def encode_message(message: ConfigurationMessage) -> bytes:
    """Return the message's bytes."""
    target = SCHEMA.Message.new_message()
    match message:
        case Offer(version):
            target.init("offer").version = version
        case Pull(running):
            target.init("pull").running = running
        case SnapshotData(data):
            target.snapshot = data
    encoded: bytes = target.to_bytes_packed()
    return encoded


def decode_message(data: bytes) -> Result[ConfigurationMessage, str]:
    """Read a message; the error is a reason."""
    try:
        source = SCHEMA.Message.from_bytes_packed(data)
        match source.which():
            case "offer":
                return Ok(Offer(source.offer.version))
            case "pull":
                return Ok(Pull(source.pull.running))
            case _:
                return Ok(SnapshotData(source.snapshot))
    except (capnp.KjException, ValueError) as error:
        return Err(f"not a configuration message: {error}")


__all__ = [
    "ConfigurationMessage",
    "Offer",
    "Pull",
    "SnapshotData",
    "decode_message",
    "encode_message",
]
