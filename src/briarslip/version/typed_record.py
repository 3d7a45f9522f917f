"""Typed configuration records, the same for all schema versions of a kind."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta


DEFAULT_MAX_ATTEMPTS = 3
# Placeholder for a deadline that the daemons have not agreed on yet.
DEADLINE_NOT_AGREED = datetime.max.replace(tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class Service:
    """A service: a set of interchangeable backend servers.

    A server is cold for ``warm_up`` after a start. It should then get no more than
    ``warm_up_per_second`` requests, None if that is not limited.
    """

    name: str
    warm_up_per_second: float | None = None
    warm_up: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a route's requests in proportion to its weight."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that matches requests and names the service that receives them.

    ``path_prefix`` matches whole path segments; an empty ``methods`` matches
    every method. A route with a ``host`` matches requests to that host only,
    and its prefix is compared as a plain string. ``attempts`` is the maximum
    number of attempts per request. ``parts`` splits the requests among services
    by weight; if it is empty, all go to ``service``. ``target`` is the latency
    target: the response time that callers expect, None without one. With
    ``trusts_method``, requests with an idempotent method may be repeated even if the
    route is not ``idempotent``. Requests to a ``public`` route need no key.
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
    trusts_method: bool = True
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """The names of the services that the route sends requests to."""
        return tuple(part.service for part in self.parts) or (self.service,)


@dataclass(frozen=True, slots=True)
class Rollout:
    """A gradual shift of a service's traffic to a new service version.

    The shift takes place in the ``window`` that ends at ``deadline``. An operator
    may set the window without a deadline. The window then starts when the operator
    orders the rollout, at the store revision ``order``, and the deadline is
    ``DEADLINE_NOT_AGREED`` until the daemons have agreed on one.
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
    """Limits on requests of callers; the fields are documented at ``CallerLimits``."""

    name: str
    head_bytes: int
    body_bytes: int
    read: timedelta
    idle: timedelta


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers send requests with one of its keys.

    ``key_digests`` holds the ``key_digest`` of each key. ``priority`` takes
    precedence over that of the route, unless it is empty. ``rate_per_second`` and
    ``burst`` limit its requests to all daemons together; a rate of 0 is no limit.
    """

    name: str
    key_digests: frozenset[str]
    priority: str = ""
    rate_per_second: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An order that servers in an availability zone get no requests.

    ``order`` is the store's revision of the order, 0 if the record has none.
    """

    name: str
    zone: str
    order: int = 0


TypedRecord = Service | Route | Rollout | Objective | Limits | Organisation | Evacuation

__all__ = [
    "DEADLINE_NOT_AGREED",
    "DEFAULT_MAX_ATTEMPTS",
    "Evacuation",
    "Limits",
    "Objective",
    "Organisation",
    "Rollout",
    "Route",
    "Service",
    "TypedRecord",
    "WeightedService",
]
