"""Measurements that benches report."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Measurement:
    """A measured value with its unit and its maximum, ``bound``, if there is one.

    Bounds come from the stated target and are counts or ratios where a check
    has to give the same result on every machine.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None

    @property
    def is_within_bound(self) -> bool:
        """Whether the value is at most its bound, or has none."""
        return self.bound is None or self.value <= self.bound

    def __str__(self) -> str:
        text = f"{self.name}: {self.value:.4g} {self.unit}".rstrip()
        if self.bound is None:
            return text
        return (
            f"{text} (at most {self.bound:.4g})"
            f" {'ok' if self.is_within_bound else 'MISSED'}"
        )


__all__ = ["Measurement"]
