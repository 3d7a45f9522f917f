"""Tests of real daemons whose servers send bytes without end.

The bytes are sent until the daemon closes. It must not keep them, and the requests of
other callers must be served meanwhile.
"""

from __future__ import annotations

import contextlib
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

from standins.mesh import Mesh
from standins.mesh import free_address
from standins.mesh import put_json


if TYPE_CHECKING:
    from collections.abc import Iterator


RECORDS = """\
[service endless]
[service holds]

[route endless]
service = endless
path_prefix = /endless
priority = bulk
timeout_ms = 2000
claims = none

[route holds]
service = holds
path_prefix = /holds
priority = urgent
timeout_ms = 2000
claims = none
"""
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
NOISE = b"\x00\x01 noise "
ENDLESS = {
    "no head": (b"", NOISE),
    "head line": (OK_HEAD + b"X: ", b"y"),
    "head lines": (OK_HEAD, b"X-Y: 1\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"),
    "body until close": (OK_HEAD + b"\r\n", NOISE),
    "body with a length": (OK_HEAD + b"Content-Length: 9999999999\r\n\r\n", NOISE),
    "body in chunks": (
        OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + b"z" * 0x4000 + b"\r\n",
    ),
    "body in chunks of one byte": (
        OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nz\r\n",
    ),
    "chunk extension": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=", b"y"),
}
MAX_SENT_BYTES = 400 << 20
PART_BYTES = 256 << 10
# A tenth of the memory that a daemon may use.
MAX_GROWTH_BYTES = 30 << 20
MAX_OTHER_REQUEST_SECONDS = 1.0
CALLERS = 4


class EndlessServer:
    """Answers each connection with bytes until it is closed."""

    def __init__(self) -> None:
        self.address = free_address()
        self.start, self.repeated = b"", NOISE
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection in a thread."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=send_endlessly,
                    args=(connection, self.start, self.repeated),
                    daemon=True,
                ).start()


def send_endlessly(connection: socket.socket, start: bytes, repeated: bytes) -> None:
    """Send bytes after the first that arrive, until the other end closes."""
    part = repeated * (PART_BYTES // len(repeated) or 1)
    sent_bytes = 0
    with contextlib.suppress(OSError), connection:
        connection.settimeout(10.0)
        connection.recv(65536)
        connection.sendall(start)
        while sent_bytes < MAX_SENT_BYTES:
            connection.sendall(part)
            sent_bytes += len(part)


def resident_bytes(process_id: int) -> int:
    """Return the memory that a process uses now."""
    status = Path(f"/proc/{process_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) << 10


class EndlessBytesTest(unittest.TestCase):
    """A daemon beside an endless server, and one whose callers it serves."""

    mesh: Mesh
    server: EndlessServer

    @classmethod
    def setUpClass(cls) -> None:
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        mesh = cls.mesh = cls.enterClassContext(Mesh(Path(directory)))
        mesh.start_store()
        mesh.add_nodes(("klang",) * 2)
        mesh.start_daemons()
        mesh.start_backend(0, "holds", "1", "--service-time-ms", "10")
        cls.server = EndlessServer()
        cls.addClassCleanup(cls.server.listener.close)
        mesh.apply(RECORDS)
        mesh.wait_for_version(1)
        mesh.wait_for_success(1, "/holds/1")

    def announce(self) -> None:
        """Announce the endless server, as it would do itself."""
        announcement = {
            "service": "endless",
            "version": "1",
            "address": self.server.address,
            "slots": 10,
            "connections": 20,
        }
        put_json(self.mesh.nodes[0].announcements, "/v1/announcement", announcement)

    @contextlib.contextmanager
    def other_requests(self) -> Iterator[None]:
        """Check memory, and requests of other callers, from before to after."""
        names = ("daemon-0", "daemon-1")
        ids = [self.mesh.processes[name].pid for name in names]
        before = [resident_bytes(process_id) for process_id in ids]
        yield
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            for number in (0, 1):
                started = time.monotonic()
                status = self.mesh.send_request(number, "/holds/1").status
                seconds = time.monotonic() - started
                self.assertEqual(200, status)
                self.assertLess(seconds, MAX_OTHER_REQUEST_SECONDS)
            for process_id, bytes_before in zip(ids, before, strict=True):
                growth = resident_bytes(process_id) - bytes_before
                self.assertLess(growth, MAX_GROWTH_BYTES)
            time.sleep(0.05)

    def call(self, number: int) -> socket.socket:
        """Send a request to the endless server; its response is not read."""
        host, port = self.mesh.nodes[number].callers.split(":")
        caller = socket.create_connection((host, int(port)))
        self.addCleanup(caller.close)
        caller.sendall(b"GET /endless/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        return caller

    def test_endless_response_takes_the_memory_of_its_callers_daemons(self) -> None:
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.server.start, self.server.repeated = start, repeated
                self.announce()
                time.sleep(0.6)
                with self.other_requests():
                    for number in range(CALLERS):
                        self.call(number % 2)

    def test_endless_announcement_takes_the_memory_of_its_daemon(self) -> None:
        host, port = self.mesh.nodes[0].announcements.split(":")
        head = b"PUT /v1/announcement HTTP/1.1\r\nHost: a\r\n"
        for name, (start, repeated) in {
            "length": (b"Content-Length: 9999999999\r\n\r\n", NOISE),
            "chunks": (
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"4000\r\n" + b"z" * 0x4000 + b"\r\n",
            ),
            "head lines": (b"", b"X-Y: 1\r\n"),
        }.items():
            with self.subTest(name), self.other_requests():
                connection = socket.create_connection((host, int(port)))
                connection.shutdown(socket.SHUT_RD)
                threading.Thread(
                    target=send_endlessly,
                    args=(connection, head + start, repeated),
                    daemon=True,
                ).start()


if __name__ == "__main__":
    unittest.main()
