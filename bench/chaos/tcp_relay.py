"""A TCP relay that can be cut, for the way of one zone to the platform."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading


BUFFER_BYTES = 65536
POLL_SECONDS = 0.1


class TcpRelay:
    """Passes bytes on until it is cut; a cut drops and refuses connections."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.cut = False
        self.stopped = False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.other: dict[socket.socket, socket.socket] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Close everything."""
        self.stopped = True
        self.thread.join()
        self._drop_all()
        self.listener.close()

    def _run(self) -> None:
        while not self.stopped:
            if self.cut:
                self._drop_all()
            for key, _ in self.selector.select(POLL_SECONDS):
                if key.fileobj is self.listener:
                    self._accept()
                elif isinstance(key.fileobj, socket.socket):
                    self._pass_on(key.fileobj)

    def _accept(self) -> None:
        near, _ = self.listener.accept()
        if self.cut:
            near.close()
            return
        try:
            far = socket.create_connection(self.target, timeout=POLL_SECONDS)
        except OSError:
            near.close()
            return
        for one, two in ((near, far), (far, near)):
            one.settimeout(1.0)
            self.other[one] = two
            self.selector.register(one, selectors.EVENT_READ)

    def _pass_on(self, source: socket.socket) -> None:
        if source not in self.other:
            return
        try:
            data = source.recv(BUFFER_BYTES)
            if data:
                self.other[source].sendall(data)
                return
        except OSError:
            pass
        self._drop(source)

    def _drop(self, source: socket.socket) -> None:
        for one in (source, self.other[source]):
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(one)
            self.other.pop(one, None)
            one.close()

    def _drop_all(self) -> None:
        for one in list(self.other):
            if one in self.other:
                self._drop(one)


__all__ = ["TcpRelay"]
