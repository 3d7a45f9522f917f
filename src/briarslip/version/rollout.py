"""States of rollouts and the traffic shares of a service's versions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarslip.version.decision import RolloutId
from briarslip.version.traffic_share import FULL_SHARE_PROGRESS
from briarslip.version.traffic_share import RAMP_START_PROGRESS
from briarslip.version.traffic_share import rollout_progress
from briarslip.version.traffic_share import server_subset
from briarslip.version.traffic_share import traffic_share


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from datetime import datetime

    from briarslip.address import Address
    from briarslip.version.decision import Decisions
    from briarslip.version.record import Rollout


ServersByVersion = dict[str, frozenset["Address"]]


class State(Enum):
    """State of a rollout; the last three are terminal."""

    SUPERSEDED = "superseded"
    PENDING = "pending"
    WAITING_FOR_SERVERS = "waiting_for_servers"
    SYNCING = "syncing"
    SMALL_SHARE = "small_share"
    RAMPING = "ramping"
    HELD = "held"
    DONE = "done"
    ROLLED_BACK = "rolled_back"
    DEADLINE_MISSED = "deadline_missed"


TERMINAL_STATES = frozenset((State.DONE, State.ROLLED_BACK, State.DEADLINE_MISSED))


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """A rollout's state, the reason for it, and its version's current traffic share.

    ``progress`` is 0 at the rollout's start and 1 at its deadline.
    """

    rollout: Rollout
    id: RolloutId
    state: State
    share: float
    progress: float
    reason: str


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """The traffic shares of a service's versions and the servers that get them.

    A version that is not in ``server_subsets`` uses all of its servers.
    """

    shares: tuple[tuple[str, float], ...]
    excluded_versions: frozenset[str]
    server_subsets: Mapping[str, tuple[Address, ...]]

    def choose_version(self, draw: float) -> str:
        """Return the version for a random draw from [0, 1), empty if there is none."""
        version = ""
        for version, share in self.shares:
            if draw < share:
                return version
            draw -= share
        return version


def effective_rollouts(
    rollouts: Iterable[Rollout], service: str
) -> tuple[Rollout, ...]:
    """Return a service's rollouts by deadline, one for each version.

    Of several rollouts to one version the one with the latest deadline is effective.
    """
    by_version: dict[str, Rollout] = {}
    for rollout in sorted(rollouts, key=lambda r: (r.deadline, r.name)):
        if rollout.service == service:
            by_version.pop(rollout.version, None)
            by_version[rollout.version] = rollout
    return tuple(by_version.values())


def rollout_status(
    rollout: Rollout, servers: ServersByVersion, decisions: Decisions, now: datetime
) -> RolloutStatus:
    """Return the status of an effective rollout at the time ``now``."""
    rollout_id = RolloutId.from_rollout(rollout)
    state, share, reason = _state(rollout, rollout_id, servers, decisions, now)
    started = decisions.started.get(rollout_id, now)
    progress = rollout_progress(rollout, started, now)
    return RolloutStatus(rollout, rollout_id, state, share, progress, reason)


def _state(
    rollout: Rollout,
    rollout_id: RolloutId,
    servers: ServersByVersion,
    decisions: Decisions,
    now: datetime,
) -> tuple[State, float, str]:
    decision = decisions.rolled_back.get(rollout_id)
    if decision is not None:
        fault = decision.fault
        reason = f"route {fault.route}: {fault.figure} {fault.new_value}"
        return State.ROLLED_BACK, 0.0, f"{reason} against {fault.old_value}"
    if not decisions.is_ready:
        return State.SYNCING, 0.0, "no peer has told the decisions yet"
    started = decisions.started.get(rollout_id)
    if started is None or not servers.get(rollout.version):
        return _state_without_servers(rollout, now)
    return _state_with_servers(rollout, rollout_id, started, decisions, now)


def _state_without_servers(rollout: Rollout, now: datetime) -> tuple[State, float, str]:
    reason = f"no server of {rollout.service} {rollout.version} has announced itself"
    if now >= rollout.deadline:
        return State.DEADLINE_MISSED, 0.0, reason
    return State.WAITING_FOR_SERVERS, 0.0, reason


def _state_with_servers(
    rollout: Rollout,
    rollout_id: RolloutId,
    started: datetime,
    decisions: Decisions,
    now: datetime,
) -> tuple[State, float, str]:
    progress = rollout_progress(rollout, started, now)
    held_until = decisions.held_until.get(rollout_id)
    is_held = held_until is not None and now < held_until
    held_progress = None
    if is_held:
        held_since = decisions.held_since.get(rollout_id, now)
        held_progress = rollout_progress(rollout, started, held_since)
    share = traffic_share(rollout, progress, held_progress)
    if progress < 0:
        return State.PENDING, 0.0, "the window has not begun"
    if share >= 1.0:
        return _state_at_full_share(rollout, started, progress, now)
    if now >= rollout.deadline:
        reason = "held by evidence" if is_held else f"servers first seen {started}"
        return State.DEADLINE_MISSED, share, reason
    if is_held and progress >= RAMP_START_PROGRESS:
        return State.HELD, share, "the evidence is suspicious"
    state = State.SMALL_SHARE if progress < RAMP_START_PROGRESS else State.RAMPING
    return state, share, ""


def _state_at_full_share(
    rollout: Rollout, started: datetime, progress: float, now: datetime
) -> tuple[State, float, str]:
    """Return done, or deadline missed if the full share came after the deadline."""
    start = max(rollout.deadline - rollout.window, started)
    full_share_at = start + (now - start) * (FULL_SHARE_PROGRESS / progress)
    if full_share_at > rollout.deadline:
        return State.DEADLINE_MISSED, 1.0, f"servers first seen {started}"
    return State.DONE, 1.0, ""


def traffic_plan(
    service: str,
    rollouts: Iterable[Rollout],
    servers: ServersByVersion,
    decisions: Decisions,
    now: datetime,
) -> TrafficPlan | None:
    """Return the traffic plan of a service, None without rollout or excluded version.

    Rollouts are applied in the order of their deadlines: each version's share is
    taken in proportion from those of the versions before it. A version that was
    rolled back gets no traffic, even if no other version has a server.
    """
    effective = effective_rollouts(rollouts, service)
    ids = [(r.version, RolloutId.from_rollout(r)) for r in effective]
    excluded = decisions.excluded_versions(service, ids)
    if not effective and not excluded:
        return None
    rollout_versions = {rollout.version for rollout in effective}
    shares = _base_shares(servers, rollout_versions | excluded)
    server_subsets: dict[str, tuple[Address, ...]] = {}
    old_server_count = sum(len(servers[version]) for version in shares)
    for rollout in effective:
        version = rollout.version
        if version in excluded or not servers.get(version):
            continue
        status = rollout_status(rollout, servers, decisions, now)
        share = status.share if shares else 1.0
        shares = {
            earlier: earlier_share * (1 - share)
            for earlier, earlier_share in shares.items()
        }
        shares[version] = share
        if share < 1.0:
            server_subsets[version] = server_subset(
                servers[version], old_server_count, share, status.progress, rollout.name
            )
    nonzero_shares = tuple(
        (version, share) for version, share in shares.items() if share > 0
    )
    return TrafficPlan(nonzero_shares, excluded, server_subsets)


def _base_shares(servers: ServersByVersion, omitted: Iterable[str]) -> dict[str, float]:
    """Divide the traffic by server count among the versions that are not omitted."""
    counts = {v: len(s) for v, s in servers.items() if v not in omitted and s}
    total = sum(counts.values())
    return {version: count / total for version, count in counts.items()}


__all__ = [
    "TERMINAL_STATES",
    "RolloutStatus",
    "ServersByVersion",
    "State",
    "TrafficPlan",
    "effective_rollouts",
    "rollout_status",
    "traffic_plan",
]
