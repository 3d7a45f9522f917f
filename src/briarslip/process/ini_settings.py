"""Reading of the daemon's settings from an INI file."""

from __future__ import annotations

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
    from collections.abc import Mapping

    from briarslip.ini import IniDocument


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
            FieldSpec("retry_slack", fields.fraction(1, 1_000_000), None),
            FieldSpec("stop_grace_ms", fields.milliseconds(1, MAX_DURATION_MS), None),
            FieldSpec("memory_mb", fields.integer(1, 1 << 20), DEFAULT_MEMORY_MB),
            FieldSpec("max_descriptors", fields.integer(1, 1 << 20), None),
            FieldSpec("warm_up_burst", fields.fraction(0, 1_000), 1.0),
            FieldSpec("warm_up_slack", fields.fraction(0, 1_000_000), 0.0),
            FieldSpec("evacuation_ms", fields.milliseconds(1, MAX_DURATION_MS), None),
            FieldSpec("even_load", fields.boolean, False),
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


def read_settings(text: str, source: str) -> Result[Settings, tuple[Finding, ...]]:
    """Parse settings; the error holds all findings, not only the first."""
    document = parse_ini(text, source)
    if isinstance(document, Err):
        return document
    return _read_document(document.ok_value)


def _read_document(document: IniDocument) -> Result[Settings, tuple[Finding, ...]]:
    findings: list[Finding] = []
    sections_by_name = {section.name: section for section in document.sections}
    for section in document.sections:
        if section.name not in SECTIONS:
            reason = "unknown section"
            findings.append(
                Finding(document.source, section.line, section.name, "", reason)
            )
    values = {}
    for name, (settings_class, specs) in SECTIONS.items():
        section = sections_by_name.get(name, IniSection(name, 0, {}))
        result = read_fields(document.source, section, specs)
        if isinstance(result, Err):
            findings.extend(result.err_value)
        else:
            values[name] = settings_class(**result.ok_value)
    if findings:
        return Err(tuple(findings))
    return Ok(Settings(**values))


__all__ = ["read_settings"]
