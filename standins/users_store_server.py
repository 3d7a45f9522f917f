"""The stand-in of the users' store over HTTP, with faults that tests set."""

from __future__ import annotations

import json
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qsl

from twisted.web import http

from standins.users_store import Reply
from standins.users_store import UsersStore


if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress


class StoreRequest(http.Request):
    """One call to the store."""

    def gotLength(self, length: int | None) -> None:  # noqa: ARG002  # Twisted's
        """Keep the body in memory."""
        self.content = BytesIO()

    def process(self) -> None:
        """Answer, unless a fault that a test has set says otherwise."""
        self.factory: StoreServer = self.channel.factory
        self.ended = False
        self.notifyFinish().addBoth(self._note_end)
        fault = self.factory.fault_of(self.channel.transport.getPeer().host)
        if fault == "silent":
            return
        if fault == "reset":
            self.channel.transport.abortConnection()
            return
        if fault in ("busy", "many"):
            self._reply(Reply(503 if fault == "busy" else 429, {}))
            return
        self.factory.reactor.callLater(self.factory.delay, self._run)

    def _note_end(self, _: object) -> None:
        self.ended = True

    def _run(self) -> None:
        path, _, query = self.uri.decode("latin-1").partition("?")
        self.query = dict(parse_qsl(query))
        raw = self.content.getvalue()
        reply = self.factory.store.call(
            self.method.decode(), path, self.query, json.loads(raw) if raw else {}
        )
        if self.factory.drops_write_answers and self.method != b"GET":
            self.channel.transport.abortConnection()
        elif reply is not None:
            self._reply(reply)
        else:
            self._wait()

    def _wait(self) -> None:
        wait = int(self.query["wait-ms"]) / 1000
        self.factory.reactor.callLater(wait, self._give_up)
        self.factory.store.waiters.append(self._look_again)

    def _look_again(self) -> None:
        if self.ended:
            return
        reply = self.factory.store.events_after(self.query)
        if reply is None:
            self.factory.store.waiters.append(self._look_again)
        else:
            self._reply(reply)

    def _give_up(self) -> None:
        current = self.factory.store.revision
        self._reply(Reply(200, {"events": [], "current-rev": current}))

    def _reply(self, reply: Reply) -> None:
        if self.ended:
            return
        self.ended = True
        body = json.dumps(reply.body).encode()
        self.setResponseCode(reply.status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class StoreServer(http.HTTPFactory):
    """Serves a store.

    ``faults`` holds by caller's IP number, or under an empty one for all, one
    of silent, reset, busy and many. ``delay`` is in seconds.
    """

    noisy = False

    def __init__(self, reactor: Any, store: UsersStore) -> None:
        super().__init__(reactor=reactor)
        self.reactor = reactor
        self.store = store
        self.faults: dict[str, str] = {}
        self.delay = 0.0
        self.drops_write_answers = False

    def fault_of(self, host: str) -> str:
        """Return the fault that a caller meets, empty for none."""
        return self.faults.get(host) or self.faults.get("", "")

    def buildProtocol(self, addr: IAddress) -> http.HTTPChannel:  # noqa: ARG002  # Twisted's
        """Build a plain HTTP/1.1 channel."""
        channel = http.HTTPChannel()
        channel.requestFactory = StoreRequest
        channel.factory = self
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log."""


def listen(reactor: Any, store: UsersStore) -> tuple[StoreServer, Any]:
    """Serve a store on a free port of loopback; return server and port."""
    server = StoreServer(reactor, store)
    return server, reactor.listenTCP(0, server, interface="127.0.0.1")


__all__ = ["StoreServer", "listen"]
