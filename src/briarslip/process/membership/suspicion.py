"""Suspicion of members, and of this daemon's own judgement first.

A daemon whose probes mostly fail is more likely cut off or starved itself
than right about the others, so it holds back and slows its accusations.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address


SUSPECT_SECONDS = 4.0
WINDOW_PROBES = 8
DOUBT_FAILURES = 5
FIRST_QUESTION_SECONDS = 2.0
QUESTION_SECONDS = 1.0
QUESTIONS_PER_SECOND = 8.0
LEAST_QUESTIONS = 3
# In a mass loss each has fewer, so that it is known in time at a bounded rate.
FEW_SUSPECTS = 4
LEAST_QUESTIONS_OF_MANY = 2
ANSWER_SECONDS = 0.5
HOLD_SECONDS = 5.0
ISOLATED_HOLD_SECONDS = 30.0
HEARING_SECONDS = 2.0


@dataclass(slots=True)
class LocalHealth:
    """How far this daemon trusts its own probes."""

    outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=WINDOW_PROBES))
    doubtful_since: float | None = None
    heard_at: float = 0.0

    @property
    def failures(self) -> int:
        """The failures among the last probes."""
        return sum(1 for answered in self.outcomes if not answered)

    @property
    def slowdown(self) -> float:
        """The factor on the time that suspects are given."""
        return 1.0 + self.failures // 2

    def record(self, answered: bool, now: float) -> None:
        """Count a probe's outcome."""
        self.outcomes.append(answered)
        if self.failures < DOUBT_FAILURES:
            self.doubtful_since = None
        elif self.doubtful_since is None:
            self.doubtful_since = now

    def may_accuse(self, now: float) -> bool:
        """Tell whether this daemon may accuse others.

        While it doubts itself it waits, and longer when it hears nobody.
        """
        if self.doubtful_since is None:
            return True
        is_hearing = now - self.heard_at <= HEARING_SECONDS
        hold = HOLD_SECONDS if is_hearing else ISOLATED_HOLD_SECONDS
        return now - self.doubtful_since > hold


@dataclass(slots=True)
class Suspicions:
    """Since when members are suspect, and how often each was asked itself."""

    since: dict[Address, float] = field(default_factory=dict)
    asked_at: dict[Address, float] = field(default_factory=dict)
    questions: Counter[Address] = field(default_factory=Counter)
    question_at: float = 0.0

    def begin(self, address: Address, now: float) -> None:
        """Start the time that a suspect has to refute."""
        self.since.setdefault(address, now)

    def end(self, address: Address) -> None:
        """Drop a suspicion."""
        self.since.pop(address, None)
        self.asked_at.pop(address, None)
        self.questions.pop(address, None)

    def heard(self, address: Address, now: float) -> None:
        """Give a suspect that is alive its whole time again to refute."""
        if address in self.since:
            self.since[address] = now
            self.questions.pop(address, None)

    def delay(self, seconds: float) -> None:
        """Leave out a time in which this daemon could hear no refutation."""
        self.since = {address: at + seconds for address, at in self.since.items()}

    def to_ask(self, now: float) -> Address | None:
        """Return the suspect that is to be asked now, if any.

        Few are asked in a second, so that a mass loss costs no more bytes.
        """
        if now < self.question_at:
            return None
        for address, at in self.since.items():
            asked_at = self.asked_at.get(address, 0.0)
            is_due = now - asked_at >= QUESTION_SECONDS
            if now - at >= FIRST_QUESTION_SECONDS and is_due:
                self.question_at = now + 1.0 / QUESTIONS_PER_SECOND
                self.asked_at[address] = now
                self.questions[address] += 1
                # Asked again only after the others that wait.
                self.since[address] = self.since.pop(address)
                return address
        return None

    def overdue(self, health: LocalHealth, now: float) -> tuple[Address, ...]:
        """Return the suspects that had their time and were asked."""
        limit = SUSPECT_SECONDS * health.slowdown
        is_few = len(self.since) <= FEW_SUSPECTS
        least = LEAST_QUESTIONS if is_few else LEAST_QUESTIONS_OF_MANY
        return tuple(
            address
            for address, at in self.since.items()
            if now - at > limit
            and self.questions[address] >= least
            and now - self.asked_at[address] > ANSWER_SECONDS
        )


__all__ = ["SUSPECT_SECONDS", "LocalHealth", "Suspicions"]
