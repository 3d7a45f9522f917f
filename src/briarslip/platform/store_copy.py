"""Revisions of a store that may come back from a copy.

After that its revisions begin again at those of the copy and are given out again
with other contents. The store numbers its copies in every response.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.process.store.http import HttpResponse


# The number of the copy that the store works on; it rises by one with each restore.
COPY_NUMBER_LINE = re.compile(rb"(?im)^store-era:[ \t]*([0-9]{1,9})[ \t]*\r\n")


def copy_number(response: HttpResponse) -> int:
    """Return the number of the copy that a response is from, 0 without one."""
    match = COPY_NUMBER_LINE.search(response.headers)
    return 0 if match is None else int(match[1])


__all__ = ["copy_number"]
