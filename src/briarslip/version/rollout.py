"""Rollouts: from records, servers and decisions to the versions' shares."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarslip.version.decision import RolloutId
from briarslip.version.traffic_share import DONE_AT
from briarslip.version.traffic_share import RAMP_BEGINS
from briarslip.version.traffic_share import focus
from briarslip.version.traffic_share import progress
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
    """How far a rollout is; the last three are what operators wait for."""

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
    """A rollout's state, the share it gets now, and why it is so.

    ``progress`` is 0 at its start and 1 at its deadline.
    """

    rollout: Rollout
    id: RolloutId
    state: State
    share: float
    progress: float
    reason: str


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """The shares of a service's versions, and the servers that carry them.

    A version that is missing in ``server_subsets`` goes to all of its servers.
    """

    shares: tuple[tuple[str, float], ...]
    excluded_versions: frozenset[str]
    server_subsets: Mapping[str, tuple[Address, ...]]

    def choose_version(self, draw: float) -> str:
        """Return the version for a draw from [0, 1); empty if there is none."""
        version = ""
        for version, share in self.shares:
            if draw < share:
                return version
            draw -= share
        return version


def effective_rollouts(
    rollouts: Iterable[Rollout], service: str
) -> tuple[Rollout, ...]:
    """Return a service's rollouts in order, one for each version.

    Of several rollouts to one version the one with the last deadline counts.
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
    """Return the state of an effective rollout."""
    rollout_id = RolloutId.from_rollout(rollout)
    state, share, reason = _state(rollout, rollout_id, servers, decisions, now)
    started = decisions.started.get(rollout_id, now)
    done = progress(rollout, started, now)
    return RolloutStatus(rollout, rollout_id, state, share, done, reason)


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
        return _without_servers(rollout, now)
    return _moving(rollout, rollout_id, started, decisions, now)


def _without_servers(rollout: Rollout, now: datetime) -> tuple[State, float, str]:
    reason = f"no server of {rollout.service} {rollout.version} has announced itself"
    if now >= rollout.deadline:
        return State.DEADLINE_MISSED, 0.0, reason
    return State.WAITING_FOR_SERVERS, 0.0, reason


def _moving(
    rollout: Rollout,
    rollout_id: RolloutId,
    started: datetime,
    decisions: Decisions,
    now: datetime,
) -> tuple[State, float, str]:
    done = progress(rollout, started, now)
    held_until = decisions.held_until.get(rollout_id)
    held = held_until is not None and now < held_until
    share = traffic_share(rollout, done, held)
    if done < 0:
        return State.PENDING, 0.0, "the window has not begun"
    if share >= 1.0:
        return _moved(rollout, started, done, now)
    if now >= rollout.deadline:
        reason = "held by evidence" if held else f"servers first seen {started}"
        return State.DEADLINE_MISSED, share, reason
    if held and done >= RAMP_BEGINS:
        return State.HELD, share, "the evidence is suspicious"
    state = State.SMALL_SHARE if done < RAMP_BEGINS else State.RAMPING
    return state, share, ""


def _moved(
    rollout: Rollout, started: datetime, done: float, now: datetime
) -> tuple[State, float, str]:
    """Return done, or missed when the share grew whole after the deadline."""
    begin = max(rollout.deadline - rollout.window, started)
    whole = begin + (now - begin) * (DONE_AT / done)
    if whole > rollout.deadline:
        return State.DEADLINE_MISSED, 1.0, f"servers first seen {started}"
    return State.DONE, 1.0, ""


def traffic_plan(
    service: str,
    rollouts: Iterable[Rollout],
    servers: ServersByVersion,
    decisions: Decisions,
    now: datetime,
) -> TrafficPlan | None:
    """Return how a service's traffic is shared; None without a rollout.

    Rollouts apply in the order of their deadlines, each to what the ones
    before it leave. A version that is rolled back gets nothing, even when
    no other version has a server.
    """
    current = effective_rollouts(rollouts, service)
    ids = [(r.version, RolloutId.from_rollout(r)) for r in current]
    excluded = decisions.excluded_versions(service, ids)
    if not current and not excluded:
        return None
    named = {rollout.version for rollout in current}
    shares = _base_shares(servers, named | excluded)
    focused: dict[str, tuple[Address, ...]] = {}
    others = sum(len(servers[version]) for version in shares)
    for rollout in current:
        version = rollout.version
        if version in excluded or not servers.get(version):
            continue
        found = rollout_status(rollout, servers, decisions, now)
        share = found.share if shares else 1.0
        shares = {known: part * (1 - share) for known, part in shares.items()}
        shares[version] = share
        if share < 1.0:
            focused[version] = focus(
                servers[version], others, share, found.progress, rollout.name
            )
    listed = tuple((version, part) for version, part in shares.items() if part > 0)
    return TrafficPlan(listed, excluded, focused)


def _base_shares(
    servers: ServersByVersion, left_out: Iterable[str]
) -> dict[str, float]:
    """Share traffic by the number of servers among versions without rollout."""
    counts = {v: len(s) for v, s in servers.items() if v not in left_out and s}
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
