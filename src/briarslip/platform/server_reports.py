"""Endpoints for the reports of backend servers and for the readiness check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from briarslip.connection.local_http import JsonReply
from briarslip.platform.json_object import JsonObject
from briarslip.platform.json_object import read_json_object
from briarslip.process.announcements import Announcement
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.membership.member import Endpoint


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from briarslip.finding import Finding
    from briarslip.process.adapters import HttpEndpoints
    from briarslip.process.adapters import ServerCallbacks


REPORT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"
READY_PATH = "/-/ready"
DRAINING = "draining"
STATES = frozenset(("ready", DRAINING))
MAX_SLOTS = 65535
# A report without a start would be taken for one of any start.
MIN_STARTED_MS = 1
MAX_STARTED_MS = 2**53
MS_PER_SECOND = 1000.0


def read_report(
    server_id: str, raw: bytes
) -> Result[Announcement, tuple[Finding, ...]]:
    """Convert a server's report to an announcement; the error holds all findings."""

    def to_announcement(document: JsonObject) -> Announcement:
        # "info" has the identity of the server, "status" its state.
        info = document.nested("info")
        status = document.nested("status")
        # The number of requests that the server runs at once.
        slots = min(info.whole_part("capacity", minimum=1), MAX_SLOTS)
        started_ms = document.integer("born", minimum=MIN_STARTED_MS)
        _check_start(document, started_ms)
        endpoint = Endpoint(
            service=info.short_name("service"),
            version=info.short_name("version"),
            slots=slots,
            connections=slots,
            draining=status.choice("state", STATES) == DRAINING,
            incarnation=started_ms,
        )
        return Announcement(
            endpoint=endpoint,
            address=document.address("address"),
            server_id=server_id,
            incarnation=started_ms,
            sequence=status.integer("sequence"),
            warm_up_left_seconds=_read_seconds(status, "warmup-left-ms"),
        )

    return read_json_object(raw, f"report of {server_id}", to_announcement)


def _read_seconds(status: JsonObject, name: str) -> float | None:
    """Return a duration field, given in milliseconds, in seconds; None if absent."""
    return status.number(name) / MS_PER_SECOND if status.has(name) else None


def _read_start(document: JsonObject) -> int:
    """Return the start of a server that deregisters, 0 if it does not name it."""
    started_ms = document.integer("born", default=0)
    return started_ms if _check_start(document, started_ms) else 0


def _check_start(document: JsonObject, started_ms: int) -> bool:
    if started_ms > MAX_STARTED_MS:
        document.add_finding("born", f"{started_ms} is above {MAX_STARTED_MS}")
        return False
    return True


def server_endpoints(callbacks: ServerCallbacks) -> HttpEndpoints:
    """Return the endpoints that backend servers call to report and to deregister."""

    def report(server_id: str, raw: bytes) -> JsonReply:
        parsed = read_report(server_id, raw)
        rejection = ""
        if isinstance(parsed, Err):
            rejection = "; ".join(map(str, parsed.err_value))
        else:
            rejection = callbacks.on_announcement(parsed.ok_value)
        if rejection:
            emit(Event.MESSAGE_REJECTED, peer=server_id, reason=rejection)
            return JsonReply(400, {"error": rejection})
        return JsonReply(200, {})

    def deregister(server_id: str, raw: bytes) -> JsonReply:
        incarnation = 0
        if raw.strip():
            parsed = read_json_object(
                raw,
                f"deregistration of {server_id}",
                _read_start,
            )
            if isinstance(parsed, Err):
                rejection = "; ".join(map(str, parsed.err_value))
                emit(Event.MESSAGE_REJECTED, peer=server_id, reason=rejection)
            else:
                incarnation = parsed.ok_value
        callbacks.on_deregistration(server_id, incarnation)
        return JsonReply(200, {})

    return {("POST", REPORT_PATH): report, ("POST", DEREGISTER_PATH): deregister}


def readiness_endpoints(is_ready: Callable[[], bool]) -> HttpEndpoints:
    """Return the endpoint whose status is 200 if callers may be sent here, else 503."""

    def ready(_: bytes) -> JsonReply:
        return JsonReply(200 if is_ready() else 503, {})

    return {("GET", READY_PATH): ready}


__all__ = ["read_report", "readiness_endpoints", "server_endpoints"]
