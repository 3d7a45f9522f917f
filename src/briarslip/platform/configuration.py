"""The operators' configuration in the platform's store, converted to records."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from briarslip.finding import Finding
from briarslip.finding import format_findings
from briarslip.platform.evacuations import EVACUATION_PREFIX
from briarslip.platform.evacuations import add_evacuation
from briarslip.platform.json_object import JsonObject
from briarslip.platform.organisations import ORGANISATIONS_FIELD
from briarslip.platform.organisations import read_organisations
from briarslip.platform.rollouts import ROLLOUT_ORDER_PREFIX
from briarslip.platform.rollouts import read_rollout_order
from briarslip.platform.routes import CONFIGURATION_KEY
from briarslip.platform.routes import ROUTES_FIELD
from briarslip.platform.routes import UNSERVED
from briarslip.platform.routes import ReadRoute
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.record_schema import MAX_TIMEOUT_MS
from briarslip.version.routing_table import CALLER_LIMITS_NAME
from briarslip.version.snapshot import Snapshot
from briarslip.version.version_words import VERSION_BITS


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.store.client import KeyValue


OPERATOR_PREFIX = "op/"

# Parts of a snapshot's version. Operators may take the time in any unit as theirs.
ORDER_BITS = 38
MAX_DOCUMENT_VERSION = (1 << (VERSION_BITS - ORDER_BITS)) - 1

Records = dict[RecordKey, Record]


class ConfigurationReader:
    """Converts the operators' items to snapshots.

    A route or an order that is invalid in part is logged and leaves the others in
    force. ``reported`` holds the findings of the items read last, which are logged
    once. ``routes`` holds the routes read last, since most stay as they were, and
    ``readable`` the last document that was not rejected as a whole. ``needs_keys`` is
    whether the document read last has organisations.
    """

    def __init__(self) -> None:
        self.reported: frozenset[Finding] = frozenset()
        self.readable: KeyValue | None = None
        self.routes: dict[str, ReadRoute] = {}
        self.needs_keys = False

    def __call__(
        self, items: Mapping[str, KeyValue]
    ) -> Result[Snapshot | None, tuple[Finding, ...]]:
        """Convert items to a snapshot; None without a configuration.

        The version of the snapshot is the operators' own version of the document,
        followed by the revision of their newest order or of its removal: a restored
        store can have an older document under a newer revision. The error holds the
        findings of a document without readable routes, services and organisations;
        orders to evacuate a zone come into force with the last readable one.
        """
        read = self._read(items)
        if isinstance(read, Ok):
            self.readable = items.get(CONFIGURATION_KEY)
        elif self.readable and any(key.startswith(EVACUATION_PREFIX) for key in items):
            emit(Event.VERSION_REJECTED, findings=format_findings(read.err_value))
            return self._read({**items, CONFIGURATION_KEY: self.readable})
        return read

    def _read(
        self, items: Mapping[str, KeyValue]
    ) -> Result[Snapshot | None, tuple[Finding, ...]]:
        item = items.get(CONFIGURATION_KEY)
        if item is None:
            return Ok(None)
        document = JsonObject.from_bytes(item.value, CONFIGURATION_KEY)
        if isinstance(document, Err):
            return Err((document.err_value,))
        services = document.ok_value.nested("services")
        routes = document.ok_value.nested(ROUTES_FIELD)
        needs_keys = ORGANISATIONS_FIELD in document.ok_value.values
        organisations = (
            document.ok_value.nested(ORGANISATIONS_FIELD) if needs_keys else None
        )
        findings = document.ok_value.findings
        if findings:
            return Err(tuple(findings))
        document_version = document.ok_value.integer("version", minimum=1)
        self._read_routes(routes, needs_keys)
        records = _make_records(services, self.routes.values(), findings, needs_keys)
        _add_limits(records, document.ok_value)
        if organisations is not None:
            for record in read_organisations(organisations):
                records[record.key] = record
        newest_order = 0
        for key, order in items.items():
            if key.startswith(ROLLOUT_ORDER_PREFIX):
                newest_order = max(newest_order, order.mod_revision, order.lost_at)
                findings.extend(_add_rollout(records, order))
            elif key.startswith(EVACUATION_PREFIX):
                newest_order = max(newest_order, order.mod_revision, order.lost_at)
                findings.extend(add_evacuation(records, order))
        self._report(frozenset(findings))
        version = snapshot_version(document_version, newest_order)
        return Ok(Snapshot.from_records(version, records))

    def _read_routes(self, routes: JsonObject, needs_keys: bool) -> None:
        """Read the routes that are new or changed."""
        previous = self.routes if needs_keys == self.needs_keys else {}
        self.routes, self.needs_keys = {}, needs_keys
        for name, route in routes.objects().items():
            read = previous.get(name)
            if read is None or read.values != route.values:
                read = ReadRoute.from_values(name, route.values, needs_keys)
            self.routes[name] = read

    def _report(self, findings: frozenset[Finding]) -> None:
        for finding in sorted(findings - self.reported):
            emit(
                Event.MESSAGE_REJECTED,
                peer=finding.source,
                reason=str(finding),
            )
        self.reported = findings


def snapshot_version(document_version: int, newest_order: int) -> int:
    """Return the number that orders snapshots by their content.

    ``newest_order`` is the revision of the newest rollout order, or order to evacuate
    a zone or its removal, 0 without one.
    """
    bounded = min(document_version, MAX_DOCUMENT_VERSION)
    return bounded << ORDER_BITS | min(newest_order, (1 << ORDER_BITS) - 1)


def _add_rollout(records: Records, item: KeyValue) -> tuple[Finding, ...]:
    """Add the record of a rollout order; return the findings of an invalid one."""
    order = read_rollout_order(item)
    if isinstance(order, Err):
        return order.err_value
    record = order.ok_value
    service = record.fields["service"]
    if RecordKey("service", service, 1) not in records:
        return (Finding(item.key, 0, "", "service", f"{service!r} is unknown"),)
    if isinstance(record.parsed, Err):
        return record.parsed.err_value
    records[record.key] = record
    return ()


def _make_records(
    services: JsonObject,
    routes: Iterable[ReadRoute],
    findings: list[Finding],
    needs_keys: bool,
) -> Records:
    """Return the records of services and routes, and add the findings.

    ``findings`` has one for each route so far that is no object.
    """
    records: Records = {}
    if findings:
        _add_unreadable_route(records, needs_keys)
    for name in services.values:
        _add_record(records, "service", name, 1, {})
    # A malformed service is only reported, as its routes need nothing but its name.
    for name, service in services.objects().items():
        _add_warm_up(records, name, service)
    for route in routes:
        findings.extend(route.findings)
        if route.record is None:
            _add_unreadable_route(records, needs_keys)
        else:
            records[route.record.key] = route.record
    _reject_overlaps(records, findings)
    _add_missing_services(records, routes, findings)
    return records


def _reject_overlaps(records: Records, findings: list[Finding]) -> None:
    """Reject the requests that two routes match as not run."""
    first_keys: dict[tuple[str, str], RecordKey] = {}
    for key, record in list(records.items()):
        if key.kind != "route" or "host" not in record.fields:
            continue
        target = (record.fields["host"].lower(), record.fields["path_prefix"])
        first = first_keys.setdefault(target, key)
        if first == key:
            continue
        del records[key]
        values = {**records[first].fields, "service": UNSERVED}
        values.pop("parts", None)
        if "public" in values:
            # The request may have been meant for the other route, which may be public.
            values["public"] = "true"
        records[first] = Record(first, values)
        _add_record(records, "service", UNSERVED, 1, {})
        reason = f"matches the same requests as {first.name!r}"
        section = f"{ROUTES_FIELD}.{key.name}"
        findings.append(Finding(CONFIGURATION_KEY, 0, section, "prefix", reason))


def _add_missing_services(
    records: Records, routes: Iterable[ReadRoute], findings: list[Finding]
) -> None:
    """Add the services that only routes name; calls to them find no server."""
    for route in routes:
        for service in route.services:
            if RecordKey("service", service, 1) in records:
                continue
            _add_record(records, "service", service, 1, {})
            if service != UNSERVED and route.record is not None:
                section = f"{ROUTES_FIELD}.{route.record.key.name}"
                reason = f"{service!r} is not among the services"
                findings.append(
                    Finding(CONFIGURATION_KEY, 0, section, "service", reason)
                )


def _add_warm_up(records: Records, name: str, service: JsonObject) -> None:
    """Add the limit on the calls to cold servers; one that can't be read is left out.

    Daemons that do not know schema 2 use the record in schema 1.
    """
    if not service.has("warmup-per-s"):
        return
    known = len(service.findings)
    values = {"warm_up_per_second": str(service.number("warmup-per-s"))}
    if service.has("warmup-s"):
        milliseconds = math.ceil(service.number("warmup-s") * 1000)
        values["warm_up_ms"] = str(min(milliseconds, MAX_TIMEOUT_MS))
    record = Record(RecordKey("service", name, 2), values)
    if isinstance(record.parsed, Err):
        for finding in record.parsed.err_value:
            service.add_finding(finding.field, finding.reason)
    if len(service.findings) == known:
        records[record.key] = record


def _add_unreadable_route(records: Records, needs_keys: bool) -> None:
    """Reject requests that no route matches as not run, instead of as unknown.

    They may belong to a route whose host or prefix can't be read, which may be public.
    """
    _add_record(records, "service", UNSERVED, 1, {})
    values = {"service": UNSERVED, "path_prefix": "/", "claims": "none"}
    if needs_keys:
        values["public"] = "true"
    _add_record(records, "route", UNSERVED, 1, values)


def _add_limits(records: Records, document: JsonObject) -> None:
    """Add the limits for callers; without readable ones they are unknown.

    A longer time than a record may hold is shortened; a size is not, as larger requests
    would be rejected as wrong.
    """
    known = len(document.findings)
    limits = document.nested("limits")
    values = {
        "head_bytes": str(limits.whole_part("header-bytes", minimum=1)),
        "body_bytes": str(limits.whole_part("max-body-bytes")),
    }
    for field, name in (
        ("read_ms", "header-timeout-ms"),
        ("idle_ms", "idle-timeout-ms"),
    ):
        milliseconds = limits.whole_part(name, minimum=1)
        values[field] = str(min(milliseconds, MAX_TIMEOUT_MS))
    record = Record(RecordKey("limits", CALLER_LIMITS_NAME, 1), values)
    if isinstance(record.parsed, Err):
        for finding in record.parsed.err_value:
            limits.add_finding(finding.field, finding.reason)
    if len(document.findings) == known:
        records[record.key] = record


def _add_record(
    records: Records, kind: str, name: str, schema: int, values: dict[str, str]
) -> None:
    key = RecordKey(kind, name, schema)
    records[key] = Record(key, values)


__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "ConfigurationReader",
    "snapshot_version",
]
