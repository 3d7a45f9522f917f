"""Tests of the records of servers that drain, which outlive a restart."""

from __future__ import annotations

import random
import unittest

from briarslip.address import Address
from briarslip.process.draining_records import RECORD_TTL
from briarslip.process.draining_records import DrainingRecords
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.membership.member import FINAL_SEQUENCE
from standins.in_memory_store import OUTAGE_NONE
from standins.in_memory_store import OUTAGE_STATUS
from standins.simulated_store import SimulatedStore


ADDRESS = Address("127.0.0.1", 7100)
SERVERS = [DrainingServer(5, 3), DrainingServer(6, FINAL_SEQUENCE)]


class DrainingRecordsTest(unittest.TestCase):
    """A daemon that is restarted together with all others uses no server that left."""

    def setUp(self) -> None:
        self.simulated = SimulatedStore()

    def advance(self, seconds: float) -> None:
        """Advance the time in small steps."""
        self.simulated.clock.pump([0.25] * int(seconds / 0.25))

    def make_records(
        self, restored: list[DrainingServer], address: Address = ADDRESS
    ) -> DrainingRecords:
        """Return the records of one daemon process."""
        simulated = self.simulated
        return DrainingRecords(
            simulated.clock,
            random.Random(1),
            simulated.client,
            address,
            restored.append,
        )

    def restore(self, address: Address = ADDRESS) -> list[DrainingServer]:
        """Return the servers that a new process at an address learns of."""
        restored: list[DrainingServer] = []
        self.make_records(restored, address).load()
        self.advance(2.0)
        return restored

    def record_all(self) -> None:
        """Record all servers as one process does."""
        records = self.make_records([])
        for server in SERVERS:
            records.record(server)

    def test_server_that_left_is_known_after_a_restart_of_every_daemon(self) -> None:
        self.record_all()
        self.advance(1.0)
        self.assertEqual(SERVERS, self.restore())
        self.assertEqual([], self.restore(Address("127.0.0.1", 7101)))

    def test_records_are_written_and_read_after_an_outage_of_the_store(self) -> None:
        self.simulated.store.outage = OUTAGE_STATUS
        self.record_all()
        restored: list[DrainingServer] = []
        self.make_records(restored).load()
        self.advance(5.0)
        self.assertEqual([], restored)
        self.simulated.store.outage = OUTAGE_NONE
        self.advance(10.0)
        self.assertEqual(SERVERS, self.restore())

    def test_records_end(self) -> None:
        self.record_all()
        self.advance(RECORD_TTL.total_seconds() + 5.0)
        self.assertEqual([], self.restore())

    def test_odd_record_is_left_out(self) -> None:
        records = self.make_records([])
        self.record_all()
        for name in ("", "x", "5", "-1-2", "1-2-3", "9" * 40 + "-1", "\u0661-1"):
            self.simulated.run(
                self.simulated.client.swap(f"{records.prefix}{name}", b"", 0)
            )
        self.assertEqual(SERVERS, self.restore())


if __name__ == "__main__":
    unittest.main()
