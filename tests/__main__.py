"""Run all tests except those listed in KNOWN-RED.txt, which are printed."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator


ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def known_failures() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    )


def iter_test_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield every test of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iter_test_cases(item)
        else:
            yield item


def main() -> int:
    """Run the tests and return the exit status."""
    found = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    skipped = known_failures()
    for name in sorted(skipped):
        print(f"skipped, listed in KNOWN-RED.txt: {name}")
    selected = unittest.TestSuite(
        case for case in iter_test_cases(found) if case.id() not in skipped
    )
    result = unittest.TextTestRunner(buffer=True).run(selected)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
