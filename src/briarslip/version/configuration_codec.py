"""Configuration messages between daemons and their Cap'n Proto codec."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result


SCHEMA = capnp.load(str(Path(__file__).with_name("configuration.capnp")))
MAX_SNAPSHOT_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class Offer:
    """The sender runs this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Pull:
    """The sender runs ``running`` and asks for what is newer."""

    running_version: int


@dataclass(frozen=True, slots=True)
class FullSnapshot:
    """A compressed snapshot with the digest it has to have."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Deltas:
    """Compressed deltas, each of which applies to the one before it."""

    deltas: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Busy:
    """The sender serves no pull for so long."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class VersionQuery:
    """The sender has just started and asks what it may have run before."""


@dataclass(frozen=True, slots=True)
class VersionReply:
    """What the sender runs and what it last heard the asker's address run."""

    running_version: int
    last_known_version: int


ConfigurationMessage = (
    Offer | Pull | FullSnapshot | Deltas | Busy | VersionQuery | VersionReply
)


def compress(value: bytes) -> bytes:
    """Return a value compressed."""
    return zlib.compress(value)


def decompress(data: bytes) -> Result[bytes, str]:
    """Return what was compressed, up to a limit; the error is a reason."""
    expander = zlib.decompressobj()
    try:
        value = expander.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        return Err(f"is not compressed data: {error}")
    if not expander.eof:
        return Err("is cut short or too large")
    return Ok(value)


def encode_message(message: ConfigurationMessage) -> bytes:
    """Return the message's bytes."""
    target = SCHEMA.Message.new_message()
    match message:
        case Offer(version):
            target.init("offer").version = version
        case Pull(running):
            target.init("pull").running = running
        case FullSnapshot(digest, data):
            whole = target.init("whole")
            whole.digest, whole.data = digest, data
        case Deltas(deltas):
            target.deltas = list(deltas)
        case Busy(retry_after_ms):
            target.init("busy").retryAfterMs = retry_after_ms
        case VersionQuery():
            target.versionQuery = None
        case VersionReply(running, last_heard):
            reply = target.init("versionReply")
            reply.running, reply.lastHeard = running, last_heard
    encoded: bytes = target.to_bytes_packed()
    return encoded


def decode_message(data: bytes) -> Result[ConfigurationMessage, str]:
    """Read a message; the error is a reason."""
    try:
        return Ok(_read(SCHEMA.Message.from_bytes_packed(data)))
    except (capnp.KjException, ValueError) as error:
        return Err(f"not a configuration message: {error}")


def _read(source: Any) -> ConfigurationMessage:
    match source.which():
        case "offer":
            return Offer(source.offer.version)
        case "pull":
            return Pull(source.pull.running)
        case "whole":
            return FullSnapshot(source.whole.digest, source.whole.data)
        case "deltas":
            return Deltas(tuple(source.deltas))
        case "busy":
            return Busy(source.busy.retryAfterMs)
        case "versionQuery":
            return VersionQuery()
        case _:
            reply = source.versionReply
            return VersionReply(reply.running, reply.lastHeard)


__all__ = [
    "Busy",
    "ConfigurationMessage",
    "Deltas",
    "FullSnapshot",
    "Offer",
    "Pull",
    "VersionQuery",
    "VersionReply",
    "compress",
    "decode_message",
    "decompress",
    "encode_message",
]
