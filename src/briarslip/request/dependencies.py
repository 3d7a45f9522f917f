"""The daemon functions that a forwarder depends on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.key_check import NoCredentialHeaders
from briarslip.request.retry import MAX_RETRY_TOKENS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member
    from briarslip.request.attempt_result import AttemptResult
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import Claims
    from briarslip.request.key_check import CredentialHeaders
    from briarslip.request.standing import Standing
    from briarslip.request.timer import CallLater
    from briarslip.version.routing_table import RoutingTable


def _all_servers(service: str, version: str) -> tuple[Address, ...] | None:
    return None


def _no_suspect(call: Call) -> Standing | None:
    return None


def _no_id(headers: bytes) -> str:
    return ""


def _no_limit(organisation: str) -> float | None:
    return None


@dataclass(frozen=True, slots=True)
class Dependencies:
    """Functions and state of the daemon that a forwarder uses.

    ``version_for`` returns the service version that a call must go to, empty
    for any. ``excluded_versions`` returns the versions of a service that must
    not get calls. ``local_dispatch`` returns the function that serves a service
    and version at this daemon, None if there is none. ``remote_dispatch`` sends
    a call to another daemon. ``record_attempt`` receives the result of each
    attempt. ``silent_peers`` returns the daemons that currently do not reply to
    heartbeats. ``max_retry_tokens`` returns the capacity of the retry token
    bucket. ``request_id`` extracts from header lines the ID under which the
    request appears in logs. ``allowed_servers`` returns the only servers that
    calls of a service and version may go to, None for no restriction.
    ``can_finish`` returns whether the daemon runs until a deadline of the clock, for
    an idempotent request or another one, and ``latest_deadline`` the last time of the
    clock at which a response can still be delivered. ``standing`` returns where a
    call may run if it is suspected to crash servers, otherwise None. ``credentials``
    finds callers' keys in header lines. ``even_load`` is whether servers are chosen for
    even load from old views and calls move on from full ones.
    ``admit_organisation`` counts a request of an organisation; it returns None if it
    passes under the organisation's limit, otherwise the seconds until one would.
    """

    own_address: Address
    availability_zone: str
    routing_table: Callable[[], RoutingTable]
    members: Callable[[], Iterable[Member]]
    local_dispatch: Callable[[str, str], Dispatch | None]
    remote_dispatch: Callable[[Address, Call, ResponseSink], Callable[[], None]]
    version_for: Callable[[str], str]
    record_attempt: Callable[[AttemptResult], None]
    excluded_versions: Callable[[str], frozenset[str]]
    call_later: CallLater
    claims: Claims
    silent_peers: Callable[[], frozenset[Address]] = frozenset
    max_retry_tokens: Callable[[], float] = lambda: MAX_RETRY_TOKENS
    request_id: Callable[[bytes], str] = _no_id
    allowed_servers: Callable[[str, str], tuple[Address, ...] | None] = _all_servers
    can_finish: Callable[[float, bool], bool] = lambda *_: True
    latest_deadline: Callable[[], float] = lambda: math.inf
    standing: Callable[[Call], Standing | None] = _no_suspect
    credentials: CredentialHeaders = NoCredentialHeaders()  # noqa: RUF009
    even_load: bool = False
    admit_organisation: Callable[[str], float | None] = _no_limit


__all__ = ["Dependencies"]
