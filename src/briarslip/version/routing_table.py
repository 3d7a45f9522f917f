"""Routing tables: snapshots compiled for matching requests to routes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.finding import Finding
from briarslip.version.key_digest import key_digest
from briarslip.version.record import RECORD_SCHEMAS
from briarslip.version.record import Evacuation
from briarslip.version.record import Limits
from briarslip.version.record import Objective
from briarslip.version.record import Organisation
from briarslip.version.record import Rollout
from briarslip.version.record import Route
from briarslip.version.record import Service
from briarslip.version.record import parse_record
from briarslip.version.route_index import RouteIndex
from briarslip.version.route_index import find_overlaps
from briarslip.version.route_index import index_routes


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.version.record import Record
    from briarslip.version.record import RecordKey
    from briarslip.version.record import TypedRecord
    from briarslip.version.snapshot import Snapshot


# Name of the ``limits`` record that applies to requests of callers.
CALLER_LIMITS_NAME = "callers"


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The services, routes, organisations and other records of one version.

    Every service that a route, rollout or objective refers to is in the table.
    ``evacuations`` has the orders to evacuate a zone, by zone.
    ``retained`` holds a finding for each record that was carried over from the
    previous table, because the version has it only in schemas that are unknown
    here. If there are ``organisations``, requests need a key of one of them, except
    on public routes; ``organisations_by_key`` finds it by the key's digest.
    """

    version: int
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    rollouts: Mapping[str, Rollout]
    objectives: Mapping[str, Objective]
    limits: Mapping[str, Limits] = field(default_factory=dict)
    evacuations: Mapping[str, Evacuation] = field(default_factory=dict)
    index: RouteIndex = field(default_factory=RouteIndex)
    retained: tuple[Finding, ...] = ()
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    organisations_by_key: Mapping[str, Organisation] = field(default_factory=dict)

    @classmethod
    def from_typed_records(
        cls,
        version: int,
        typed_records: Iterable[TypedRecord],
        retained: tuple[Finding, ...] = (),
    ) -> RoutingTable:
        """Build a table; every service that the records refer to must be among them."""
        all_records = tuple(typed_records)
        routes = [record for record in all_records if isinstance(record, Route)]
        organisations = [r for r in all_records if isinstance(r, Organisation)]
        return cls(
            version=version,
            services={r.name: r for r in all_records if isinstance(r, Service)},
            routes=tuple(sorted(routes, key=lambda route: route.name)),
            rollouts={r.name: r for r in all_records if isinstance(r, Rollout)},
            objectives={r.name: r for r in all_records if isinstance(r, Objective)},
            limits={r.name: r for r in all_records if isinstance(r, Limits)},
            evacuations={r.zone: r for r in all_records if isinstance(r, Evacuation)},
            index=index_routes(routes),
            retained=retained,
            organisations={record.name: record for record in organisations},
            organisations_by_key=_index_keys(organisations),
        )

    def match(self, target: str, method: str, host: str = "") -> Route | None:
        """Return the route that matches a request, or None.

        ``target`` is the request's path, with or without a query.
        """
        return self.index.find(host, target, method)

    def find_organisation(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self.organisations_by_key.get(key_digest(key))

    @property
    def caller_limits(self) -> Limits | None:
        """The configured limits for callers, or None if there are none."""
        return self.limits.get(CALLER_LIMITS_NAME)

    @property
    def typed_records(self) -> Mapping[tuple[str, str], TypedRecord]:
        """All typed records by kind and name."""
        groups = (
            ("service", self.services.values()),
            ("route", self.routes),
            ("rollout", self.rollouts.values()),
            ("objective", self.objectives.values()),
            ("limits", self.limits.values()),
            ("organisation", self.organisations.values()),
            ("evacuation", self.evacuations.values()),
        )
        return {
            (kind, record.name): record
            for kind, records in groups
            for record in records
        }


EMPTY_TABLE = RoutingTable(0, {}, (), {}, {})


def _index_keys(organisations: Iterable[Organisation]) -> dict[str, Organisation]:
    """Return the organisations by the digests of their keys.

    A key of two organisations identifies neither.
    """
    holders: dict[str, Organisation | None] = {}
    for organisation in organisations:
        for digest in organisation.key_digests:
            holders[digest] = None if digest in holders else organisation
    return {digest: holder for digest, holder in holders.items() if holder is not None}


def _find_shared_keys(organisations: Iterable[Organisation]) -> Iterable[Finding]:
    holders: dict[str, str] = {}
    for organisation in organisations:
        for digest in organisation.key_digests:
            if holders.setdefault(digest, organisation.name) != organisation.name:
                source = f"organisation {organisation.name}"
                reason = f"has a key of organisation {holders[digest]}"
                yield Finding(source, 0, "", "key_digests", reason)


def compile_snapshot(
    snapshot: Snapshot, previous: RoutingTable = EMPTY_TABLE
) -> Result[RoutingTable, tuple[Finding, ...]]:
    """Compile a snapshot into a routing table; the error holds all findings.

    A record that exists only in unknown schemas is carried over from the
    ``previous`` table. If it is not there, the snapshot is rejected.
    """
    typed_records, findings, retained = _parse_newest_schemas(
        snapshot.records, previous
    )
    findings.extend(_find_missing_services(typed_records.values()))
    routes = [record for record in typed_records.values() if isinstance(record, Route)]
    findings.extend(find_overlaps(routes))
    if findings:
        return Err(tuple(findings))
    return Ok(
        RoutingTable.from_typed_records(
            snapshot.version, typed_records.values(), tuple(retained)
        )
    )


def check_records(records: Mapping[RecordKey, Record]) -> tuple[Finding, ...]:
    """Return a finding for everything that makes the records an invalid configuration.

    Service references are checked in every schema of a record, not only in the
    newest, because daemons that do not know the newest schema use an older one.
    Of a record in an unknown schema only the service reference is checked: another
    publisher knew the schema and has accepted the record.
    """
    parsable = {
        k: r for k, r in records.items() if (k.kind, k.schema) in RECORD_SCHEMAS
    }
    typed_records, findings, _ = _parse_newest_schemas(parsable, EMPTY_TABLE)
    findings.extend(
        find_overlaps(r for r in typed_records.values() if isinstance(r, Route))
    )
    services = service_names(records)
    for key, record in records.items():
        findings.extend(check_service_reference(key, record, services))
    organisations = [r for r in typed_records.values() if isinstance(r, Organisation)]
    findings.extend(_find_shared_keys(organisations))
    return tuple(dict.fromkeys(findings))


def service_names(records: Iterable[RecordKey]) -> frozenset[str]:
    """Return the names of all services among the given record keys."""
    return frozenset(key.name for key in records if key.kind == "service")


def check_service_reference(
    key: RecordKey, record: Record, services: Collection[str]
) -> tuple[Finding, ...]:
    """Return a finding if the service that a record refers to does not exist."""
    service = record.fields.get("service")
    if service is None or service in services:
        return ()
    return (_missing_service_finding(f"{key.kind} {key.name}", service),)


def _parse_newest_schemas(
    records: Mapping[RecordKey, Record], previous: RoutingTable
) -> tuple[dict[tuple[str, str], TypedRecord], list[Finding], list[Finding]]:
    """Parse each record in its newest known schema.

    Return the typed records, the findings, and a finding for each record that was
    carried over from the previous table because none of its schemas is known.
    """
    newest: dict[tuple[str, str], RecordKey] = {}
    for key in sorted(records):
        identity = (key.kind, key.name)
        if (key.kind, key.schema) in RECORD_SCHEMAS or identity not in newest:
            newest[identity] = key
    typed_records: dict[tuple[str, str], TypedRecord] = {}
    findings: list[Finding] = []
    retained: list[Finding] = []
    for identity, key in newest.items():
        parsed = parse_record(records[key])
        is_schema_known = (key.kind, key.schema) in RECORD_SCHEMAS
        if not isinstance(parsed, Err):
            typed_records[identity] = parsed.ok_value
        elif not is_schema_known and (
            typed_record := previous.typed_records.get(identity)
        ):
            typed_records[identity] = typed_record
            retained.append(
                Finding(
                    str(key), 0, "", "", "unknown schema; previous record stays in use"
                )
            )
        else:
            findings.extend(parsed.err_value)
    return typed_records, findings, retained


def _find_missing_services(typed_records: Iterable[TypedRecord]) -> Iterable[Finding]:
    typed_records = tuple(typed_records)
    services = {record.name for record in typed_records if isinstance(record, Service)}
    for record in typed_records:
        if isinstance(record, Service | Limits | Organisation | Evacuation):
            continue
        referenced = record.services if isinstance(record, Route) else (record.service,)
        for service in referenced:
            if service not in services:
                kind = type(record).__name__.lower()
                yield _missing_service_finding(f"{kind} {record.name}", service)


def _missing_service_finding(source: str, service: str) -> Finding:
    reason = f"names service {service!r}, which does not exist"
    return Finding(source, 0, "", "service", reason)


__all__ = [
    "EMPTY_TABLE",
    "RoutingTable",
    "check_records",
    "check_service_reference",
    "compile_snapshot",
    "service_names",
]
