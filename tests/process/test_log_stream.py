"""Tests of a log that never holds its process up."""

from __future__ import annotations

import os
import unittest
from collections import Counter

from briarslip.process.event_rate_limit import EventRateLimit
from briarslip.process.log_stream import MAX_BUFFERED_BYTES
from briarslip.process.log_stream import LogStream


class LogStreamTest(unittest.TestCase):
    """A slow or closed reader costs lines and nothing else."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.stream = LogStream.from_descriptor(writer)

    def test_lines_arrive_whole(self) -> None:
        self.stream.write("one\n")
        self.stream.write("two\n")
        self.assertEqual(b"one\ntwo\n", os.read(self.reader, 100))
        os.close(self.reader)

    def test_stalled_reader_loses_lines_that_are_counted(self) -> None:
        line = "x" * 999 + "\n"
        for _ in range(1000):
            self.stream.write(line)
        self.assertLessEqual(len(self.stream.buffer), MAX_BUFFERED_BYTES)
        lost = self.stream.pop_dropped_lines()
        self.assertGreater(lost, 0)
        received = b""
        while len(received) < (1000 - lost) * 1000:
            received += os.read(self.reader, 1 << 20)
            self.stream.flush()
        self.assertEqual({999}, {len(part) for part in received.split()})
        self.assertEqual(0, self.stream.pop_dropped_lines())
        os.close(self.reader)

    def test_reader_that_is_gone(self) -> None:
        os.close(self.reader)
        self.stream.write("one\n")
        self.stream.write("two\n")
        self.assertTrue(self.stream.closed)
        self.assertEqual(1, self.stream.pop_dropped_lines())


class EventRateLimitTest(unittest.TestCase):
    """Each event has so many lines a second; the rest is told in one."""

    def test_limit_by_event_and_second(self) -> None:
        now = [0.0]
        told: list[Counter[int]] = []
        limit = EventRateLimit(lambda: now[0], told.append, max_lines=3)
        self.assertEqual(3, sum(limit.try_admit(401) for _ in range(10)))
        self.assertTrue(limit.try_admit(402))
        now[0] = 1.0
        self.assertTrue(limit.try_admit(401))
        self.assertEqual([Counter({401: 7})], told)
        now[0] = 2.0
        self.assertTrue(limit.try_admit(401))
        self.assertEqual(1, len(told))


if __name__ == "__main__":
    unittest.main()
