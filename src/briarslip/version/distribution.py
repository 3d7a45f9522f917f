"""State and decisions of a daemon that distributes configuration versions."""

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
from briarslip.version.delta import apply_delta_to_later
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


MAX_RECENT_DELTAS = 32
SERVED_BYTES_PER_SECOND = 32_000
SERVED_BURST_BYTES = 32_000
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class RecentDelta:
    """The compressed delta from one version that this daemon ran to the next one."""

    base_version: int
    data: bytes


@dataclass(slots=True)
class DistributionState:
    """The configuration that this daemon runs, and what it serves to peers.

    ``pending_snapshot`` is the newest snapshot received while ``minimum_version`` is
    unknown or not reached. ``compressed_snapshot`` caches the running snapshot as
    served to peers. ``credit_bytes`` is the number of bytes that may be served now;
    it was last refilled at ``credit_updated_at`` on the monotonic clock.
    """

    snapshot: Snapshot = EMPTY_SNAPSHOT
    table: RoutingTable = EMPTY_TABLE
    minimum_version: int | None = None
    pending_snapshot: Snapshot | None = None
    recent_deltas: deque[RecentDelta] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_DELTAS)
    )
    compressed_snapshot: FullSnapshot | None = None
    credit_bytes: float = SERVED_BURST_BYTES
    credit_updated_at: float = 0.0

    @property
    def newest_version(self) -> int:
        """The newest version received, whether it is running or pending."""
        pending = (
            self.pending_snapshot.version if self.pending_snapshot is not None else 0
        )
        return max(self.snapshot.version, pending)


def install_snapshot(
    state: DistributionState, snapshot: Snapshot
) -> tuple[Finding, ...]:
    """Make a snapshot the running one; return the findings that prevent it.

    Only a version that is newer than the running one, not below the minimum version
    and without findings is run. A version is kept as pending while the minimum
    version is unknown or not reached.
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
        delta = compress(delta_between(state.snapshot, snapshot).encode())
        state.recent_deltas.append(RecentDelta(state.snapshot.version, delta))
    state.snapshot, state.table = snapshot, table.ok_value
    state.compressed_snapshot = None
    state.pending_snapshot = None
    return ()


def set_minimum_version(state: DistributionState, version: int) -> tuple[Finding, ...]:
    """Set the minimum version, and install the pending snapshot if there is one."""
    state.minimum_version = version
    pending = state.pending_snapshot
    return install_snapshot(state, pending) if pending is not None else ()


def serve_pull(
    state: DistributionState, peer_version: int, now: float
) -> Deltas | FullSnapshot | Busy | None:
    """Return the reply to a peer's pull, or None if the peer is up to date.

    The reply consists of deltas if there are deltas from the peer's version and they
    are not larger than the full snapshot. It is ``Busy`` while there is no credit.
    """
    if peer_version >= state.snapshot.version:
        return None
    deltas = _deltas_from(state, peer_version)
    if state.compressed_snapshot is None:
        full_snapshot = compress(state.snapshot.encode())
        state.compressed_snapshot = FullSnapshot(state.snapshot.digest, full_snapshot)
    size_bytes = sum(len(delta) for delta in deltas)
    if not deltas or size_bytes > len(state.compressed_snapshot.data):
        size_bytes = len(state.compressed_snapshot.data)
        deltas = ()
    wait_seconds = _spend_credit(state, size_bytes, now)
    if wait_seconds:
        return Busy(int(wait_seconds * MS_PER_SECOND))
    return Deltas(deltas) if deltas else state.compressed_snapshot


def apply_deltas(
    state: DistributionState, deltas: tuple[bytes, ...]
) -> Result[Snapshot, str]:
    """Return the running snapshot with compressed deltas applied to it.

    Deltas to versions that are already applied are skipped. The error is the reason
    why a delta cannot be applied.
    """
    snapshot = state.snapshot
    for data in deltas:
        delta = decompress(data).and_then(decode_delta)
        if isinstance(delta, Err):
            return delta
        if delta.ok_value.version <= snapshot.version:
            continue
        applied = apply_delta_to_later(snapshot, delta.ok_value)
        if isinstance(applied, Err):
            return applied
        snapshot = applied.ok_value
    return Ok(snapshot)


def decode_full_snapshot(full_snapshot: FullSnapshot) -> Result[Snapshot, str]:
    """Decode a full snapshot and verify its digest; the error is a reason."""
    snapshot = decompress(full_snapshot.data).and_then(decode_snapshot)
    if (
        not isinstance(snapshot, Err)
        and snapshot.ok_value.digest != full_snapshot.digest
    ):
        return Err(
            f"digest mismatch for version {snapshot.ok_value.version}:"
            f" expected {full_snapshot.digest}, got {snapshot.ok_value.digest}"
        )
    return snapshot


def _deltas_from(state: DistributionState, peer_version: int) -> tuple[bytes, ...]:
    """Return the deltas from a peer's version, or else from the one before it.

    Load pattern: changes follow one another so closely that daemons skip versions,
    and not the same ones. The first delta then has what the peer's version lacks.
    """
    deltas = list(state.recent_deltas)
    earlier = [i for i, d in enumerate(deltas) if d.base_version <= peer_version]
    if not earlier:
        return ()
    return tuple(following.data for following in deltas[earlier[-1] :])


def _spend_credit(state: DistributionState, size_bytes: int, now: float) -> float:
    """Refill the credit and deduct bytes; return the seconds to wait if there is none.

    The credit may become negative, so that a snapshot of any size can be served.
    """
    earned_bytes = (now - state.credit_updated_at) * SERVED_BYTES_PER_SECOND
    state.credit_bytes = min(SERVED_BURST_BYTES, state.credit_bytes + earned_bytes)
    state.credit_updated_at = now
    if state.credit_bytes <= 0:
        return -state.credit_bytes / SERVED_BYTES_PER_SECOND + 1 / MS_PER_SECOND
    state.credit_bytes -= size_bytes
    return 0.0


__all__ = [
    "DistributionState",
    "apply_deltas",
    "decode_full_snapshot",
    "install_snapshot",
    "serve_pull",
    "set_minimum_version",
]
