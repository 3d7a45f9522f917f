"""Tests of the decisions on which buffers give way."""

from __future__ import annotations

import gc
import tracemalloc
import unittest
import weakref
from functools import partial

from briarslip.connection.body_writer import BodyWriter
from briarslip.connection.buffer_budget import SMALL_BYTES
from briarslip.connection.buffer_budget import STALL_SECONDS
from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.connection_table import UNCHECKED_CONNECTIONS
from briarslip.connection.connection_table import ConnectionTable
from briarslip.connection.request_body import RequestBody
from briarslip.request.body import Body
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport


CAPACITY_BYTES = 16 << 20
BODY_BYTES = 4 << 20
PART_BYTES = 64 << 10
CROWD = 40


class BufferBudgetTest(unittest.TestCase):
    """A crowd that sends bodies piece by piece."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.budget = BufferBudget(self.clock, CAPACITY_BYTES)
        self.released: list[int] = []

    def crowd(self, count: int, size_bytes: int) -> None:
        """Let clients send so many bytes each, one part of each in turn."""
        holdings = [
            self.budget.open(partial(self.released.append, number))
            for number in range(count)
        ]
        for size in range(PART_BYTES, size_bytes + 1, PART_BYTES):
            for number, holding in enumerate(holdings):
                if number not in self.released:
                    holding.resize(size)
                self.assertLessEqual(self.budget.used_bytes, CAPACITY_BYTES)
            self.clock.advance(0.01)

    def test_bodies_at_once_take_more_than_the_capacity(self) -> None:
        self.crowd(CROWD, BODY_BYTES)
        kept = CROWD - len(self.released)
        self.assertEqual(CAPACITY_BYTES * 7 // 8 // BODY_BYTES, kept)
        self.assertEqual(kept * BODY_BYTES, self.budget.used_bytes)

    def test_small_request_is_rejected_for_large_ones_that_run(self) -> None:
        self.budget.open(None).resize(self.budget.large_capacity_bytes)
        small = self.budget.open(partial(self.released.append, 1))
        small.resize(SMALL_BYTES)
        self.assertEqual([], self.released)
        large = self.budget.open(partial(self.released.append, 2))
        large.resize(BODY_BYTES)
        self.assertEqual([2], self.released)

    def test_stalled_body_keeps_the_place_of_one_that_moves(self) -> None:
        self.crowd(1, BODY_BYTES * 3)
        self.clock.advance(STALL_SECONDS)
        other = self.budget.open(partial(self.released.append, 9))
        other.resize(BODY_BYTES)
        self.assertEqual([0], self.released)

    def test_body_that_dribbles_counts_as_moving(self) -> None:
        dribbling = self.budget.open(partial(self.released.append, 1))
        dribbling.resize(BODY_BYTES * 3)
        for number in range(20):
            self.clock.advance(STALL_SECONDS / 10)
            dribbling.resize(BODY_BYTES * 3 + number)
        self.budget.open(partial(self.released.append, 2)).resize(BODY_BYTES)
        self.assertEqual([1], self.released)

    def test_closed_holding_keeps_its_bytes(self) -> None:
        holding = self.budget.open(None)
        holding.resize(BODY_BYTES)
        holding.close()
        holding.resize(BODY_BYTES)
        self.assertEqual((0, 0), (self.budget.used_bytes, self.budget.large_bytes))


class Connection:
    """A connection as the table sees it."""

    def __init__(self, last_active_at: float) -> None:
        self.last_active_at = last_active_at
        self.is_reading = False


class ConnectionTableTest(unittest.TestCase):
    """Connections that are opened and left."""

    LIMIT = UNCHECKED_CONNECTIONS + 10

    def setUp(self) -> None:
        self.table = ConnectionTable[Connection](lambda: self.LIMIT)
        self.connections = [Connection(float(n)) for n in range(self.LIMIT)]
        for connection in self.connections:
            self.assertIsNone(self.table.add(connection))

    def test_new_connection_finds_no_room_beside_idle_ones(self) -> None:
        self.table.mark_active(self.connections[0])
        self.assertIs(self.connections[1], self.table.add(Connection(99.0)))

    def test_connection_with_a_request_under_way_is_closed(self) -> None:
        for connection in self.connections:
            self.table.mark_active(connection)
        new = Connection(99.0)
        self.assertIs(new, self.table.add(new))
        self.table.remove(new)
        for connection in self.connections[5:]:
            connection.is_reading = True
        self.assertIs(self.connections[5], self.table.add(Connection(99.0)))


class BodyTest(unittest.TestCase):
    """Memory of bodies that arrive and leave in pieces."""

    def test_short_chunks_take_many_times_their_bytes(self) -> None:
        body = RequestBody(None, BODY_BYTES)
        chunks = b"2\r\nxx\r\n" * 512
        tracemalloc.start()
        for _ in range(256):
            body.feed(chunks)
            while body.has_backlog:
                body.feed(b"")
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(used_bytes, 2 * body.size_bytes)
        self.assertEqual(256 * 1024, body.take_content().size_bytes)

    def test_discarded_chunks_wait_for_the_garbage_collector(self) -> None:
        body = RequestBody(None, BODY_BYTES)
        body.feed(b"10000\r\n" + bytes(PART_BYTES) + b"\r\n")
        reference = weakref.ref(body)
        body.discard()
        gc.disable()
        self.addCleanup(gc.enable)
        del body
        self.assertIsNone(reference())

    def test_transport_gets_a_large_body_in_one_piece(self) -> None:
        transport = FakeTransport()
        writer = BodyWriter(transport, Body.from_parts([b"a", b"b", b"c"]))
        writer.pauseProducing()
        writer.start()
        self.assertTrue(writer.is_done)
        slow = FakeTransport()
        writer = BodyWriter(slow, Body.from_parts([b"a", b"b"]))
        slow.write = lambda _: writer.pauseProducing()
        writer.start()
        self.assertFalse(writer.is_done)
        writer.resumeProducing()
        self.assertTrue(writer.is_done)


if __name__ == "__main__":
    unittest.main()
