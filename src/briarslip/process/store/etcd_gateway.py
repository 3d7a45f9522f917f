"""Store client for the JSON gateway of etcd v3."""

from __future__ import annotations

import json
import math
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from briarslip.address import Address
from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.etcd_messages import encode_base64
from briarslip.process.store.etcd_messages import parse_lease_ttl
from briarslip.process.store.etcd_messages import parse_range_reply
from briarslip.process.store.etcd_messages import parse_swap_reply
from briarslip.process.store.etcd_messages import prefix_range
from briarslip.process.store.etcd_watch import GatewayWatch
from briarslip.process.store.http import StoreHttpClient


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.store.client import Watch
    from briarslip.process.store.http import HttpResponse


T = TypeVar("T")

DEFAULT_TIMEOUT = timedelta(seconds=2)
DEFAULT_SILENCE_TIMEOUT = timedelta(seconds=5)
# Share of the request timeout. It is below 1 so that a connect timeout, which means
# that no request was sent, is distinguished from a missing response.
CONNECT_TIMEOUT_SHARE = 0.5
GRPC_NOT_FOUND = 5
NEVER_APPLIED_STATUSES = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.NOT_IMPLEMENTED,
    }
)


def _is_lease_not_found(response: HttpResponse) -> bool:
    if response.status != HTTPStatus.NOT_FOUND:
        return False
    try:
        return bool(json.loads(response.body).get("code") == GRPC_NOT_FOUND)
    except MALFORMED_JSON_ERRORS:
        return False


def _status_error(response: HttpResponse, *, is_write: bool) -> StoreError:
    text = response.body[:200].decode("utf-8", "replace").strip()
    maybe_applied = response.status not in NEVER_APPLIED_STATUSES
    return StoreError(
        f"HTTP status {response.status}: {text}", is_write and maybe_applied
    )


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"


class EtcdGatewayClient:
    """A store client that is connected to one etcd gateway.

    The coroutines must be driven by Twisted (``Deferred.fromCoroutine``).
    """

    def __init__(
        self,
        reactor: Any,
        http: StoreHttpClient,
        timeout: timedelta,
        silence_timeout: timedelta,
    ) -> None:
        self.reactor = reactor
        self.http = http
        self.timeout = timeout
        self.silence_timeout = silence_timeout

    @classmethod
    def from_address(
        cls,
        reactor: Any,
        host: str,
        port: int,
        timeout: timedelta = DEFAULT_TIMEOUT,
        silence_timeout: timedelta = DEFAULT_SILENCE_TIMEOUT,
    ) -> EtcdGatewayClient:
        """Create a client of the gateway at an address.

        A watch that receives no line within ``silence_timeout`` is closed.
        """
        connect_timeout_seconds = timeout.total_seconds() * CONNECT_TIMEOUT_SHARE
        http = StoreHttpClient(reactor, Address(host, port), connect_timeout_seconds)
        return cls(reactor, http, timeout, silence_timeout)

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Read one key; return None if it does not exist."""
        message = {"key": encode_base64(key.encode())}
        reply = await self._post_and_parse(
            "kv/range", message, parse_range_reply, is_write=False
        )
        return reply.map(lambda keys: keys.items[0] if keys.items else None)

    async def range(self, prefix: str) -> Result[RangeReply, StoreError]:
        """Read every key under a prefix, in key order."""
        start, end = prefix_range(prefix)
        message = {"key": encode_base64(start), "range_end": encode_base64(end)}
        return await self._post_and_parse(
            "kv/range", message, parse_range_reply, is_write=False
        )

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
    ) -> Result[SwapReply, StoreError]:
        """Write ``value`` if the key's mod revision is ``expected_revision``."""
        encoded_key = encode_base64(key.encode())
        compare = {
            "key": encoded_key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        success: dict[str, Any] = {"request_delete_range": {"key": encoded_key}}
        if value is not None:
            put = {
                "key": encoded_key,
                "value": encode_base64(value),
                "lease": str(lease_id),
            }
            success = {"request_put": put}
        message = {
            "compare": [compare],
            "success": [success],
            "failure": [{"request_range": {"key": encoded_key}}],
        }
        return await self._post_and_parse(
            "kv/txn", message, parse_swap_reply, is_write=True
        )

    async def grant_lease(self, ttl: timedelta) -> Result[int, StoreError]:
        """Grant a lease, in whole seconds rounded up, and return its id."""
        seconds = max(1, math.ceil(ttl.total_seconds()))
        return await self._post_and_parse(
            "lease/grant",
            {"TTL": str(seconds)},
            lambda reply: int(reply["ID"]),
            is_write=True,
        )

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return its remaining time, None if it has expired."""
        message = {"ID": str(lease_id)}
        return await self._post_and_parse(
            "lease/keepalive", message, parse_lease_ttl, is_write=True
        )

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease; one that does not exist any more counts as revoked."""
        response = await self._post(
            "lease/revoke", {"ID": str(lease_id)}, is_write=True
        )
        if isinstance(response, Err):
            return response
        if response.ok_value.status == HTTPStatus.OK or _is_lease_not_found(
            response.ok_value
        ):
            return Ok(None)
        return Err(_status_error(response.ok_value, is_write=True))

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
        is_resumed: bool = False,
    ) -> Watch:
        """Watch the keys under a prefix from ``start_revision`` on (inclusive)."""
        start, end = prefix_range(prefix)
        create_request = {
            "key": encode_base64(start),
            "range_end": encode_base64(end),
            "start_revision": str(start_revision),
            "progress_notify": True,
        }
        watch = GatewayWatch(self.reactor, self.silence_timeout, on_events, on_closed)
        message = {"create_request": create_request}
        watch.start(lambda: self.http.open_stream("POST", "/v3/watch", message, watch))
        return watch

    async def _post_and_parse(
        self,
        path: str,
        message: dict[str, Any],
        parse: Callable[[dict[str, Any]], T],
        *,
        is_write: bool,
    ) -> Result[T, StoreError]:
        response = await self._post(path, message, is_write=is_write)
        if isinstance(response, Err):
            return response
        if response.ok_value.status != HTTPStatus.OK:
            return Err(_status_error(response.ok_value, is_write=is_write))
        try:
            return Ok(parse(json.loads(response.ok_value.body)))
        except (*MALFORMED_JSON_ERRORS, IndexError) as error:
            return Err(StoreError(f"malformed response: {_describe(error)}", is_write))

    async def _post(
        self, path: str, message: dict[str, Any], *, is_write: bool
    ) -> Result[HttpResponse, StoreError]:
        return await self.http.request(
            "POST", f"/v3/{path}", message, self.timeout, is_write=is_write
        )


__all__ = [
    "DEFAULT_SILENCE_TIMEOUT",
    "DEFAULT_TIMEOUT",
    "EtcdGatewayClient",
]
