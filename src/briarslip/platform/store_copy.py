"""The number of the copy that the platform's store works on."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.process.store.http import HttpResponse


# It rises by one each time the store is restored from a copy.
COPY_NUMBER_LINE = re.compile(rb"(?im)^store-era:[ \t]*([0-9]{1,5})[ \t]*\r\n")


def copy_number(response: HttpResponse) -> int:
    """Return the number of the copy that a response is from, 0 without one."""
    match = COPY_NUMBER_LINE.search(response.headers)
    return 0 if match is None else int(match[1])


__all__ = ["copy_number"]
