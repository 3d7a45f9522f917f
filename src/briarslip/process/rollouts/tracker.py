"""The rollouts' state at one daemon, from its table, members and decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.version.decision import Decisions
from briarslip.version.decision import RolloutId
from briarslip.version.record import DEADLINE_NOT_AGREED
from briarslip.version.rollout import TERMINAL_STATES
from briarslip.version.rollout import RolloutStatus
from briarslip.version.rollout import State
from briarslip.version.rollout import effective_rollouts
from briarslip.version.rollout import rollout_status
from briarslip.version.rollout import traffic_plan


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from datetime import datetime

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Member
    from briarslip.version.record import Rollout
    from briarslip.version.rollout import ServersByVersion
    from briarslip.version.rollout import TrafficPlan
    from briarslip.version.routing_table import RoutingTable


ANALYZED = frozenset(
    (
        State.SMALL_SHARE,
        State.RAMPING,
        State.HELD,
        State.DONE,
        State.DEADLINE_MISSED,
    )
)


def _as_written(rollout: Rollout) -> Rollout:
    return rollout


class RolloutTracker:
    """Plans of traffic by service and the state of each rollout.

    ``with_deadline`` returns a rollout with the deadline agreed on.
    """

    def __init__(
        self,
        clock: Clock,
        table: Callable[[], RoutingTable],
        members: Callable[[], tuple[Member, ...]],
        with_deadline: Callable[[Rollout], Rollout] = _as_written,
    ) -> None:
        self.with_deadline = with_deadline
        self.clock = clock
        self.table = table
        self.members = members
        self.decisions = Decisions()
        self.plans: dict[str, TrafficPlan] = {}
        self.statuses: tuple[RolloutStatus, ...] = ()
        self.servers: dict[str, ServersByVersion] = {}
        self.zones_heard: dict[str, datetime] = {}
        self.previous: dict[str, Rollout] = {}
        self.finished: dict[RolloutId, State] = {}
        self.state_since: dict[tuple[RolloutId, State], datetime] = {}

    def refresh(self) -> tuple[tuple[RolloutId, datetime], ...]:
        """Work out plans and states anew; return the rollouts that started."""
        now = self.clock.now()
        members = self.members()
        for member in members:
            self.zones_heard[member.availability_zone] = now
        rollouts = tuple(map(self.with_deadline, self.table().rollouts.values()))
        services = {rollout.service for rollout in rollouts}
        services |= {d.service for d in self.decisions.rolled_back.values()}
        servers = _servers(members, services)
        self.servers = servers
        started = self._start(rollouts, servers, now)
        plans: dict[str, TrafficPlan] = {}
        for service in services:
            plan = traffic_plan(
                service, rollouts, servers[service], self.decisions, now
            )
            if plan is not None:
                plans[service] = plan
        self.plans = plans
        self._take_statuses(
            tuple(
                self._status(rollout, rollouts, servers[rollout.service], now)
                for rollout in rollouts
            )
        )
        return started

    def _start(
        self,
        rollouts: tuple[Rollout, ...],
        servers: dict[str, ServersByVersion],
        now: datetime,
    ) -> tuple[tuple[RolloutId, datetime], ...]:
        """Note the rollouts whose servers are there for the first time.

        A rollout amended midway goes on from where it is: it keeps the start
        of the one before, unless that one is rolled back.
        """
        started: list[tuple[RolloutId, datetime]] = []
        for rollout in rollouts:
            rollout_id = RolloutId.from_rollout(rollout)
            known = rollout_id in self.decisions.started
            there = bool(servers[rollout.service].get(rollout.version))
            is_agreed = rollout.deadline != DEADLINE_NOT_AGREED
            if self.decisions.is_ready and there and is_agreed and not known:
                started.append((rollout_id, self._first_start(rollout, now)))
                self.decisions.record_start(*started[-1])
            self.previous[rollout.name] = rollout
        return tuple(started)

    def _first_start(self, rollout: Rollout, now: datetime) -> datetime:
        before = self.previous.get(rollout.name)
        if before is None or before.version != rollout.version:
            return now
        before_id = RolloutId.from_rollout(before)
        if before_id in self.decisions.rolled_back:
            return now
        return self.decisions.started.get(before_id, now)

    def _status(
        self,
        rollout: Rollout,
        rollouts: tuple[Rollout, ...],
        servers: ServersByVersion,
        now: datetime,
    ) -> RolloutStatus:
        current = effective_rollouts(rollouts, rollout.service)
        if rollout in current:
            return self._finish(rollout_status(rollout, servers, self.decisions, now))
        later = next(r for r in current if r.version == rollout.version)
        reason = f"rollout {later.name} to the same version has a later deadline"
        rollout_id = RolloutId.from_rollout(rollout)
        return RolloutStatus(rollout, rollout_id, State.SUPERSEDED, 0.0, 0.0, reason)

    def _finish(self, known: RolloutStatus) -> RolloutStatus:
        """Keep the first terminal state; only a roll back replaces it."""
        if known.state is State.ROLLED_BACK or known.state is State.SYNCING:
            return known
        if known.state in TERMINAL_STATES:
            self.finished.setdefault(known.id, known.state)
        state = self.finished.get(known.id)
        if state is None or state is known.state:
            return known
        return replace(known, state=state)

    def _take_statuses(self, statuses: tuple[RolloutStatus, ...]) -> None:
        before = {known.id: known.state for known in self.statuses}
        self.statuses = statuses
        now = self.clock.now()
        self.state_since = {
            (known.id, known.state): self.state_since.get((known.id, known.state), now)
            for known in statuses
        }
        for known in statuses:
            if before.get(known.id) is not known.state:
                emit(
                    Event.ROLLOUT_STATE,
                    rollout=known.rollout.name,
                    state=known.state.value,
                    reason=known.reason,
                )

    def has_other_servers(self, rollout: Rollout) -> bool:
        """Whether a version that may get work stands beside the rollout's."""
        plan = self.plans.get(rollout.service)
        excluded = frozenset() if plan is None else plan.excluded_versions
        servers = self.servers.get(rollout.service, {})
        return bool(servers.keys() - excluded - {rollout.version})

    @property
    def analyzed(self) -> tuple[RolloutStatus, ...]:
        """The rollouts whose version takes traffic beside another one."""
        return tuple(
            known
            for known in self.statuses
            if known.state in ANALYZED and self.has_other_servers(known.rollout)
        )

    def server_count(self, rollout: Rollout) -> int:
        """Return how many servers of a rollout's version take work."""
        servers = self.servers.get(rollout.service, {})
        return len(servers.get(rollout.version, ()))

    @property
    def zones_without_members(self) -> tuple[str, ...]:
        """The zones that had members once and have none now."""
        live = {member.availability_zone for member in self.members()}
        return tuple(sorted(self.zones_heard.keys() - live))


def _servers(
    members: tuple[Member, ...], services: Collection[str]
) -> dict[str, ServersByVersion]:
    """Return the daemons whose servers take work, by service and version."""
    found: dict[str, dict[str, set[Address]]] = {name: {} for name in services}
    for member in members:
        for endpoint in member.endpoints:
            versions = found.get(endpoint.service)
            if versions is not None and not endpoint.draining:
                versions.setdefault(endpoint.version, set()).add(member.address)
    return {
        service: {version: frozenset(where) for version, where in versions.items()}
        for service, versions in found.items()
    }


__all__ = ["RolloutTracker"]
