"""Decisions of the stand-in backend: plain functions over frozen data."""

from __future__ import annotations

import enum
import json
import math
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


MS_PER_S = 1000.0
UNHEALTHY_SHARE = 0.5
ANNOUNCE_EVERY_S = 1.0
ANNOUNCE_JITTER_SHARE = 0.2


class Health(enum.StrEnum):
    """What the health endpoint says."""

    HONEST = "honest"
    UP = "up"
    DOWN = "down"


class Outcome(enum.Enum):
    """What happens to one request."""

    ANSWER = enum.auto()
    FAIL = enum.auto()
    FREEZE = enum.auto()
    TRUNCATE = enum.auto()
    CLOSE_BEFORE = enum.auto()
    CLOSE_AFTER = enum.auto()


class Admission(enum.Enum):
    """What the server does with an arriving request."""

    RUN = enum.auto()
    WAIT = enum.auto()
    SHED = enum.auto()


@dataclass(frozen=True, slots=True)
class Settings:
    """The fixed settings of one backend."""

    service: str = "faults"
    version: str = "1"
    slots: int = 10
    connections: int = 130
    queue_limit: int = 100
    service_time_ms: float = 2.0
    route_times_ms: tuple[tuple[str, float], ...] = ()
    cold_factor: float = 1.0
    cold_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Faults:
    """The fault settings; shares are of requests, and add up to at most 1."""

    failure_share: float = 0.0
    freeze: float = 0.0
    truncate: float = 0.0
    close_before: float = 0.0
    close_after: float = 0.0
    slow_factor: float = 1.0
    after_s: float = 0.0
    above_load: float = -1.0
    route: str = ""
    health: Health = Health.HONEST
    load_factor: float = 1.0
    report_lag_s: float = 0.0
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """The occupation of one backend at one time."""

    busy: int = 0
    queued: int = 0
    draining: bool = False


def outcome_shares(faults: Faults) -> tuple[tuple[Outcome, float], ...]:
    """Return the share of requests that meets each fault."""
    return (
        (Outcome.FREEZE, faults.freeze),
        (Outcome.CLOSE_BEFORE, faults.close_before),
        (Outcome.CLOSE_AFTER, faults.close_after),
        (Outcome.TRUNCATE, faults.truncate),
        (Outcome.FAIL, faults.failure_share),
    )


def fault_share(faults: Faults) -> float:
    """Return the share of requests that meets any fault."""
    return sum(share for _, share in outcome_shares(faults))


def parse_faults(text: bytes) -> Faults:
    """Read fault settings from JSON; raise ValueError when they are wrong."""
    data = json.loads(text)
    if not isinstance(data, dict):
        raise ValueError("faults must be a JSON object")
    defaults = asdict(Faults())
    kinds = {name: type(value) for name, value in defaults.items()}
    unknown = sorted(set(data) - set(kinds))
    if unknown:
        raise ValueError(f"unknown faults: {', '.join(unknown)}")
    try:
        faults = Faults(**{name: kinds[name](data[name]) for name in data})
    except TypeError as error:
        raise ValueError(str(error)) from error
    if any(share < 0 for _, share in outcome_shares(faults)):
        raise ValueError("shares must not be negative")
    if not fault_share(faults) <= 1:
        raise ValueError("shares add up to more than 1")
    if min(faults.slow_factor, faults.load_factor, faults.report_lag_s) < 0:
        raise ValueError("factors and times must not be negative")
    return faults


def parse_deadline_s(text: str) -> float | None:
    """Read a deadline header; raise ValueError when it is no finite number."""
    if not text:
        return None
    time_ms = float(text)
    if not math.isfinite(time_ms):
        raise ValueError("deadline must be finite")
    return time_ms / MS_PER_S


def parse_route_time(text: str) -> tuple[str, float]:
    """Read PREFIX=MS."""
    prefix, _, time_ms = text.rpartition("=")
    if not prefix.startswith("/"):
        raise ValueError(f"not a PREFIX=MS pair: {text}")
    return prefix, float(time_ms)


def fault_applies(faults: Faults, set_for_s: float, load: float, path: str) -> bool:
    """Tell whether the faults hold for a request on this path now."""
    return (
        set_for_s >= faults.after_s
        and load > faults.above_load
        and path.startswith(faults.route)
    )


def choose_outcome(faults: Faults, rng: random.Random) -> Outcome:
    """Draw the outcome of one request, with one draw for any settings."""
    draw = rng.random()
    for outcome, share in outcome_shares(faults):
        if draw < share:
            return outcome
        draw -= share
    return Outcome.ANSWER


def cold_start_factor(settings: Settings, age_s: float) -> float:
    """Return the factor on service time, falling in a line to 1."""
    if age_s * MS_PER_S >= settings.cold_ms:
        return 1.0
    left = 1.0 - age_s * MS_PER_S / settings.cold_ms
    return 1.0 + (settings.cold_factor - 1.0) * left


def service_time_s(
    settings: Settings, path: str, age_s: float, slow_factor: float
) -> float:
    """Return how long a request on this path runs; the longest prefix wins."""
    matches = [route for route in settings.route_times_ms if path.startswith(route[0])]
    time_ms = settings.service_time_ms
    if matches:
        time_ms = max(matches, key=lambda route: len(route[0]))[1]
    return time_ms / MS_PER_S * cold_start_factor(settings, age_s) * slow_factor


def admit(settings: Settings, load: Load, remaining_s: float | None) -> Admission:
    """Decide whether a request runs now, waits or is shed."""
    if remaining_s is not None and remaining_s <= 0:
        return Admission.SHED
    if load.busy < settings.slots:
        return Admission.RUN
    if load.queued < settings.queue_limit:
        return Admission.WAIT
    return Admission.SHED


def reported_health(faults: Faults, load: Load, *, applies: bool) -> bool:
    """Tell what the health endpoint says."""
    if faults.health is not Health.HONEST:
        return faults.health is Health.UP
    failing = applies and not faults.route and fault_share(faults) >= UNHEALTHY_SHARE
    return not load.draining and not failing


def announce_delay_s(rng: random.Random) -> float:
    """Return the time to the next announcement."""
    jitter = ANNOUNCE_JITTER_SHARE * (2 * rng.random() - 1)
    return ANNOUNCE_EVERY_S * (1 + jitter)


__all__ = [
    "Admission",
    "Faults",
    "Health",
    "Load",
    "Outcome",
    "Settings",
    "admit",
    "announce_delay_s",
    "choose_outcome",
    "cold_start_factor",
    "fault_applies",
    "fault_share",
    "outcome_shares",
    "parse_deadline_s",
    "parse_faults",
    "parse_route_time",
    "reported_health",
    "service_time_s",
]
