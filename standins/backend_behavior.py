"""Decisions of the stand-in backend, as pure functions."""

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
UNHEALTHY_FAULT_SHARE = 0.5
ANNOUNCE_EVERY_S = 1.0
ANNOUNCE_JITTER_SHARE = 0.2


class Health(enum.StrEnum):
    """What the health endpoint reports: the truth, or always up or always down."""

    HONEST = "honest"
    UP = "up"
    DOWN = "down"


class Outcome(enum.Enum):
    """What happens to one request.

    ANSWER sends its response, FAIL status 500, FREEZE no response, TRUNCATE half
    the body. CLOSE_BEFORE and CLOSE_AFTER close the connection without running
    the request and after running it.
    """

    ANSWER = enum.auto()
    FAIL = enum.auto()
    FREEZE = enum.auto()
    TRUNCATE = enum.auto()
    CLOSE_BEFORE = enum.auto()
    CLOSE_AFTER = enum.auto()


class Admission(enum.Enum):
    """Whether an arriving request runs, waits in the queue or is shed."""

    RUN = enum.auto()
    WAIT = enum.auto()
    SHED = enum.auto()


@dataclass(frozen=True, slots=True)
class Settings:
    """The fixed settings of one backend.

    ``route_times_ms`` holds path prefixes with their service times. The service time
    falls from ``cold_factor`` times the usual to the usual within ``cold_ms``. A
    request to ``crash_path`` crashes the process at the end of its service time.
    """

    service: str = "faults"
    version: str = "1"
    slots: int = 10
    connections: int = 130
    queue_limit: int = 100
    service_time_ms: float = 2.0
    route_times_ms: tuple[tuple[str, float], ...] = ()
    cold_factor: float = 1.0
    cold_ms: float = 0.0
    crash_path: str = ""


@dataclass(frozen=True, slots=True)
class Faults:
    """The fault settings.

    ``failure_share``, ``freeze``, ``truncate``, ``close_before`` and ``close_after``
    are shares of requests and add up to at most 1. Faults apply from ``after_s``
    on, while the busy share of the slots exceeds ``above_load``, to paths that start
    with ``route``. The load endpoint multiplies the busy slots by ``load_factor``;
    health and load are up to ``report_lag_s`` old.
    """

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
    """The load of one backend: busy slots, queued requests, whether it is draining."""

    busy: int = 0
    queued: int = 0
    draining: bool = False


def outcome_shares(faults: Faults) -> tuple[tuple[Outcome, float], ...]:
    """Return each faulty outcome with its share of requests."""
    return (
        (Outcome.FREEZE, faults.freeze),
        (Outcome.CLOSE_BEFORE, faults.close_before),
        (Outcome.CLOSE_AFTER, faults.close_after),
        (Outcome.TRUNCATE, faults.truncate),
        (Outcome.FAIL, faults.failure_share),
    )


def fault_share(faults: Faults) -> float:
    """Return the share of requests with any faulty outcome."""
    return sum(share for _, share in outcome_shares(faults))


def parse_faults(text: bytes) -> Faults:
    """Parse fault settings from JSON; raise ValueError if they are invalid."""
    data = json.loads(text)
    if not isinstance(data, dict):
        raise ValueError("faults must be a JSON object")
    defaults = asdict(Faults())
    field_types = {name: type(value) for name, value in defaults.items()}
    unknown = sorted(set(data) - set(field_types))
    if unknown:
        raise ValueError(f"unknown faults: {', '.join(unknown)}")
    try:
        faults = Faults(**{name: field_types[name](data[name]) for name in data})
    except TypeError as error:
        raise ValueError(str(error)) from error
    if any(share < 0 for _, share in outcome_shares(faults)):
        raise ValueError("fault shares must not be negative")
    if not fault_share(faults) <= 1:
        raise ValueError("fault shares must add up to at most 1")
    if min(faults.slow_factor, faults.load_factor, faults.report_lag_s) < 0:
        raise ValueError("factors and times must not be negative")
    return faults


def parse_deadline_s(text: str) -> float | None:
    """Parse a deadline in ms, None if empty; raise ValueError unless it is finite."""
    if not text:
        return None
    time_ms = float(text)
    if not math.isfinite(time_ms):
        raise ValueError(f"deadline must be a finite number of ms, got {text!r}")
    return time_ms / MS_PER_S


def parse_route_time(text: str) -> tuple[str, float]:
    """Parse PREFIX=MS into the path prefix and its service time in ms."""
    prefix, _, time_ms = text.rpartition("=")
    if not prefix.startswith("/"):
        raise ValueError(f"expected /PREFIX=MS, got {text!r}")
    return prefix, float(time_ms)


def fault_applies(faults: Faults, since_set_s: float, load: float, path: str) -> bool:
    """Return whether the faults apply to a request on this path now.

    ``load`` is the busy share of the slots.
    """
    return (
        since_set_s >= faults.after_s
        and load > faults.above_load
        and path.startswith(faults.route)
    )


def choose_outcome(faults: Faults, rng: random.Random) -> Outcome:
    """Draw the outcome of one request, with one random number whatever the faults."""
    draw = rng.random()
    for outcome, share in outcome_shares(faults):
        if draw < share:
            return outcome
        draw -= share
    return Outcome.ANSWER


def cold_start_factor(settings: Settings, age_s: float) -> float:
    """Return the factor on service time, which falls linearly to 1."""
    if age_s * MS_PER_S >= settings.cold_ms:
        return 1.0
    remaining_share = 1.0 - age_s * MS_PER_S / settings.cold_ms
    return 1.0 + (settings.cold_factor - 1.0) * remaining_share


def service_time_s(
    settings: Settings, path: str, age_s: float, slow_factor: float
) -> float:
    """Return the service time of a request on this path, by its longest prefix."""
    matches = [route for route in settings.route_times_ms if path.startswith(route[0])]
    time_ms = settings.service_time_ms
    if matches:
        time_ms = max(matches, key=lambda route: len(route[0]))[1]
    return time_ms / MS_PER_S * cold_start_factor(settings, age_s) * slow_factor


def admit(settings: Settings, load: Load, remaining_s: float | None) -> Admission:
    """Decide whether a request runs now, waits or is shed.

    ``remaining_s`` is the time until its deadline, None without one.
    """
    if remaining_s is not None and remaining_s <= 0:
        return Admission.SHED
    if load.busy < settings.slots:
        return Admission.RUN
    if load.queued < settings.queue_limit:
        return Admission.WAIT
    return Admission.SHED


def reported_health(faults: Faults, load: Load, *, faults_apply: bool) -> bool:
    """Return whether the health endpoint reports the backend as healthy."""
    if faults.health is not Health.HONEST:
        return faults.health is Health.UP
    failing = (
        faults_apply
        and not faults.route
        and fault_share(faults) >= UNHEALTHY_FAULT_SHARE
    )
    return not load.draining and not failing


def announce_delay_s(rng: random.Random) -> float:
    """Return the time to the next announcement, with jitter."""
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
