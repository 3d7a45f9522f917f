"""Tests of the reads of a daemon's own endpoints, on sockets."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.web import http

from briarslip.connection.local_http import JsonReply
from briarslip.connection.local_http import LocalHttpFactory
from briarslip.connection.local_http import LocalRequest
from tests.support.reactor import run_in_reactor


HEAD = b"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = 20_000
CHUNKS = b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"
MAX_CHUNKS_PER_READ = 700


class LocalReadsTest(unittest.TestCase):
    """A backend server that reports in chunks of one byte."""

    def test_one_read_takes_the_reactor_for_thousands_of_chunks(self) -> None:
        """Guards against a daemon that hangs on a report in tiny chunks."""
        bodies: list[bytes] = []
        chunks_of_reads: list[int] = []
        receive_chunk = LocalRequest.handleContentChunk
        receive = http.HTTPChannel.dataReceived

        def count_read(channel: Any, data: bytes) -> None:
            chunks_of_reads.append(0)
            receive(channel, data)

        def count_chunk(request: Any, data: bytes) -> None:
            chunks_of_reads[-1] += 1
            receive_chunk(request, data)

        def respond(body: bytes) -> JsonReply:
            bodies.append(body)
            return JsonReply(200, {})

        async def report(reactor: Any) -> None:
            factory = LocalHttpFactory(reactor, {("PUT", "/a"): respond})
            port = reactor.listenTCP(0, factory, interface="127.0.0.1")
            number = port.getHost().port
            endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", number)
            client = await connectProtocol(endpoint, Protocol())
            client.transport.write(HEAD + CHUNKS)
            while not bodies:
                await deferLater(reactor, 0.01)
            client.transport.loseConnection()
            await port.stopListening()

        with (
            mock.patch.object(http.HTTPChannel, "dataReceived", count_read),
            mock.patch.object(LocalRequest, "handleContentChunk", count_chunk),
        ):
            run_in_reactor(report)
        self.assertEqual([b"x" * BODY_BYTES], bodies)
        self.assertLessEqual(max(chunks_of_reads), MAX_CHUNKS_PER_READ)


if __name__ == "__main__":
    unittest.main()
