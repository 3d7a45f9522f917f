"""Spreading of configuration versions between daemons."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.version.configuration_codec import Busy
from briarslip.version.configuration_codec import Deltas
from briarslip.version.configuration_codec import FullSnapshot
from briarslip.version.configuration_codec import compress
from briarslip.version.configuration_codec import decompress
from briarslip.version.delta import apply_delta
from briarslip.version.delta import decode_delta
from briarslip.version.delta import delta_between
from briarslip.version.routing_table import EMPTY_TABLE
from briarslip.version.routing_table import RoutingTable
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from briarslip.version.snapshot import Snapshot
from briarslip.version.snapshot import decode_snapshot


if TYPE_CHECKING:
    from briarslip.finding import Finding


RECENT_DELTAS = 32
SERVED_BYTES_PER_SECOND = 32_000
SERVED_BURST_BYTES = 32_000
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class RecentDelta:
    """The step from one version this daemon ran to the next."""

    base_version: int
    data: bytes


@dataclass(slots=True)
class DistributionState:
    """The configuration this daemon runs.

    ``pending_snapshot`` is the newest snapshot received while ``minimum_version`` is
    not known or not reached. ``credit_bytes`` counts bytes that may be served now.
    """

    snapshot: Snapshot = EMPTY_SNAPSHOT
    table: RoutingTable = EMPTY_TABLE
    minimum_version: int | None = None
    pending_snapshot: Snapshot | None = None
    recent_deltas: deque[RecentDelta] = field(
        default_factory=lambda: deque(maxlen=RECENT_DELTAS)
    )
    compressed_snapshot: FullSnapshot | None = None
    credit_bytes: float = SERVED_BURST_BYTES
    credit_updated_at: float = 0.0

    @property
    def newest_version(self) -> int:
        """The newest version that is here, running or not."""
        waiting = (
            self.pending_snapshot.version if self.pending_snapshot is not None else 0
        )
        return max(self.snapshot.version, waiting)


def install_snapshot(
    state: DistributionState, snapshot: Snapshot
) -> tuple[Finding, ...]:
    """Run a snapshot if it may be run; return what is wrong with it.

    Only a version newer than the running one and not below the minimum
    version is ever run, and only whole.
    """
    if snapshot.version <= state.snapshot.version:
        return ()
    if state.minimum_version is None or snapshot.version < state.minimum_version:
        if (
            state.pending_snapshot is None
            or snapshot.version > state.pending_snapshot.version
        ):
            state.pending_snapshot = snapshot
        return ()
    table = compile_snapshot(snapshot, state.table)
    if isinstance(table, Err):
        return table.err_value
    if state.snapshot.version:
        step = compress(delta_between(state.snapshot, snapshot).encode())
        state.recent_deltas.append(RecentDelta(state.snapshot.version, step))
    state.snapshot, state.table = snapshot, table.ok_value
    state.compressed_snapshot = None
    state.pending_snapshot = None
    return ()


def set_minimum_version(state: DistributionState, version: int) -> tuple[Finding, ...]:
    """Set the minimum version, and run what has waited for it."""
    state.minimum_version = version
    waiting = state.pending_snapshot
    return install_snapshot(state, waiting) if waiting is not None else ()


def serve_pull(
    state: DistributionState, running: int, now: float
) -> Deltas | FullSnapshot | Busy | None:
    """Return what a peer that runs ``running`` is answered, None for nothing."""
    if running >= state.snapshot.version:
        return None
    deltas = _deltas_from(state, running)
    if state.compressed_snapshot is None:
        whole = compress(state.snapshot.encode())
        state.compressed_snapshot = FullSnapshot(state.snapshot.digest, whole)
    size = sum(len(delta) for delta in deltas)
    if not deltas or size > len(state.compressed_snapshot.data):
        size = len(state.compressed_snapshot.data)
        deltas = ()
    wait = _spend(state, size, now)
    if wait:
        return Busy(int(wait * MS_PER_SECOND))
    return Deltas(deltas) if deltas else state.compressed_snapshot


def apply_deltas(
    state: DistributionState, deltas: tuple[bytes, ...]
) -> Result[Snapshot, str]:
    """Return the snapshot that deltas lead to; the error is a reason."""
    snapshot = state.snapshot
    for data in deltas:
        delta = decompress(data).and_then(decode_delta)
        if isinstance(delta, Err):
            return delta
        if delta.ok_value.version <= snapshot.version:
            continue
        applied = apply_delta(snapshot, delta.ok_value)
        if isinstance(applied, Err):
            return applied
        snapshot = applied.ok_value
    return Ok(snapshot)


def decode_full_snapshot(whole: FullSnapshot) -> Result[Snapshot, str]:
    """Return a whole snapshot with its digest checked."""
    snapshot = decompress(whole.data).and_then(decode_snapshot)
    if not isinstance(snapshot, Err) and snapshot.ok_value.digest != whole.digest:
        return Err(f"version {snapshot.ok_value.version} does not have its digest")
    return snapshot


def _deltas_from(state: DistributionState, running: int) -> tuple[bytes, ...]:
    steps = list(state.recent_deltas)
    for index, step in enumerate(steps):
        if step.base_version == running:
            return tuple(later.data for later in steps[index:])
    return ()


def _spend(state: DistributionState, size: int, now: float) -> float:
    """Take bytes off the credit; return the seconds to wait if there is none.

    The credit may go below zero once, so that a snapshot of any size passes.
    """
    earned = (now - state.credit_updated_at) * SERVED_BYTES_PER_SECOND
    state.credit_bytes = min(SERVED_BURST_BYTES, state.credit_bytes + earned)
    state.credit_updated_at = now
    if state.credit_bytes <= 0:
        return -state.credit_bytes / SERVED_BYTES_PER_SECOND + 1 / MS_PER_SECOND
    state.credit_bytes -= size
    return 0.0


__all__ = [
    "DistributionState",
    "apply_deltas",
    "decode_full_snapshot",
    "install_snapshot",
    "serve_pull",
    "set_minimum_version",
]
