"""Announcements by which backend servers register with their daemon."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.finding import Finding
from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.process.membership.member import FINAL_SEQUENCE
from briarslip.process.membership.member import Endpoint


if TYPE_CHECKING:
    from briarslip.address import Address


FINDING_SOURCE = "announcement"
MAX_COUNT = 65535
MAX_NAME_LENGTH = 63


@dataclass(frozen=True, slots=True)
class Announcement:
    """Endpoint, address and state that a backend server announces.

    ``server_id`` identifies the server in requests that no other server may
    run; it is empty for a server without an id. ``incarnation`` grows with each
    start of the server and ``sequence`` with each announcement; both are 0 if
    the server does not send them. ``warm_up_left_seconds`` is the time left of its
    warm-up after a start, None if the server does not announce it.
    """

    endpoint: Endpoint
    address: Address
    server_id: str = ""
    incarnation: int = 0
    sequence: int = 0
    warm_up_left_seconds: float | None = None

    def as_draining(self, sequence: int = FINAL_SEQUENCE) -> Announcement:
        """Return the announcement with an endpoint that takes no more calls.

        ``sequence`` is the number of the report by which the server began to drain;
        by default no later report can change that.
        """
        endpoint = replace(self.endpoint, draining=True, state_sequence=sequence)
        return replace(self, endpoint=endpoint)

    def after(self, previous: Announcement | None) -> Announcement:
        """Return the announcement with the number of the last change of its state.

        ``previous`` is the one before it from the same start of the server, if any.
        """
        sequence = min(self.sequence, FINAL_SEQUENCE - 1)
        if (
            previous is not None
            and previous.endpoint.draining == self.endpoint.draining
        ):
            sequence = previous.endpoint.state_sequence
        return replace(self, endpoint=replace(self.endpoint, state_sequence=sequence))

    def is_older_than(self, other: Announcement) -> bool:
        """Return whether the server sent this announcement before another one.

        Always false for a server that sends no incarnation.
        """
        order = (self.incarnation, self.sequence)
        return self.incarnation > 0 and order < (other.incarnation, other.sequence)


def parse_announcement(
    body: bytes,
) -> Result[Announcement, tuple[Finding, ...]]:
    """Parse an announcement's JSON; the error holds all findings."""
    try:
        document = json.loads(body)
    except MALFORMED_JSON_ERRORS as error:
        return Err((Finding(FINDING_SOURCE, 0, "", "", f"is not JSON: {error}"),))
    if not isinstance(document, dict):
        return Err((Finding(FINDING_SOURCE, 0, "", "", "is not a JSON object"),))
    values: dict[str, Any] = {}
    findings: list[Finding] = []
    for spec in ANNOUNCEMENT_FIELDS:
        raw = document.get(spec.name, spec.default)
        if raw is fields.REQUIRED:
            findings.append(Finding(FINDING_SOURCE, 0, "", spec.name, "is missing"))
            continue
        result = spec.parse(raw if isinstance(raw, str) else json.dumps(raw))
        if isinstance(result, Err):
            findings.append(Finding(FINDING_SOURCE, 0, "", spec.name, result.err_value))
        else:
            values[spec.name] = result.ok_value
    known_names = {spec.name for spec in ANNOUNCEMENT_FIELDS}
    findings.extend(
        Finding(FINDING_SOURCE, 0, "", name, "unknown field")
        for name in document.keys() - known_names
    )
    if findings:
        return Err(tuple(findings))
    address = values.pop("address")
    return Ok(Announcement(Endpoint(**values), address))


def too_many_servers(limit: int) -> Finding:
    """Return the finding for a server beyond the limit of a daemon."""
    reason = f"this daemon already has {limit} backend servers"
    return Finding(FINDING_SOURCE, 0, "", "address", reason)


def _short_name(value: str) -> Result[str, str]:
    """Parse a name that is short enough for a membership datagram."""
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
