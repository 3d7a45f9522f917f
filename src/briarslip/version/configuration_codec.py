"""Configuration messages between daemons, and their Cap'n Proto encoding."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.version.version_words import join_version
from briarslip.version.version_words import split_version


SCHEMA = capnp.load(str(Path(__file__).with_name("configuration.capnp")))
MAX_SNAPSHOT_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class Offer:
    """Announces the version that the sender runs and that can be pulled from it."""

    version: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Requests a newer version than the sender's ``running_version``."""

    running_version: int


@dataclass(frozen=True, slots=True)
class FullSnapshot:
    """Carries a whole snapshot, compressed, and the digest to verify it by."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Deltas:
    """Compressed deltas; each applies to the result of the one before it."""

    deltas: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Busy:
    """Rejects a pull: the sender serves no pulls for this time."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class VersionQuery:
    """Asks, after a start, for the versions that the sender may have run before."""


@dataclass(frozen=True, slots=True)
class VersionReply:
    """Replies to a version query.

    ``running_version`` is the version that the sender runs, ``last_known_version``
    the last one that it has recorded for the address of the query's sender.
    """

    running_version: int
    last_known_version: int


ConfigurationMessage = (
    Offer | Pull | FullSnapshot | Deltas | Busy | VersionQuery | VersionReply
)


def compress(value: bytes) -> bytes:
    """Compress a value with zlib."""
    return zlib.compress(value)


def decompress(data: bytes) -> Result[bytes, str]:
    """Decompress a value of at most ``MAX_SNAPSHOT_BYTES``.

    The error is the reason why it cannot be decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        return Err(f"value is not zlib data: {error}")
    if not decompressor.eof:
        return Err(f"value is truncated or larger than {MAX_SNAPSHOT_BYTES} bytes")
    return Ok(value)


def encode_message(message: ConfigurationMessage) -> bytes:
    """Encode a message as packed Cap'n Proto."""
    builder = SCHEMA.Message.new_message()
    match message:
        case Offer(version):
            offer = builder.init("offer")
            offer.version, offer.versionHigh = split_version(version)
        case Pull(running_version):
            pull = builder.init("pull")
            pull.running, pull.runningHigh = split_version(running_version)
        case FullSnapshot(digest, data):
            whole = builder.init("whole")
            whole.digest, whole.data = digest, data
        case Deltas(deltas):
            builder.deltas = list(deltas)
        case Busy(retry_after_ms):
            builder.init("busy").retryAfterMs = retry_after_ms
        case VersionQuery():
            builder.versionQuery = None
        case VersionReply(running_version, last_known_version):
            reply = builder.init("versionReply")
            reply.running, reply.runningHigh = split_version(running_version)
            reply.lastHeard, reply.lastHeardHigh = split_version(last_known_version)
    encoded: bytes = builder.to_bytes_packed()
    return encoded


def decode_message(data: bytes) -> Result[ConfigurationMessage, str]:
    """Decode a message; the error is the reason why it cannot be decoded."""
    try:
        return Ok(_read_message(SCHEMA.Message.from_bytes_packed(data)))
    except (capnp.KjException, ValueError) as error:
        return Err(f"configuration message cannot be decoded: {error}")


def _read_message(reader: Any) -> ConfigurationMessage:
    match reader.which():
        case "offer":
            offer = reader.offer
            return Offer(join_version(offer.version, offer.versionHigh))
        case "pull":
            pull = reader.pull
            return Pull(join_version(pull.running, pull.runningHigh))
        case "whole":
            return FullSnapshot(reader.whole.digest, reader.whole.data)
        case "deltas":
            return Deltas(tuple(reader.deltas))
        case "busy":
            return Busy(reader.busy.retryAfterMs)
        case "versionQuery":
            return VersionQuery()
        case _:
            reply = reader.versionReply
            return VersionReply(
                join_version(reply.running, reply.runningHigh),
                join_version(reply.lastHeard, reply.lastHeardHigh),
            )


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
