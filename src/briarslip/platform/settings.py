"""The platform's settings file, converted to the daemon's settings."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from briarslip.address import Address
from briarslip.platform.json_object import JsonObject
from briarslip.platform.json_object import read_json_object
from briarslip.process.settings import DEFAULT_MEMORY_MB
from briarslip.process.settings import MAX_DURATION_MS
from briarslip.process.settings import DaemonSettings
from briarslip.process.settings import LimitSettings
from briarslip.process.settings import ListenSettings
from briarslip.process.settings import LogSettings
from briarslip.process.settings import MembershipSettings
from briarslip.process.settings import PlatformSettings
from briarslip.process.settings import Settings


if TYPE_CHECKING:
    from result import Result

    from briarslip.finding import Finding


SETTINGS_VARIABLE = "BRIARSLIP_NODE_FILE"
# The deployment file refers to this port, so it is the same in every deployment.
METRICS_PORT = 9464
STORE_TIMEOUT = timedelta(seconds=2)
DEFAULT_TIMEOUT = timedelta(seconds=5)
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
CONTACTS_INTERVAL = timedelta(seconds=15)
# A server expires after this many report intervals without a report.
REPORTS_PER_LEASE = 4
DEFAULT_RETRY_SLACK = 50
# The platform reserves so many descriptors of a process for files.
DESCRIPTORS_FOR_FILES = 200
# Share of the grace period after which a shutdown ends, ahead of a kill. A busy daemon
# on 0.4 cores is some 0.3 s late, and the interpreter needs time to exit.
STOP_GRACE_SHARE = 0.9

# Bounds whose presence asks for even load; without any it is off. They come with
# organisations that compete for room and with servers that are cold at times.
EVEN_LOAD_BOUNDS: tuple[str, ...] = ("quota-window-s", "warmup-burst")


@dataclass(frozen=True, slots=True)
class PlatformSettingsFile:
    """The daemon's settings, and those that only the adapter needs.

    ``service`` is the service of the backend server on this instance.
    """

    settings: Settings
    service: str


def read_settings(
    raw: bytes, source: str
) -> Result[PlatformSettingsFile, tuple[Finding, ...]]:
    """Parse a settings file; the error holds all findings.

    Unknown fields are ignored.
    """
    return read_json_object(raw, source, _read_settings)


def _read_settings(document: JsonObject) -> PlatformSettingsFile:
    listen = document.nested("bind")
    limits = document.nested("bounds")
    first_port, _ = _read_port_range(document)
    host = document.text("ip")
    heartbeat = _read_positive_milliseconds(document, "heartbeat-ms")
    grace = timedelta(seconds=limits.number("grace-s"))
    settings = Settings(
        daemon=DaemonSettings(document.text("zone"), document.text("region")),
        listen=ListenSettings(
            callers=listen.address("outbound"),
            peers=Address(host, first_port),
            admin=Address(host, METRICS_PORT),
            announcements=listen.address("control"),
            readiness=listen.address("ready"),
        ),
        platform=PlatformSettings(
            document.nested("platform").address("address"), STORE_TIMEOUT
        ),
        membership=MembershipSettings((), HEARTBEAT_INTERVAL, CONTACTS_INTERVAL),
        limits=LimitSettings(
            max_body_bytes=None,
            default_timeout=DEFAULT_TIMEOUT,
            announcement_lease=heartbeat * REPORTS_PER_LEASE,
            stop_grace=grace * STOP_GRACE_SHARE,
            memory_mb=_read_memory_mb(document),
            max_descriptors=_read_socket_limit(document),
            retry_slack=limits.number("budget-slack", default=DEFAULT_RETRY_SLACK),
            warm_up_burst=limits.number("warmup-burst", default=1.0),
            warm_up_slack=limits.number("warmup-slack", default=0.0),
            evacuation=_read_evacuation_bound(limits),
            even_load=any(limits.has(name) for name in EVEN_LOAD_BOUNDS),
        ),
        log=LogSettings("json", "info"),
    )
    return PlatformSettingsFile(settings, document.text("service"))


def _read_positive_milliseconds(document: JsonObject, name: str) -> timedelta:
    """Return a duration field, which may be a fraction but must be above 0."""
    milliseconds = document.number(name)
    if not milliseconds and document.has(name):
        document.add_finding(name, "is not above 0")
    return timedelta(milliseconds=milliseconds)


def _read_evacuation_bound(bounds: JsonObject) -> timedelta | None:
    """Return the time in which an evacuation must be in force, None if not given."""
    if not bounds.has("evacuate-ms"):
        return None
    milliseconds = min(bounds.number("evacuate-ms"), MAX_DURATION_MS)
    return timedelta(milliseconds=milliseconds)


def _read_memory_mb(document: JsonObject) -> int:
    """Return the memory of the machine in megabytes."""
    if not document.has("limits"):
        return DEFAULT_MEMORY_MB
    return document.nested("limits").whole_part(
        "memory-mb", default=DEFAULT_MEMORY_MB, minimum=1
    )


def _read_socket_limit(document: JsonObject) -> int | None:
    """Return the number of descriptors for sockets; None if it is not given."""
    if not document.has("limits") or not document.nested("limits").has("max-fds"):
        return None
    descriptors = document.nested("limits").whole_part("max-fds")
    return max(1, descriptors - DESCRIPTORS_FOR_FILES)


def _read_port_range(document: JsonObject) -> tuple[int, int]:
    """Return the first and last port that daemons may use among themselves."""
    ports = document.values.get("internal-port-range")
    if (
        isinstance(ports, list)
        and len(ports) == 2
        and all(isinstance(port, int) and 0 < port < 65536 for port in ports)
        and ports[0] < ports[1]
    ):
        return ports[0], ports[1]
    document.add_finding(
        "internal-port-range", "is not a list of two ports in ascending order"
    )
    return 1, 2


__all__ = ["SETTINGS_VARIABLE", "PlatformSettingsFile", "read_settings"]
