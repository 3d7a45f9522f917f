"""Tests of what no document of the operators may bring about in answers to callers."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import ConfigurationReader
from briarslip.version.routing_table import compile_snapshot
from tests.platform.support import configuration
from tests.platform.support import item
from tests.platform.support import items
from tests.platform.test_odd_entries import odd_documents


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.version.routing_table import RoutingTable


def odd_tables() -> Iterator[tuple[str, RoutingTable]]:
    """Yield the tables of all odd documents that can be read."""
    document = configuration(tenants={"teka": {"api-keys": ["28m8"]}})
    for place, odd in odd_documents(document):
        stored = items(item(CONFIGURATION_KEY, odd))
        snapshot = ConfigurationReader()(stored).unwrap_or(None)
        if snapshot is not None:
            yield place, compile_snapshot(snapshot).unwrap()


class OddDocumentTest(unittest.TestCase):
    """Documents with one odd value, whatever its place."""

    def test_document_asks_for_claims(self) -> None:
        """Guards against 409 and 422, the answers to keys that were used before."""
        for place, table in odd_tables():
            claims = {route.claims for route in table.routes}
            self.assertLessEqual(claims, {"none"}, place)

    def test_odd_value_makes_a_limit_smaller(self) -> None:
        """Guards against 413 and 431 by a value that nobody has set."""
        whole = limits_of(configuration())
        for place, table in odd_tables():
            limits = table.caller_limits
            if limits is not None and not place.startswith(".limits."):
                self.assertEqual(whole, limits, place)


def limits_of(document: dict[str, Any]) -> object:
    """Return the limits of a document."""
    snapshot = ConfigurationReader()(items(item(CONFIGURATION_KEY, document))).unwrap()
    assert snapshot is not None
    return compile_snapshot(snapshot).unwrap().caller_limits


if __name__ == "__main__":
    unittest.main()
