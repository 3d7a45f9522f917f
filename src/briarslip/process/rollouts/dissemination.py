"""Spreading of decisions: what to send to whom, without sockets or timers."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from briarslip.version.evidence_codec import RolloutState


if TYPE_CHECKING:
    from briarslip.version.decision import Decision
    from briarslip.version.decision import Decisions
    from briarslip.version.decision import RolloutId


DIGEST_PEERS = 2
LATEST = datetime.max.replace(tzinfo=UTC)


def whole_state(decisions: Decisions) -> RolloutState:
    """Return all that is known."""
    return RolloutState(
        is_complete=decisions.is_synced,
        decisions=tuple(decisions.rolled_back.values()),
        started=tuple(decisions.started.items()),
        held_until=tuple(decisions.held_until.items()),
    )


def news(
    decisions: tuple[Decision, ...] = (),
    started: tuple[tuple[RolloutId, datetime], ...] = (),
    held_until: tuple[tuple[RolloutId, datetime], ...] = (),
) -> RolloutState:
    """Return a message with only what is new."""
    return RolloutState(False, decisions, started, held_until)


def merge_state(decisions: Decisions, state: RolloutState) -> RolloutState | None:
    """Merge a peer's message; return what of it was new here, if anything."""
    started = tuple(
        (rollout, when)
        for rollout, when in state.started
        if when < decisions.started.get(rollout, LATEST)
    )
    decided = decisions.merge(state.decisions, started)
    held = tuple(
        (rollout, until)
        for rollout, until in state.held_until
        if decisions.extend_hold(rollout, until)
    )
    decisions.is_synced = decisions.is_synced or state.is_complete
    return news(decided, started, held) if decided or started or held else None


def lacks(decisions: Decisions, state: RolloutState) -> bool:
    """Whether the sender of a whole state lacks something known here."""
    known = {decision.rollout for decision in state.decisions}
    started = dict(state.started)
    return any(rollout not in known for rollout in decisions.rolled_back) or any(
        started.get(rollout) != when for rollout, when in decisions.started.items()
    )


__all__ = [
    "DIGEST_PEERS",
    "lacks",
    "merge_state",
    "news",
    "whole_state",
]
