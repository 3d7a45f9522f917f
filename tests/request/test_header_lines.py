"""Tests of the values of single headers."""

from __future__ import annotations

import unittest

from briarslip.request.header_lines import HeaderLines


LINES = b"A: 1\r\nName: \t first \r\nname:second\r\nName-2: third\r\n"


class HeaderLinesTest(unittest.TestCase):
    """Lines of one header among others."""

    def test_values_have_blanks_or_belong_to_another_header(self) -> None:
        lines = HeaderLines(b"Name")
        self.assertEqual([b"first", b"second"], lines.all_values(LINES))
        self.assertEqual(b"first", lines.first_value(LINES))
        self.assertEqual(b"A: 1\r\nName-2: third\r\n", lines.remove_from(LINES))
        self.assertEqual(b"", lines.first_value(b"Other: 1\r\n"))


if __name__ == "__main__":
    unittest.main()
