"""Settings of the daemon, read whole from INI."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.fields import FieldSpec
from briarslip.fields import read_fields
from briarslip.finding import Finding
from briarslip.ini import IniSection
from briarslip.ini import parse_ini
from briarslip.process.membership.contact_points import CONTACTS_INTERVAL_SECONDS


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.address import Address
    from briarslip.ini import IniDocument


MAX_DURATION_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Where the daemon stands."""

    availability_zone: str
    region: str


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """The addresses the daemon listens on; peers use TCP and UDP.

    ``readiness`` answers whether callers may be sent here.
    """

    callers: Address
    peers: Address
    admin: Address
    announcements: Address
    readiness: Address | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Access to the key-value service."""

    address: Address
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Membership among the daemons.

    Every ``contacts_interval`` a few of them check the contacts in the store.
    """

    seeds: tuple[Address, ...]
    heartbeat_interval: timedelta
    contacts_interval: timedelta = timedelta(seconds=CONTACTS_INTERVAL_SECONDS)


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what one daemon takes on.

    A stop that takes longer than ``stop_grace`` is cut short; None leaves each
    request its whole deadline. ``retry_slack`` is how many retries all daemons
    together may make at once beyond their share of the requests; None leaves
    each daemon its own few.
    """

    max_body_bytes: int
    default_timeout: timedelta
    announcement_lease: timedelta
    stop_grace: timedelta | None = None
    retry_slack: int | None = None


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Form and level of the log."""

    format: str
    level: str


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a daemon."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    membership: MembershipSettings
    limits: LimitSettings
    log: LogSettings

    @classmethod
    def from_ini(cls, text: str, source: str) -> Result[Settings, tuple[Finding, ...]]:
        """Read settings; the error holds every finding, not just the first."""
        document = parse_ini(text, source)
        if isinstance(document, Err):
            return document
        return _read_document(document.ok_value)


def _duration(name: str, default_ms: int) -> FieldSpec:
    default = timedelta(milliseconds=default_ms)
    return FieldSpec(name, fields.milliseconds(1, MAX_DURATION_MS), default)


SECTIONS: Mapping[str, tuple[type[Any], tuple[FieldSpec, ...]]] = {
    "daemon": (
        DaemonSettings,
        (
            FieldSpec("availability_zone", fields.name),
            FieldSpec("region", fields.name, "default"),
        ),
    ),
    "listen": (
        ListenSettings,
        (
            *(
                FieldSpec(name, fields.address)
                for name in ("callers", "peers", "admin", "announcements")
            ),
            FieldSpec("readiness", fields.address, None),
        ),
    ),
    "platform": (
        PlatformSettings,
        (FieldSpec("address", fields.address), _duration("timeout_ms", 2000)),
    ),
    "membership": (
        MembershipSettings,
        (
            FieldSpec("seeds", fields.comma_separated(fields.address), ()),
            _duration("heartbeat_interval_ms", 500),
            _duration("contacts_interval_ms", int(CONTACTS_INTERVAL_SECONDS * 1000)),
        ),
    ),
    "limits": (
        LimitSettings,
        (
            FieldSpec("max_body_bytes", fields.integer(0, 1 << 30), 8 << 20),
            _duration("default_timeout_ms", 5000),
            _duration("announcement_lease_ms", 5000),
            FieldSpec("retry_slack", fields.integer(1, 1_000_000), None),
            FieldSpec("stop_grace_ms", fields.milliseconds(1, MAX_DURATION_MS), None),
        ),
    ),
    "log": (
        LogSettings,
        (
            FieldSpec("format", fields.choice(("text", "json")), "text"),
            FieldSpec(
                "level", fields.choice(("debug", "info", "warning", "error")), "info"
            ),
        ),
    ),
}


def _read_document(document: IniDocument) -> Result[Settings, tuple[Finding, ...]]:
    findings: list[Finding] = []
    given = {section.name: section for section in document.sections}
    for section in document.sections:
        if section.name not in SECTIONS:
            reason = "unknown section"
            findings.append(
                Finding(document.source, section.line, section.name, "", reason)
            )
    values = {}
    for name, (form, specs) in SECTIONS.items():
        section = given.get(name, IniSection(name, 0, {}))
        result = read_fields(document.source, section, specs)
        if isinstance(result, Err):
            findings.extend(result.err_value)
        else:
            values[name] = form(**result.ok_value)
    if findings:
        return Err(tuple(findings))
    return Ok(Settings(**values))


__all__ = [
    "DaemonSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "MembershipSettings",
    "PlatformSettings",
    "Settings",
]
