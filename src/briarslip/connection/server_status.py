"""Parsing of the headers in which backend servers state their own condition."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.request.call import ServerStatus


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarslip.connection.header_conventions import HeaderConventions


LEAVING = b"1"
NO_STATUS: Result[ServerStatus, str] = Ok(ServerStatus())


def parse_server_status(
    values: Mapping[bytes, Sequence[bytes]], conventions: HeaderConventions
) -> Result[ServerStatus, str]:
    """Parse a server's status from header values by lower-case name.

    If the server states several limits, the lowest one counts. The error says
    which value was received.
    """
    leaving = LEAVING in values.get(conventions.leaving.lower(), ())
    limit_values = values.get(conventions.request_limit.lower())
    if not limit_values:
        return Ok(ServerStatus(leaving=True)) if leaving else NO_STATUS
    limits: list[float] = []
    for value in limit_values:
        limit = _parse_limit(value)
        if limit is None:
            name = conventions.request_limit.decode()
            text = value.decode("latin-1")
            return Err(f"{name}: got {text!r}, expected requests a second, 0 or more")
        limits.append(limit)
    return Ok(ServerStatus(min(limits), leaving))


def _parse_limit(value: bytes) -> float | None:
    """Return a limit in requests a second, None if the value is none."""
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0.0 else None


__all__ = ["NO_STATUS", "parse_server_status"]
