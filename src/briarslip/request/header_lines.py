"""Values of single headers in header lines."""

from __future__ import annotations

import re


BLANKS = b" \t"


class HeaderLines:
    """The lines of the header ``name``, found in time linear in the bytes searched."""

    def __init__(self, name: bytes) -> None:
        # Blanks around the value stay in the group: to leave them out by a pattern
        # takes time quadratic in the blanks inside of the value.
        self.pattern = re.compile(rb"(?im)^%s:([^\r\n]*+)\r\n" % re.escape(name))

    def first_value(self, headers: bytes) -> bytes:
        """Return the value of the first line, empty if there is none."""
        match = self.pattern.search(headers)
        return b"" if match is None else match[1].strip(BLANKS)

    def all_values(self, headers: bytes) -> list[bytes]:
        """Return the values of all lines."""
        return [value.strip(BLANKS) for value in self.pattern.findall(headers)]

    def remove_from(self, headers: bytes) -> bytes:
        """Return the header lines without those of this header."""
        return self.pattern.sub(b"", headers)


__all__ = ["HeaderLines"]
