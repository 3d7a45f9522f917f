"""What a forwarder needs of its daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.retry import MAX_TOKENS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import Claims
    from briarslip.request.sample import Sample
    from briarslip.request.timer import CallLater
    from briarslip.version.routing_table import RoutingTable


def _all_servers(service: str, version: str) -> tuple[Address, ...] | None:
    return None


def _no_id(headers: bytes) -> str:
    return ""


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The functions of the daemon that a forwarder calls.

    ``version_for`` returns the version of a service that a call must go to,
    empty for any. ``excluded`` returns the versions of a service that must get no
    work. ``local`` returns what serves a service and version here, if anything
    does. ``silent`` returns the daemons that do not answer heartbeats just now.
    ``max_retry_tokens`` returns how many retries may be saved up here.
    ``request_id`` reads the id by which a request is found in the logs.
    ``focus`` returns the only servers that a version's calls go to, None
    for all of them. ``record`` takes the end of each attempt.
    """

    own_address: Address
    availability_zone: str
    table: Callable[[], RoutingTable]
    members: Callable[[], Iterable[Member]]
    local: Callable[[str, str], Dispatch | None]
    remote: Callable[[Address, Call, ResponseSink], Callable[[], None]]
    version_for: Callable[[str], str]
    record: Callable[[Sample], None]
    excluded: Callable[[str], frozenset[str]]
    call_later: CallLater
    claims: Claims
    silent: Callable[[], frozenset[Address]] = frozenset
    max_retry_tokens: Callable[[], float] = lambda: MAX_TOKENS
    request_id: Callable[[bytes], str] = _no_id
    focus: Callable[[str, str], tuple[Address, ...] | None] = _all_servers


__all__ = ["Dependencies"]
