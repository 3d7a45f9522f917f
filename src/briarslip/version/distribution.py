"""Spreading of configuration versions between daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from briarslip.version.configuration_codec import Offer
from briarslip.version.configuration_codec import Pull
from briarslip.version.configuration_codec import SnapshotData
from briarslip.version.routing_table import EMPTY_TABLE
from briarslip.version.routing_table import RoutingTable
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from briarslip.version.snapshot import Snapshot
from briarslip.version.snapshot import decode_snapshot


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.finding import Finding
    from briarslip.version.configuration_codec import ConfigurationMessage


@dataclass(frozen=True, slots=True)
class Send:
    """A configuration message for a peer."""

    peer: Address
    message: ConfigurationMessage


@dataclass(slots=True)
class Distribution:
    """The configuration this daemon runs."""

    snapshot: Snapshot = EMPTY_SNAPSHOT
    table: RoutingTable = EMPTY_TABLE


def install(state: Distribution, snapshot: Snapshot) -> tuple[Finding, ...]:
    """Run a snapshot if it is newer and whole; return what is wrong with it."""
    if snapshot.version <= state.snapshot.version:
        return ()
    table = compile_snapshot(snapshot)
    if isinstance(table, Err):
        return table.err_value
    state.snapshot, state.table = snapshot, table.ok_value
    return ()


def receive(
    state: Distribution, sender: Address, message: ConfigurationMessage
) -> tuple[Send, ...]:
    """Act on a peer's message and return the answers to it."""
    match message:
        case Offer(version):
            return pull_if_behind(state, sender, version)
        case Pull(running):
            if running >= state.snapshot.version:
                return ()
            return (Send(sender, SnapshotData(state.snapshot.encode())),)
        case SnapshotData(data):
            snapshot = decode_snapshot(data)
            if not isinstance(snapshot, Err):
                install(state, snapshot.ok_value)
    return ()


def pull_if_behind(
    state: Distribution, peer: Address, version: int
) -> tuple[Send, ...]:
    """Ask a peer for its version if that is newer than the running one."""
    if version <= state.snapshot.version:
        return ()
    return (Send(peer, Pull(state.snapshot.version)),)


__all__ = ["Distribution", "Send", "install", "pull_if_behind", "receive"]
