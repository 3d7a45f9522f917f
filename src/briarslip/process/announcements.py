"""Announcements of the backend servers beside this daemon."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.finding import Finding
from briarslip.process.membership.member import Endpoint


if TYPE_CHECKING:
    from briarslip.address import Address


SOURCE = "announcement"
MAX_COUNT = 65535
MAX_NAME_LENGTH = 63


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server says of itself.

    ``server_id`` names it in requests that no other server may run, empty for
    a server without a name. ``incarnation`` grows with each of its starts and
    ``sequence`` with each announcement, both 0 where they are not told.
    ``warm_up_left_seconds`` is for how many seconds the server is still slow after its
    start, None where it does not say.
    """

    endpoint: Endpoint
    address: Address
    server_id: str = ""
    incarnation: int = 0
    sequence: int = 0
    warm_up_left_seconds: float | None = None

    def is_older_than(self, known: Announcement) -> bool:
        """Tell whether this one was made before another at its address."""
        mine = (self.incarnation, self.sequence)
        return self.incarnation > 0 and mine < (known.incarnation, known.sequence)


def parse_announcement(
    body: bytes,
) -> Result[Announcement, tuple[Finding, ...]]:
    """Read an announcement's JSON; the error holds all findings."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err((Finding(SOURCE, 0, "", "", f"is not JSON: {error}"),))
    if not isinstance(document, dict):
        return Err((Finding(SOURCE, 0, "", "", "is not a JSON object"),))
    values: dict[str, Any] = {}
    findings: list[Finding] = []
    for spec in ANNOUNCEMENT_FIELDS:
        raw = document.get(spec.name, spec.default)
        if raw is fields.REQUIRED:
            findings.append(Finding(SOURCE, 0, "", spec.name, "is missing"))
            continue
        result = spec.parse(raw if isinstance(raw, str) else json.dumps(raw))
        if isinstance(result, Err):
            findings.append(Finding(SOURCE, 0, "", spec.name, result.err_value))
        else:
            values[spec.name] = result.ok_value
    known = {spec.name for spec in ANNOUNCEMENT_FIELDS}
    findings.extend(
        Finding(SOURCE, 0, "", name, "unknown field")
        for name in document.keys() - known
    )
    if findings:
        return Err(tuple(findings))
    address = values.pop("address")
    return Ok(Announcement(Endpoint(**values), address))


def too_many_servers(limit: int) -> Finding:
    """Return the finding on one server more than a daemon keeps."""
    reason = f"this daemon has {limit} backend servers already"
    return Finding(SOURCE, 0, "", "address", reason)


def _short_name(value: str) -> Result[str, str]:
    """Read a name that members can be told of in one datagram."""
    if len(value) > MAX_NAME_LENGTH:
        return Err(f"is longer than {MAX_NAME_LENGTH} characters")
    return fields.name(value)


ANNOUNCEMENT_FIELDS = (
    fields.FieldSpec("service", _short_name),
    fields.FieldSpec("version", _short_name),
    fields.FieldSpec("address", fields.address),
    fields.FieldSpec("slots", fields.integer(1, MAX_COUNT)),
    fields.FieldSpec("connections", fields.integer(1, MAX_COUNT)),
    fields.FieldSpec("draining", fields.boolean, "false"),
)


__all__ = ["Announcement", "parse_announcement", "too_many_servers"]
