"""Tests of the deadline wheel and of immediate writes."""

from __future__ import annotations

import contextlib
import unittest
from typing import Any

from briarslip.connection.deadline_wheel import TICK_SECONDS
from briarslip.connection.deadline_wheel import DeadlineWheel
from briarslip.connection.immediate_write import write_immediately
from tests.connection.support import FakeClock


class DeadlineWheelTest(unittest.TestCase):
    """Deadlines on a fake clock."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.wheel = DeadlineWheel(self.clock, self.clock)
        self.expired: list[tuple[float, float]] = []

    def add(self, delay: float) -> Any:
        """Add a deadline that records when it was due and when it ran."""
        due = self.clock.seconds() + delay
        return self.wheel.call_later(
            delay, lambda: self.expired.append((due, self.clock.seconds()))
        )

    def test_never_early_and_at_most_a_tick_late(self) -> None:
        for number in range(200):
            self.add(number * 0.0137)
        self.clock.pump([0.001] * 3000)
        self.assertEqual(200, len(self.expired))
        for due, expired in self.expired:
            self.assertGreaterEqual(expired, due)
            self.assertLessEqual(expired, due + TICK_SECONDS + 0.002)

    def test_exception_does_not_prevent_other_callbacks(self) -> None:
        def fail() -> None:
            raise ZeroDivisionError

        for _ in range(5):
            self.add(1.0)
            self.wheel.call_later(1.0, fail)
        for _ in range(100):
            with contextlib.suppress(ZeroDivisionError):
                self.clock.advance(0.05)
        self.assertEqual(5, len(self.expired))

    def test_cancelled_deadlines_never_run(self) -> None:
        deadlines = [self.add(1.0) for _ in range(10)]
        for deadline in deadlines[::2]:
            deadline.cancel()
            deadline.cancel()
        self.clock.pump([0.1] * 20)
        self.assertEqual(5, len(self.expired))
        deadlines[1].cancel()

    def test_callback_may_cancel_another_deadline(self) -> None:
        other: list[Any] = []
        self.wheel.call_later(1.0, lambda: other[0].cancel())
        self.wheel.call_later(1.0, lambda: other[0].cancel())
        other.append(self.wheel.call_later(1.0, lambda: None))
        self.clock.pump([0.1] * 20)

    def test_many_calls_share_few_timers(self) -> None:
        for _ in range(1000):
            self.add(1.0)
        self.assertEqual(1, len(self.clock.getDelayedCalls()))


class SocketTransport:
    """The attributes of a socket transport that immediate writes use."""

    def __init__(self, accepted_bytes: int | Exception) -> None:
        self.accepted_bytes = accepted_bytes
        self.dataBuffer = b""
        self._tempDataBuffer: list[bytes] = []
        self.disconnecting = False
        self.connected = True
        self.sent = b""

    def writeSomeData(self, data: bytes) -> int | Exception:  # noqa: N802 (Twisted)
        """Accept some bytes, or return an error."""
        if isinstance(self.accepted_bytes, Exception):
            return self.accepted_bytes
        self.sent += data[: self.accepted_bytes]
        return min(len(data), self.accepted_bytes)

    def write(self, data: bytes) -> None:
        """Buffer bytes."""
        self._tempDataBuffer.append(data)

    @property
    def buffered(self) -> bytes:
        """The buffered bytes."""
        return b"".join(self._tempDataBuffer)


class WriteNowTest(unittest.TestCase):
    """Immediate writes to sockets in several states."""

    def test_remainder_is_buffered_in_order(self) -> None:
        transport = SocketTransport(4)
        write_immediately(transport, b"first ")
        write_immediately(transport, b"second")
        self.assertEqual(b"firs", transport.sent)
        self.assertEqual(b"t second", transport.buffered)

    def test_complete_write_buffers_nothing(self) -> None:
        transport = SocketTransport(100)
        write_immediately(transport, b"whole")
        self.assertEqual((b"whole", b""), (transport.sent, transport.buffered))

    def test_writes_to_failed_or_closing_sockets_go_to_the_transport(self) -> None:
        failing = SocketTransport(OSError())
        closing = SocketTransport(100)
        closing.disconnecting = True
        lost = SocketTransport(100)
        lost.connected = False
        for transport in (failing, closing, lost):
            write_immediately(transport, b"data")
            self.assertEqual((b"", b"data"), (transport.sent, transport.buffered))
