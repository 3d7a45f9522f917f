"""Tests that the body of a request is freed when the request ends.

With a reference cycle it stays until the garbage collector runs, which may take longer
than other large requests take to arrive.
"""

from __future__ import annotations

import gc
import sys
import unittest
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.request.admission import Admission
from briarslip.request.body import Body
from briarslip.request.fingerprint import Fingerprint
from briarslip.request.fingerprint import without_body
from briarslip.request.forwarder import CallerRequest
from standins.virtual_time import VirtualTime
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import call
from tests.request.support import ForwarderHarness
from tests.request.support import SentCall
from tests.request.support import address
from tests.request.support import member


if TYPE_CHECKING:
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BODY_BYTES = 100_000


class BodyLifetimeTest(unittest.TestCase):
    """The references to a body before and after a request."""

    def setUp(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        self.part = bytes(BODY_BYTES)
        self.references = sys.getrefcount(self.part)

    def assert_freed(self) -> None:
        """Check that nothing refers to the body any more."""
        self.assertEqual(self.references, sys.getrefcount(self.part))

    def test_forwarder_keeps_the_body_of_an_answered_request(self) -> None:
        harness = ForwarderHarness(member(1))
        request = CallerRequest("POST", "/x", b"", Body((self.part,)), 0, None)
        harness.forwarder(request, FakeSink())
        harness.sent.pop().answer()
        del request
        self.assert_freed()

    def test_admission_keeps_the_body_of_an_answered_call(self) -> None:
        time = VirtualTime()
        sent: list[SentCall] = []

        def backend(call: Call, sink: ResponseSink) -> Any:
            sent.append(SentCall(address(0), call, sink))
            return sent[-1].cancel

        admission = Admission(time, 2, backend, time.call_later)
        deadline = time.monotonic() + 9.0
        admission(call(body=self.part, deadline=deadline), FakeSink())
        sent.pop().answer()
        self.assert_freed()

    def test_queue_keeps_the_body_of_a_cancelled_call(self) -> None:
        """Guards against bodies of callers that have left and fill the memory."""
        time = VirtualTime()
        admission = Admission(time, 1, lambda *_: lambda: None, time.call_later)
        deadline = time.monotonic() + 9.0
        admission(call(deadline=deadline), FakeSink())
        cancel = admission(call(body=self.part, deadline=deadline), FakeSink())
        self.assertEqual(1, len(admission.urgent_queue))
        cancel()
        del cancel
        self.assert_freed()

    def test_open_connection_keeps_the_body_of_its_first_request(self) -> None:
        reactor: Any = MemoryReactorClock()
        pool = BackendPool(reactor, Address("127.0.0.1", 8000), 10)
        pool(call(body=self.part), FakeSink())
        factory = reactor.tcpClients[-1][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(FakeTransport())
        connection.dataReceived(OK_RESPONSE)
        self.assertEqual([connection], pool.idle)
        connection.transport.clear()
        self.assert_freed()

    def test_remembered_call_keeps_its_body(self) -> None:
        lost = call(body=self.part)
        remembered = without_body(lost)
        self.assertEqual(Fingerprint.from_call(lost), Fingerprint.from_call(remembered))
        del lost
        self.assert_freed()


if __name__ == "__main__":
    unittest.main()
