"""What records are read into, whichever schema they are written in."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta


DEFAULT_MAX_ATTEMPTS = 3
# Stands for a deadline that the daemons have not agreed on yet.
DEADLINE_NOT_AGREED = datetime.max.replace(tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class Service:
    """A service: a set of backend servers that answer alike."""

    name: str


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service's part of a route's requests, by weight."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and how.

    ``path_prefix`` ends at a segment's border; no ``methods`` means any. A
    route with a ``host`` serves only that one, and its prefix is taken to the
    letter. ``attempts`` is how many servers one request may be run on.
    ``parts`` shares the requests among services by weight; without parts all
    go to ``service``. Callers would like their answers within ``target``.
    """

    name: str
    service: str
    path_prefix: str
    priority: str
    timeout: timedelta
    idempotent: bool
    claims: str
    methods: frozenset[str] = frozenset()
    host: str = ""
    attempts: int = DEFAULT_MAX_ATTEMPTS
    parts: tuple[WeightedService, ...] = ()
    target: timedelta | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """The services that requests may go to."""
        return tuple(part.service for part in self.parts) or (self.service,)


@dataclass(frozen=True, slots=True)
class Rollout:
    """A move of a service's traffic to a new version by a deadline.

    An operator gives either the deadline or only the ``window``, which then
    begins with the ``order``, the store's revision of the operator's word; the
    deadline of such a rollout is agreed on by the daemons.
    """

    name: str
    service: str
    version: str
    deadline: datetime
    window: timedelta
    max_traffic_share: float
    order: int = 0


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective of a service, or of one of its routes."""

    name: str
    service: str
    route: str
    good_share: float
    latency: timedelta


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers send; ``CallerLimits`` says what each means."""

    name: str
    head_bytes: int
    body_bytes: int
    read: timedelta
    idle: timedelta


TypedRecord = Service | Route | Rollout | Objective | Limits

__all__ = [
    "DEADLINE_NOT_AGREED",
    "DEFAULT_MAX_ATTEMPTS",
    "Limits",
    "Objective",
    "Rollout",
    "Route",
    "Service",
    "TypedRecord",
    "WeightedService",
]
