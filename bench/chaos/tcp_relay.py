"""A TCP relay that can inject faults into its connections."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import selectors
import socket
import struct
import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


HOST = "127.0.0.1"
BUFFER_BYTES = 65536
POLL_SECONDS = 0.02
CONNECT_SECONDS = 0.5
# With a linger time of zero, closing a socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """A lasting fault of a relay's connections."""

    NONE = "none"
    # Open connections are closed, and new ones as soon as they are accepted.
    CUT = "cut"
    # Data is delayed; its order is kept.
    DELAY = "delay"
    # Data from the target is not read until the fault ends.
    ONE_WAY = "one-way"


@dataclass(eq=False)
class Direction:
    """One direction of a relayed connection: the sockets to read from and write to."""

    source: socket.socket
    target: socket.socket
    from_target: bool


class TcpRelay:
    """Relays TCP connections between clients and one target, in a thread.

    ``fault`` and ``delay_seconds`` may be set from any thread. ``reset`` and
    ``silence`` affect only the connections that are open. ``unconnected_ports`` holds
    the ports of clients that were not connected to the target.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.listener = socket.create_server((HOST, 0))
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.fault = LinkFault.NONE
        self.delay_seconds = 0.0
        self.unconnected_ports: set[int] = set()
        self.requested_faults: set[str] = set()
        self.stopped = False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.directions: dict[socket.socket, Direction] = {}
        self.silenced_sockets: list[socket.socket] = []
        self.delayed: list[tuple[float, int, Direction, bytes]] = []
        self.sequence_numbers = itertools.count()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def reset(self) -> None:
        """Reset the open connections."""
        self.requested_faults.add("reset")

    def silence(self) -> None:
        """Stop relaying on the open connections for good, without closing them."""
        self.requested_faults.add("silence")

    def stop(self) -> None:
        """Stop the thread and close all sockets."""
        self.stopped = True
        self.thread.join()
        self._close(self.directions)
        for sock in self.silenced_sockets:
            sock.close()
        self.listener.close()

    def _run(self) -> None:
        while not self.stopped:
            self._apply_faults()
            for key, _ in self.selector.select(POLL_SECONDS):
                if key.fileobj is self.listener:
                    self._accept()
                elif isinstance(key.fileobj, socket.socket):
                    self._receive(key.fileobj)
            self._forward_due()
            if self.fault is LinkFault.ONE_WAY:
                # Sockets with unread data stay readable: avoid a busy loop.
                time.sleep(POLL_SECONDS)

    def _apply_faults(self) -> None:
        if self.fault is LinkFault.CUT:
            self._close(self.directions)
        if "reset" in self.requested_faults:
            self.requested_faults.discard("reset")
            for sock in self.directions:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._close(self.directions)
        if "silence" in self.requested_faults:
            self.requested_faults.discard("silence")
            for sock in self.directions:
                self.selector.unregister(sock)
            self.silenced_sockets.extend(self.directions)
            self.directions.clear()

    def _accept(self) -> None:
        client, (_, port) = self.listener.accept()
        if self.fault is LinkFault.CUT:
            self.unconnected_ports.add(port)
            client.close()
            return
        try:
            server = socket.create_connection(self.target, CONNECT_SECONDS)
        except OSError:
            self.unconnected_ports.add(port)
            client.close()
            return
        for direction in (
            Direction(client, server, False),
            Direction(server, client, True),
        ):
            direction.source.settimeout(1.0)
            self.directions[direction.source] = direction
            self.selector.register(direction.source, selectors.EVENT_READ)

    def _receive(self, source: socket.socket) -> None:
        direction = self.directions.get(source)
        if direction is None or (
            self.fault is LinkFault.ONE_WAY and direction.from_target
        ):
            return
        try:
            data = source.recv(BUFFER_BYTES)
        except OSError:
            data = b""
        delay_seconds = self.delay_seconds if self.fault is LinkFault.DELAY else 0.0
        if delay_seconds or any(other is direction for _, _, other, _ in self.delayed):
            due_seconds = time.monotonic() + delay_seconds
            heapq.heappush(
                self.delayed,
                (due_seconds, next(self.sequence_numbers), direction, data),
            )
            if not data:
                self.selector.unregister(source)
        else:
            self._forward(direction, data)

    def _forward_due(self) -> None:
        now = time.monotonic()
        while self.delayed and self.delayed[0][0] <= now:
            _, _, direction, data = heapq.heappop(self.delayed)
            if direction.source in self.directions:
                self._forward(direction, data)

    def _forward(self, direction: Direction, data: bytes) -> None:
        if data:
            with contextlib.suppress(OSError):
                direction.target.sendall(data)
                return
        self._close((direction.source, direction.target))

    def _close(self, sockets: Iterable[socket.socket]) -> None:
        for sock in tuple(sockets):
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(sock)
            self.directions.pop(sock, None)
            sock.close()


__all__ = ["LinkFault", "TcpRelay"]
