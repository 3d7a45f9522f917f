"""Tests of the limit of requests a second that a backend server states."""

from __future__ import annotations

import unittest

from tests.request.limited_fleet import LimitedFleet
from tests.request.limited_fleet import allowed_requests


# The users' contact-ms: from then on the rule counts.
CONTACT_SECONDS = 3.0
STATED_AT = 2.0
ENDS_AT = 14.0
FLEET_SIZES = (16, 66, 196, 600)
# Least share of the limit that is used while requests exceed it.
MIN_USE = 0.85


class RequestRateLimitTest(unittest.TestCase):
    """Many daemons send to one server that states a limit of requests a second."""

    def assert_limit_kept(self, fleet: LimitedFleet, limit: float) -> None:
        """Check the busiest window, and that the limit is used."""
        begin = 1000.0 + STATED_AT + CONTACT_SECONDS
        end = 1000.0 + ENDS_AT
        for server in fleet.servers.values():
            most = server.busiest_window(begin, end)
            self.assertLessEqual(most, allowed_requests(limit))
            used = server.count(begin, end) / (end - begin)
            self.assertGreaterEqual(used, MIN_USE * limit)

    def test_server_gets_more_requests_than_the_limit_that_it_states(self) -> None:
        for daemons in FLEET_SIZES:
            for limit in (21.2, 5.1):
                with self.subTest(daemons=daemons, limit=limit):
                    fleet = LimitedFleet(daemons)
                    fleet.schedule_requests(60.0, 0.0, ENDS_AT)
                    fleet.time.advance(STATED_AT)
                    for server in fleet.servers.values():
                        server.limit = limit
                    fleet.time.advance(ENDS_AT - STATED_AT)
                    self.assert_limit_kept(fleet, limit)


if __name__ == "__main__":
    unittest.main()
