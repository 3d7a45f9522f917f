"""Tests of the non-blocking log stream and of the rate limit of events."""

from __future__ import annotations

import os
import unittest
from collections import Counter

from briarslip.process.event_rate_limit import EventRateLimit
from briarslip.process.log_stream import MAX_BUFFERED_BYTES
from briarslip.process.log_stream import LogStream


class LogStreamTest(unittest.TestCase):
    """A slow or closed reader loses lines and does not block the process."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.stream = LogStream.from_descriptor(writer)

    def test_lines_are_written_whole(self) -> None:
        self.stream.write("one\n")
        self.stream.write("two\n")
        self.assertEqual(b"one\ntwo\n", os.read(self.reader, 100))
        os.close(self.reader)

    def test_lines_dropped_for_a_slow_reader_are_counted(self) -> None:
        line = "x" * 999 + "\n"
        for _ in range(1000):
            self.stream.write(line)
        self.assertLessEqual(len(self.stream.buffer), MAX_BUFFERED_BYTES)
        dropped = self.stream.pop_dropped_lines()
        self.assertGreater(dropped, 0)
        received = b""
        while len(received) < (1000 - dropped) * 1000:
            received += os.read(self.reader, 1 << 20)
            self.stream.flush()
        self.assertEqual({999}, {len(part) for part in received.split()})
        self.assertEqual(0, self.stream.pop_dropped_lines())
        os.close(self.reader)

    def test_closed_reader(self) -> None:
        os.close(self.reader)
        self.stream.write("one\n")
        self.stream.write("two\n")
        self.assertTrue(self.stream.closed)
        self.assertEqual(1, self.stream.pop_dropped_lines())


class EventRateLimitTest(unittest.TestCase):
    """Lines of each event beyond the limit per second are dropped and counted."""

    def test_limit_per_event_and_second(self) -> None:
        now = [0.0]
        reported: list[Counter[int]] = []
        limit = EventRateLimit(lambda: now[0], reported.append, max_lines=3)
        self.assertEqual(3, sum(limit.try_admit(401) for _ in range(10)))
        self.assertTrue(limit.try_admit(402))
        now[0] = 1.0
        self.assertTrue(limit.try_admit(401))
        self.assertEqual([Counter({401: 7})], reported)
        now[0] = 2.0
        self.assertTrue(limit.try_admit(401))
        self.assertEqual(1, len(reported))


if __name__ == "__main__":
    unittest.main()
