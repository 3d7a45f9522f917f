"""Spreading of decisions: what to send to whom, without sockets or timers."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from briarslip.rendezvous import ranked
from briarslip.version.evidence_codec import RolloutState


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.process.member import Member
    from briarslip.version.decision import Decision
    from briarslip.version.decision import Decisions
    from briarslip.version.decision import RolloutId


NEAR_NEIGHBORS = 4
FAR_NEIGHBORS = 4
DIGEST_PEERS = 2
LATEST = datetime.max.replace(tzinfo=UTC)


def neighbors(
    members: tuple[Member, ...], own: Address, availability_zone: str
) -> tuple[Address, ...]:
    """Return the peers that this daemon passes news on to, always the same.

    Every daemon has others, so news reach all in a few steps; a fixed choice
    keeps the number of links small. Some are in other zones.
    """
    near: list[Address] = []
    far: list[Address] = []
    for member in members:
        if member.address != own:
            here = member.availability_zone == availability_zone
            (near if here else far).append(member.address)
    salt = f"news {own}"
    return ranked(near, salt)[:NEAR_NEIGHBORS] + ranked(far, salt)[:FAR_NEIGHBORS]


def whole_state(decisions: Decisions) -> RolloutState:
    """Return all that is known."""
    return RolloutState(
        whole=decisions.synced,
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
        if decisions.hold(rollout, until)
    )
    decisions.synced = decisions.synced or state.whole
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
    "neighbors",
    "news",
    "whole_state",
]
