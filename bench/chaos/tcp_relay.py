"""A TCP relay whose connections can be disturbed in several ways."""

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
# Closing with no time to linger resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """How the connections of a relay are disturbed."""

    NONE = "none"
    # Connections are closed and new ones refused.
    CUT = "cut"
    # Bytes arrive late, in order.
    DELAY = "delay"
    # What the far end sends does not arrive until the fault ends.
    ONE_WAY = "one-way"


@dataclass(eq=False)
class Way:
    """One direction of a connection: where its bytes come from and go to."""

    source: socket.socket
    target: socket.socket
    from_far_end: bool


class TcpRelay:
    """Passes bytes on between callers and one address, in a thread of its own.

    ``fault`` and ``delay`` (in seconds) may be set from any thread. ``reset``
    and ``silence`` strike the connections that are open now; new ones work.
    ``refused`` holds the ports of callers that could not be connected.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.listener = socket.create_server((HOST, 0))
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.fault = LinkFault.NONE
        self.delay = 0.0
        self.refused: set[int] = set()
        self.wanted: set[str] = set()
        self.stopped = False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.ways: dict[socket.socket, Way] = {}
        self.silent: list[socket.socket] = []
        self.late: list[tuple[float, int, Way, bytes]] = []
        self.numbers = itertools.count()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def reset(self) -> None:
        """Reset the connections that are open now."""
        self.wanted.add("reset")

    def silence(self) -> None:
        """Let the connections that are open now go silent for good, unclosed."""
        self.wanted.add("silence")

    def stop(self) -> None:
        """Close everything."""
        self.stopped = True
        self.thread.join()
        self._close(self.ways)
        for one in self.silent:
            one.close()
        self.listener.close()

    def _run(self) -> None:
        while not self.stopped:
            self._strike()
            for key, _ in self.selector.select(POLL_SECONDS):
                if key.fileobj is self.listener:
                    self._accept()
                elif isinstance(key.fileobj, socket.socket):
                    self._take(key.fileobj)
            self._pass_on_late()
            if self.fault is LinkFault.ONE_WAY:
                # What is not read stays readable: don't spin on it.
                time.sleep(POLL_SECONDS)

    def _strike(self) -> None:
        if self.fault is LinkFault.CUT:
            self._close(self.ways)
        if "reset" in self.wanted:
            self.wanted.discard("reset")
            for one in self.ways:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._close(self.ways)
        if "silence" in self.wanted:
            self.wanted.discard("silence")
            for one in self.ways:
                self.selector.unregister(one)
            self.silent.extend(self.ways)
            self.ways.clear()

    def _accept(self) -> None:
        near, (_, port) = self.listener.accept()
        if self.fault is LinkFault.CUT:
            self.refused.add(port)
            near.close()
            return
        try:
            far = socket.create_connection(self.target, CONNECT_SECONDS)
        except OSError:
            self.refused.add(port)
            near.close()
            return
        for way in (Way(near, far, False), Way(far, near, True)):
            way.source.settimeout(1.0)
            self.ways[way.source] = way
            self.selector.register(way.source, selectors.EVENT_READ)

    def _take(self, source: socket.socket) -> None:
        way = self.ways.get(source)
        if way is None or (self.fault is LinkFault.ONE_WAY and way.from_far_end):
            return
        try:
            data = source.recv(BUFFER_BYTES)
        except OSError:
            data = b""
        delay = self.delay if self.fault is LinkFault.DELAY else 0.0
        if delay or any(late is way for _, _, late, _ in self.late):
            due = time.monotonic() + delay
            heapq.heappush(self.late, (due, next(self.numbers), way, data))
            if not data:
                self.selector.unregister(source)
        else:
            self._pass_on(way, data)

    def _pass_on_late(self) -> None:
        now = time.monotonic()
        while self.late and self.late[0][0] <= now:
            _, _, way, data = heapq.heappop(self.late)
            if way.source in self.ways:
                self._pass_on(way, data)

    def _pass_on(self, way: Way, data: bytes) -> None:
        if data:
            with contextlib.suppress(OSError):
                way.target.sendall(data)
                return
        self._close((way.source, way.target))

    def _close(self, sockets: Iterable[socket.socket]) -> None:
        for one in tuple(sockets):
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(one)
            self.ways.pop(one, None)
            one.close()


__all__ = ["LinkFault", "TcpRelay"]
