"""Dissemination of rollout state: builds, merges and compares messages.

These functions use neither sockets nor timers.
"""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from briarslip.version.evidence_codec import DecisionsState


if TYPE_CHECKING:
    from briarslip.version.decision import Decision
    from briarslip.version.decision import Decisions
    from briarslip.version.decision import RolloutId


DIGEST_PEERS = 2
LATEST_TIME = datetime.max.replace(tzinfo=UTC)


def full_state(decisions: Decisions) -> DecisionsState:
    """Return a message with the whole state of this daemon."""
    return DecisionsState(
        is_complete=decisions.is_synced,
        decisions=tuple(decisions.rolled_back.values()),
        started=tuple(decisions.started.items()),
        held_until=tuple(decisions.held_until.items()),
        deadlines=tuple(decisions.deadlines.items()),
    )


def state_update(
    decisions: tuple[Decision, ...] = (),
    started: tuple[tuple[RolloutId, datetime], ...] = (),
    held_until: tuple[tuple[RolloutId, datetime], ...] = (),
    deadlines: tuple[tuple[str, datetime], ...] = (),
) -> DecisionsState:
    """Return a message with new entries only."""
    return DecisionsState(False, decisions, started, held_until, deadlines)


def merge_state(decisions: Decisions, state: DecisionsState) -> DecisionsState | None:
    """Merge a peer's message; return an update with what was new, None if nothing."""
    started = tuple(
        (rollout, when)
        for rollout, when in state.started
        if when < decisions.started.get(rollout, LATEST_TIME)
    )
    new_decisions = decisions.merge(state.decisions, started)
    held = tuple(
        (rollout, until)
        for rollout, until in state.held_until
        if decisions.extend_hold(rollout, until)
    )
    deadlines = tuple(
        (order, deadline)
        for order, deadline in state.deadlines
        if decisions.add_deadline(order, deadline)
    )
    decisions.is_synced = decisions.is_synced or state.is_complete
    return (
        state_update(new_decisions, started, held, deadlines)
        if new_decisions or started or held or deadlines
        else None
    )


def is_sender_behind(decisions: Decisions, state: DecisionsState) -> bool:
    """Whether the sender of a full state lacks a decision or start of this daemon."""
    decided_rollouts = {decision.rollout for decision in state.decisions}
    started = dict(state.started)
    return any(
        rollout not in decided_rollouts for rollout in decisions.rolled_back
    ) or any(
        started.get(rollout) != when for rollout, when in decisions.started.items()
    )


__all__ = [
    "DIGEST_PEERS",
    "full_state",
    "is_sender_behind",
    "merge_state",
    "state_update",
]
