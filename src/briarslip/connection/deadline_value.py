"""Values of the header in which a caller states how long it will wait."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result


if TYPE_CHECKING:
    from collections.abc import Iterable


MILLISECONDS = re.compile(rb"([+-]?)([0-9]+)(?:\.[0-9]*)?")
MAX_DIGITS = 15


def parse_deadline_ms(values: Iterable[bytes]) -> Result[int | None, str]:
    """Parse the whole milliseconds that a caller will wait, None if it states none.

    A value that is no number states none: the request can be served without it.
    Fractions are rounded down, and the smallest of several values counts, so that no
    response comes too late. A negative number is an error.
    """
    members = (member.strip() for value in values for member in value.split(b","))
    numbers = [
        match.groups() for match in map(MILLISECONDS.fullmatch, members) if match
    ]
    if any(sign == b"-" for sign, _ in numbers):
        return Err("the deadline is negative")
    return Ok(min((_to_int(digits) for _, digits in numbers), default=None))


def _to_int(digits: bytes) -> int:
    digits = digits.lstrip(b"0") or b"0"
    return int(digits) if len(digits) <= MAX_DIGITS else 10**MAX_DIGITS


__all__ = ["parse_deadline_ms"]
