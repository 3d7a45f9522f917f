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
from briarslip.version.configuration_codec import Whole
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
class Distribution:
    """The configuration this daemon runs.

    ``waiting`` is the newest snapshot received while ``minimum_version`` is
    not known or not reached. ``credit`` counts bytes that may be served now.
    """

    snapshot: Snapshot = EMPTY_SNAPSHOT
    table: RoutingTable = EMPTY_TABLE
    minimum_version: int | None = None
    waiting: Snapshot | None = None
    recent: deque[RecentDelta] = field(
        default_factory=lambda: deque(maxlen=RECENT_DELTAS)
    )
    whole: Whole | None = None
    credit: float = SERVED_BURST_BYTES
    credited_at: float = 0.0

    @property
    def held_version(self) -> int:
        """The newest version that is here, running or not."""
        waiting = self.waiting.version if self.waiting is not None else 0
        return max(self.snapshot.version, waiting)


def install(state: Distribution, snapshot: Snapshot) -> tuple[Finding, ...]:
    """Run a snapshot if it may be run; return what is wrong with it.

    Only a version newer than the running one and not below the minimum
    version is ever run, and only whole.
    """
    if snapshot.version <= state.snapshot.version:
        return ()
    if state.minimum_version is None or snapshot.version < state.minimum_version:
        if state.waiting is None or snapshot.version > state.waiting.version:
            state.waiting = snapshot
        return ()
    table = compile_snapshot(snapshot, state.table)
    if isinstance(table, Err):
        return table.err_value
    if state.snapshot.version:
        step = compress(delta_between(state.snapshot, snapshot).encode())
        state.recent.append(RecentDelta(state.snapshot.version, step))
    state.snapshot, state.table = snapshot, table.ok_value
    state.whole = None
    state.waiting = None
    return ()


def set_minimum_version(state: Distribution, version: int) -> tuple[Finding, ...]:
    """Set the minimum version, and run what has waited for it."""
    state.minimum_version = version
    waiting = state.waiting
    return install(state, waiting) if waiting is not None else ()


def serve_pull(
    state: Distribution, running: int, now: float
) -> Deltas | Whole | Busy | None:
    """Return what a peer that runs ``running`` is answered, None for nothing."""
    if running >= state.snapshot.version:
        return None
    deltas = _deltas_from(state, running)
    if state.whole is None:
        whole = compress(state.snapshot.encode())
        state.whole = Whole(state.snapshot.digest, whole)
    size = sum(len(delta) for delta in deltas)
    if not deltas or size > len(state.whole.data):
        size = len(state.whole.data)
        deltas = ()
    wait = _spend(state, size, now)
    if wait:
        return Busy(int(wait * MS_PER_SECOND))
    return Deltas(deltas) if deltas else state.whole


def read_deltas(
    state: Distribution, deltas: tuple[bytes, ...]
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


def read_whole(whole: Whole) -> Result[Snapshot, str]:
    """Return a whole snapshot with its digest checked."""
    snapshot = decompress(whole.data).and_then(decode_snapshot)
    if not isinstance(snapshot, Err) and snapshot.ok_value.digest != whole.digest:
        return Err(f"version {snapshot.ok_value.version} does not have its digest")
    return snapshot


def _deltas_from(state: Distribution, running: int) -> tuple[bytes, ...]:
    steps = list(state.recent)
    for index, step in enumerate(steps):
        if step.base_version == running:
            return tuple(later.data for later in steps[index:])
    return ()


def _spend(state: Distribution, size: int, now: float) -> float:
    """Take bytes off the credit; return the seconds to wait if there is none.

    The credit may go below zero once, so that a snapshot of any size passes.
    """
    earned = (now - state.credited_at) * SERVED_BYTES_PER_SECOND
    state.credit = min(SERVED_BURST_BYTES, state.credit + earned)
    state.credited_at = now
    if state.credit <= 0:
        return -state.credit / SERVED_BYTES_PER_SECOND + 1 / MS_PER_SECOND
    state.credit -= size
    return 0.0


__all__ = [
    "Distribution",
    "install",
    "read_deltas",
    "read_whole",
    "serve_pull",
    "set_minimum_version",
]
