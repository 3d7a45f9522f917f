"""Seeds with which the fault soak once failed, each with its cause."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Regression:
    """A trial that once failed, and why."""

    deployment: str
    seed: int
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()


__all__ = ["REGRESSIONS", "Regression"]
