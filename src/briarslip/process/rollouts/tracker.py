"""The state of every rollout at one daemon.

It is computed from the routing table, the members and the decisions.
"""

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


ANALYZED_STATES = frozenset(
    (
        State.SMALL_SHARE,
        State.RAMPING,
        State.HELD,
        State.DONE,
        State.DEADLINE_MISSED,
    )
)


def _unchanged(rollout: Rollout) -> Rollout:
    return rollout


class RolloutTracker:
    """The traffic plan of each service and the state of each rollout.

    ``with_deadline`` returns a rollout with its agreed deadline, or unchanged while
    there is none. ``state_since`` is the time at which a rollout entered its state
    at this daemon.
    """

    def __init__(
        self,
        clock: Clock,
        routing_table: Callable[[], RoutingTable],
        members: Callable[[], tuple[Member, ...]],
        with_deadline: Callable[[Rollout], Rollout] = _unchanged,
    ) -> None:
        self.with_deadline = with_deadline
        self.clock = clock
        self.routing_table = routing_table
        self.members = members
        self.decisions = Decisions()
        self.plans: dict[str, TrafficPlan] = {}
        self.statuses: tuple[RolloutStatus, ...] = ()
        self.servers: dict[str, ServersByVersion] = {}
        self.zones_last_seen: dict[str, datetime] = {}
        self.previous_rollouts: dict[str, Rollout] = {}
        self.terminal_states: dict[RolloutId, State] = {}
        self.state_since: dict[tuple[RolloutId, State], datetime] = {}

    def refresh(self) -> tuple[tuple[RolloutId, datetime], ...]:
        """Recompute traffic plans and states; return the rollouts that started now."""
        now = self.clock.now()
        self.decisions.update_holds(now)
        members = self.members()
        for member in members:
            self.zones_last_seen[member.availability_zone] = now
        rollouts = tuple(
            map(self.with_deadline, self.routing_table().rollouts.values())
        )
        services = {rollout.service for rollout in rollouts}
        services |= {d.service for d in self.decisions.rolled_back.values()}
        evacuated = self.routing_table().evacuations
        servers = _servers_by_service(
            tuple(m for m in members if m.availability_zone not in evacuated), services
        )
        self.servers = servers
        started = self._record_starts(rollouts, servers, now)
        plans: dict[str, TrafficPlan] = {}
        for service in services:
            plan = traffic_plan(
                service, rollouts, servers[service], self.decisions, now
            )
            if plan is not None:
                plans[service] = plan
        self.plans = plans
        self._update_statuses(
            tuple(
                self._status(rollout, rollouts, servers[rollout.service], now)
                for rollout in rollouts
            )
        )
        return started

    def _record_starts(
        self,
        rollouts: tuple[Rollout, ...],
        servers: dict[str, ServersByVersion],
        now: datetime,
    ) -> tuple[tuple[RolloutId, datetime], ...]:
        """Record the starts of rollouts whose version has servers for the first time.

        Return these rollouts with their start times.
        """
        started: list[tuple[RolloutId, datetime]] = []
        for rollout in rollouts:
            rollout_id = RolloutId.from_rollout(rollout)
            has_started = rollout_id in self.decisions.started
            has_servers = bool(servers[rollout.service].get(rollout.version))
            is_deadline_agreed = rollout.deadline != DEADLINE_NOT_AGREED
            if (
                self.decisions.is_ready
                and has_servers
                and is_deadline_agreed
                and not has_started
            ):
                started.append((rollout_id, self._start_time(rollout, now)))
                self.decisions.record_start(*started[-1])
            self.previous_rollouts[rollout.name] = rollout
        return tuple(started)

    def _start_time(self, rollout: Rollout, now: datetime) -> datetime:
        """Return when a rollout started.

        A rollout that is amended while it runs keeps the start of the previous
        record and so its progress, unless the previous one was rolled back.
        """
        previous = self.previous_rollouts.get(rollout.name)
        if previous is None or previous.version != rollout.version:
            return now
        previous_id = RolloutId.from_rollout(previous)
        if previous_id in self.decisions.rolled_back:
            return now
        return self.decisions.started.get(previous_id, now)

    def _status(
        self,
        rollout: Rollout,
        rollouts: tuple[Rollout, ...],
        servers: ServersByVersion,
        now: datetime,
    ) -> RolloutStatus:
        current = effective_rollouts(rollouts, rollout.service)
        if rollout in current:
            return self._with_terminal_state(
                rollout_status(rollout, servers, self.decisions, now)
            )
        later = next(r for r in current if r.version == rollout.version)
        reason = f"rollout {later.name} to the same version has a later deadline"
        rollout_id = RolloutId.from_rollout(rollout)
        return RolloutStatus(rollout, rollout_id, State.SUPERSEDED, 0.0, 0.0, reason)

    def _with_terminal_state(self, computed: RolloutStatus) -> RolloutStatus:
        """Keep the first terminal state of a rollout; only a rollback replaces it."""
        if computed.state is State.ROLLED_BACK or computed.state is State.SYNCING:
            return computed
        if computed.state in TERMINAL_STATES:
            self.terminal_states.setdefault(computed.id, computed.state)
        state = self.terminal_states.get(computed.id)
        if state is None or state is computed.state:
            return computed
        return replace(computed, state=state)

    def _update_statuses(self, statuses: tuple[RolloutStatus, ...]) -> None:
        previous_states = {entry.id: entry.state for entry in self.statuses}
        self.statuses = statuses
        now = self.clock.now()
        self.state_since = {
            (entry.id, entry.state): self.state_since.get((entry.id, entry.state), now)
            for entry in statuses
        }
        for entry in statuses:
            if previous_states.get(entry.id) is not entry.state:
                emit(
                    Event.ROLLOUT_STATE_CHANGED,
                    rollout=entry.rollout.name,
                    state=entry.state.value,
                    reason=entry.reason,
                )

    def has_other_servers(self, rollout: Rollout) -> bool:
        """Whether another version that is not excluded has servers of the service."""
        plan = self.plans.get(rollout.service)
        excluded = frozenset() if plan is None else plan.excluded_versions
        servers = self.servers.get(rollout.service, {})
        return bool(servers.keys() - excluded - {rollout.version})

    @property
    def analyzed(self) -> tuple[RolloutStatus, ...]:
        """The rollouts whose version receives traffic alongside another version."""
        return tuple(
            entry
            for entry in self.statuses
            if entry.state in ANALYZED_STATES and self.has_other_servers(entry.rollout)
        )

    def server_count(self, rollout: Rollout) -> int:
        """Return the number of servers of a rollout's version that accept work."""
        servers = self.servers.get(rollout.service, {})
        return len(servers.get(rollout.version, ()))

    @property
    def zones_without_members(self) -> tuple[str, ...]:
        """The availability zones that had members before and have none now, sorted."""
        live_zones = {member.availability_zone for member in self.members()}
        return tuple(sorted(self.zones_last_seen.keys() - live_zones))


def _servers_by_service(
    members: tuple[Member, ...], services: Collection[str]
) -> dict[str, ServersByVersion]:
    """Return the daemons whose servers accept work, by service and version."""
    addresses_by_version: dict[str, dict[str, set[Address]]] = {
        name: {} for name in services
    }
    for member in members:
        for endpoint in member.endpoints:
            versions = addresses_by_version.get(endpoint.service)
            if versions is not None and not endpoint.draining:
                versions.setdefault(endpoint.version, set()).add(member.address)
    return {
        service: {
            version: frozenset(addresses) for version, addresses in versions.items()
        }
        for service, versions in addresses_by_version.items()
    }


__all__ = ["RolloutTracker"]
