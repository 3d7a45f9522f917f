"""Adapters between a daemon and the deployment that it runs in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.header_conventions import HeaderConventions
from briarslip.connection.local_http import JsonReply
from briarslip.process.announcements import parse_announcement
from briarslip.version.rollout_document import DEFAULT_ROLLOUT_CODEC
from briarslip.version.rollout_document import RolloutDocumentCodec


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from typing import Any

    from briarslip.process.announcements import Announcement
    from briarslip.process.distribution.source import SourceFactory
    from briarslip.process.settings import Settings
    from briarslip.process.store.client import StoreClient

    HttpEndpoints = Mapping[tuple[str, str], Callable[..., JsonReply]]


def _never_restored(listener: Callable[[], None]) -> None:
    """Ignore a listener: the store keeps everything that it has acknowledged."""


def _no_copies() -> int:
    return 0


@dataclass(frozen=True, slots=True)
class ServerCallbacks:
    """Callbacks of the endpoints that backend servers call.

    ``on_announcement`` returns the reason why the announcement is rejected, or
    an empty string. ``on_deregistration`` receives a server's id and incarnation.
    """

    on_announcement: Callable[[Announcement], str]
    on_deregistration: Callable[[str, int], None]


@dataclass(frozen=True, slots=True)
class Adapters:
    """Adapters to the store, backend servers, callers and operators.

    ``server_endpoints`` returns the HTTP endpoints that backend servers call, and
    ``readiness_endpoints`` those that report whether callers may be sent
    here. ``make_source`` makes the configuration source; if it is None, the
    configuration is read from the operators' records in the store.
    ``rollout_codec`` encodes the status documents of rollouts. ``caller_service``
    is the service whose server and callers use this daemon. ``add_restore_listener``
    adds a function that is called when the store has been restored from a copy, and
    ``store_copy`` returns the number of the copy that it works on, 0 without copies.
    """

    store: StoreClient
    server_endpoints: Callable[[ServerCallbacks], HttpEndpoints]
    readiness_endpoints: Callable[[Callable[[], bool]], HttpEndpoints]
    conventions: HeaderConventions = DEFAULT_CONVENTIONS
    make_source: SourceFactory | None = None
    rollout_codec: RolloutDocumentCodec = DEFAULT_ROLLOUT_CODEC
    caller_service: str = ""
    add_restore_listener: Callable[[Callable[[], None]], None] = _never_restored
    store_copy: Callable[[], int] = _no_copies

    @classmethod
    def from_settings(cls, settings: Settings, reactor: Any) -> Adapters:
        """Return the default adapters: etcd's JSON gateway and JSON announcements."""
        from briarslip.process.store.etcd_gateway import EtcdGatewayClient

        platform = settings.platform
        return cls(
            store=EtcdGatewayClient.from_address(
                reactor, platform.address.host, platform.address.port, platform.timeout
            ),
            server_endpoints=_announcement_endpoint,
            readiness_endpoints=_readiness_endpoint,
        )


def _announcement_endpoint(callbacks: ServerCallbacks) -> HttpEndpoints:
    def announce(body: bytes) -> JsonReply:
        parsed = parse_announcement(body)
        if parsed.is_err():
            return JsonReply(400, {"findings": [str(f) for f in parsed.unwrap_err()]})
        rejection = callbacks.on_announcement(parsed.unwrap())
        if rejection:
            return JsonReply(400, {"findings": [rejection]})
        return JsonReply(200, {"taken": True})

    return {("PUT", "/v1/announcement"): announce}


def _readiness_endpoint(is_ready: Callable[[], bool]) -> HttpEndpoints:
    return {("GET", "/v1/ready"): lambda _: JsonReply(200 if is_ready() else 503, {})}


__all__ = ["Adapters", "ServerCallbacks"]
