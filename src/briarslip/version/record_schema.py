"""The fields of each kind of record in each schema version."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.fields import FieldSpec
from briarslip.version import route_fields
from briarslip.version.key_digest import KEY_DIGEST
from briarslip.version.typed_record import DEADLINE_NOT_AGREED
from briarslip.version.typed_record import DEFAULT_MAX_ATTEMPTS
from briarslip.version.typed_record import Evacuation
from briarslip.version.typed_record import Limits
from briarslip.version.typed_record import Objective
from briarslip.version.typed_record import Organisation
from briarslip.version.typed_record import Rollout
from briarslip.version.typed_record import Route
from briarslip.version.typed_record import Service


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping


MAX_TIMEOUT_MS = 600_000
MAX_CONFIGURABLE_ATTEMPTS = 16
MAX_BODY_BYTES = 1 << 30
MAX_ORDER = (1 << 63) - 1
MAX_RATE = 1_000_000.0
DEFAULT_WARM_UP = timedelta(seconds=10)
MAX_WINDOW_MS = 7 * 24 * 3_600_000
RETRY_NOT_RUN = "not-run"
RETRY_UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordSchema:
    """The fields of one record kind in one schema version, and their target type.

    ``convert`` maps the parsed values to the constructor arguments of
    ``record_type``. All schema versions of a kind share one record type.
    """

    record_type: type[Any]
    fields: tuple[FieldSpec, ...]
    convert: Callable[[dict[str, Any]], dict[str, Any]] = dict


def _key_digest(value: str) -> Result[str, str]:
    digest = value.strip()
    if KEY_DIGEST.fullmatch(digest):
        return Ok(digest)
    # Not quoted: it may be a key instead of its digest.
    return Err("has an entry that is not a key digest in hexadecimal")


_rate = fields.fraction(0.0, sys.float_info.max)


def _convert_route_schema_2(values: dict[str, Any]) -> dict[str, Any]:
    converted = dict(values)
    converted["path_prefix"] = converted.pop("match_path")
    converted["methods"] = frozenset(converted.pop("match_methods"))
    converted["idempotent"] = converted.pop("retry") == RETRY_UNKNOWN
    return converted


_ROUTE_FIELDS = (
    FieldSpec("service", fields.name),
    FieldSpec("priority", fields.choice(("urgent", "bulk")), "bulk"),
    FieldSpec(
        "timeout_ms", fields.milliseconds(1, MAX_TIMEOUT_MS), timedelta(seconds=5)
    ),
    FieldSpec("claims", fields.choice(("none", "preferred", "required")), "required"),
    FieldSpec("public", fields.boolean, False),
)

RECORD_SCHEMAS: Mapping[tuple[str, int], RecordSchema] = {
    ("service", 1): RecordSchema(Service, ()),
    ("service", 2): RecordSchema(
        Service,
        (
            FieldSpec("warm_up_per_second", fields.fraction(0.0, MAX_RATE)),
            FieldSpec(
                "warm_up_ms", fields.milliseconds(0, MAX_TIMEOUT_MS), DEFAULT_WARM_UP
            ),
        ),
    ),
    ("route", 1): RecordSchema(
        Route,
        (
            *_ROUTE_FIELDS,
            FieldSpec("path_prefix", route_fields.path),
            FieldSpec("idempotent", fields.boolean, False),
        ),
    ),
    ("route", 2): RecordSchema(
        Route,
        (
            *_ROUTE_FIELDS,
            FieldSpec("match_path", route_fields.path),
            FieldSpec("match_methods", fields.comma_separated(route_fields.method), ()),
            FieldSpec(
                "retry", fields.choice((RETRY_NOT_RUN, RETRY_UNKNOWN)), RETRY_NOT_RUN
            ),
        ),
        _convert_route_schema_2,
    ),
    ("route", 3): RecordSchema(
        Route,
        (
            *_ROUTE_FIELDS,
            FieldSpec("host", route_fields.host),
            FieldSpec("path_prefix", route_fields.path_prefix),
            FieldSpec("idempotent", fields.boolean, False),
            FieldSpec(
                "attempts",
                fields.integer(1, MAX_CONFIGURABLE_ATTEMPTS),
                DEFAULT_MAX_ATTEMPTS,
            ),
            FieldSpec(
                "parts", fields.comma_separated(route_fields.weighted_service), ()
            ),
            FieldSpec("target_ms", fields.milliseconds(1, MAX_TIMEOUT_MS), None),
        ),
        lambda values: {**values, "trusts_method": False},
    ),
    ("rollout", 1): RecordSchema(
        Rollout,
        (
            FieldSpec("service", fields.name),
            FieldSpec("version", fields.name),
            FieldSpec("deadline", fields.timestamp),
            FieldSpec(
                "window_ms",
                fields.milliseconds(1000, MAX_WINDOW_MS),
                timedelta(hours=1),
            ),
            FieldSpec("max_traffic_share", fields.fraction(0.0, 0.05), 0.05),
        ),
    ),
    ("rollout", 2): RecordSchema(
        Rollout,
        (
            FieldSpec("service", fields.name),
            FieldSpec("version", fields.name),
            FieldSpec("window_ms", fields.milliseconds(1000, MAX_WINDOW_MS)),
            FieldSpec("order", fields.integer(1, MAX_ORDER)),
            FieldSpec("max_traffic_share", fields.fraction(0.0, 0.05), 0.05),
        ),
        lambda values: {**values, "deadline": DEADLINE_NOT_AGREED},
    ),
    ("limits", 1): RecordSchema(
        Limits,
        (
            FieldSpec("head_bytes", fields.integer(1, MAX_BODY_BYTES)),
            FieldSpec("body_bytes", fields.integer(0, MAX_BODY_BYTES)),
            FieldSpec("read_ms", fields.milliseconds(1, MAX_TIMEOUT_MS)),
            FieldSpec("idle_ms", fields.milliseconds(1, MAX_TIMEOUT_MS)),
        ),
    ),
    ("organisation", 1): RecordSchema(
        Organisation,
        (
            FieldSpec("key_digests", fields.comma_separated(_key_digest), ()),
            FieldSpec("priority", fields.choice(("urgent", "bulk", "")), ""),
            FieldSpec("rate_per_second", _rate, 0.0),
            FieldSpec("burst", _rate, 0.0),
        ),
        lambda values: {**values, "key_digests": frozenset(values["key_digests"])},
    ),
    ("evacuation", 1): RecordSchema(
        Evacuation,
        (
            FieldSpec("zone", fields.text),
            FieldSpec("order", fields.integer(0, MAX_ORDER), 0),
        ),
    ),
    ("objective", 1): RecordSchema(
        Objective,
        (
            FieldSpec("service", fields.name),
            FieldSpec("route", fields.name, ""),
            FieldSpec("good_share", fields.fraction(0.0, 0.999999)),
            FieldSpec(
                "latency_ms", fields.milliseconds(1, MAX_TIMEOUT_MS), timedelta(0)
            ),
        ),
    ),
}

__all__ = [
    "MAX_CONFIGURABLE_ATTEMPTS",
    "MAX_TIMEOUT_MS",
    "RECORD_SCHEMAS",
    "RecordSchema",
]
