"""Tests of the configuration in force after the watch of the store went silent."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.platform.test_restored_store import WatchingDaemon
from tests.platform.test_restored_store import write_version
from tests.platform.test_store import run_with_fixture


if TYPE_CHECKING:
    from tests.platform.test_store import Fixture


# After this time without a disruption a daemon is in touch with the store again.
CONTACT_SECONDS = 3.0


class SilentWatchTest(unittest.TestCase):
    """What is confirmed meanwhile is in force once the daemon is in touch again."""

    def test_change_is_missed_while_the_connection_of_the_watch_is_silent(
        self,
    ) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.2)
            fixture.server.lose_waiting()
            write_version(fixture, 5)
            await fixture.sleep(CONTACT_SECONDS)
            self.assertEqual(1005, daemon.timeout_ms)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_change_after_a_restore_is_missed_by_a_watch_from_before(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            copy = fixture.store.copy()
            write_version(fixture, 4)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.2)
            fixture.server.lose_waiting()
            fixture.store.restore(copy)
            write_version(fixture, 5)
            for number in range(20):
                fixture.store.put(f"other/{number}", b"")
            await fixture.sleep(CONTACT_SECONDS)
            self.assertEqual(1005, daemon.timeout_ms)
            daemon.source.set_active(False)

        run_with_fixture(steps)


if __name__ == "__main__":
    unittest.main()
