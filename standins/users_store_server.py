"""HTTP server of the users' store stand-in, with switchable faults."""

from __future__ import annotations

import json
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qsl
from weakref import WeakSet

from twisted.web import http

from standins.users_store import Reply
from standins.users_store import UsersStore


if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress


class StoreRequest(http.Request):
    """One HTTP call to the store."""

    def gotLength(self, length: int | None) -> None:  # noqa: ARG002  # Twisted's
        """Keep the body in memory."""
        self.content = BytesIO()

    def process(self) -> None:
        """Answer after the delay, or apply the fault set for the client."""
        self.factory: StoreServer = self.channel.factory
        self.is_finished = False
        self.notifyFinish().addBoth(self._mark_finished)
        fault = self.factory.fault_for(self.channel.transport.getPeer().host)
        if fault == "silent":
            return
        if fault == "reset":
            self.channel.transport.abortConnection()
            return
        if fault in ("busy", "many"):
            self._reply(Reply(503 if fault == "busy" else 429, {}))
            return
        self.factory.reactor.callLater(self.factory.delay_seconds, self._run)

    def _mark_finished(self, _: object) -> None:
        self.is_finished = True
        self.factory.waiting.discard(self)

    def _run(self) -> None:
        path, _, query = self.uri.decode("latin-1").partition("?")
        self.query = dict(parse_qsl(query))
        body = self.content.getvalue()
        reply = self.factory.store.call(
            self.method.decode(), path, self.query, json.loads(body) if body else {}
        )
        if self.factory.drops_write_answers and self.method != b"GET":
            self.channel.transport.abortConnection()
        elif reply is not None:
            self._reply(reply)
        else:
            self._wait()

    def _wait(self) -> None:
        wait_seconds = int(self.query["wait-ms"]) / 1000
        self.factory.reactor.callLater(wait_seconds, self._send_no_events)
        self.factory.store.waiters.append(self._send_new_events)
        self.factory.waiting.add(self)

    def lose(self) -> None:
        """Never answer, as on a connection that went silent."""
        self.is_finished = True

    def _send_new_events(self) -> None:
        if self.is_finished:
            return
        reply = self.factory.store.events_after(self.query)
        if reply is None:
            self.factory.store.waiters.append(self._send_new_events)
        else:
            self._reply(reply)

    def _send_no_events(self) -> None:
        revision = self.factory.store.revision
        self._reply(Reply(200, {"events": [], "current-rev": revision}))

    def _reply(self, reply: Reply) -> None:
        if self.is_finished:
            return
        self.is_finished = True
        body = json.dumps(reply.body).encode()
        self.setResponseCode(reply.status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", b"%d" % len(body))
        self.setHeader(b"store-era", b"%d" % self.factory.store.era)
        self.write(body)
        self.finish()


class StoreServer(http.HTTPFactory):
    """Serves a store over HTTP.

    ``faults`` maps a client's IP address, or an empty one for all clients, to a fault:
    silent (no answer), reset (connection reset), busy (503) or many (429).
    ``drops_write_answers`` resets the connection once a call other than a GET has run.
    """

    noisy = False

    def __init__(self, reactor: Any, store: UsersStore) -> None:
        super().__init__(reactor=reactor)
        self.reactor = reactor
        self.store = store
        self.faults: dict[str, str] = {}
        self.delay_seconds = 0.0
        self.drops_write_answers = False
        self.waiting: set[StoreRequest] = set()
        self.channels: WeakSet[http.HTTPChannel] = WeakSet()

    def drop_connections(self) -> None:
        """Reset all connections, as a store that stops does."""
        for channel in tuple(self.channels):
            if channel.transport is not None:
                channel.transport.abortConnection()

    def lose_waiting(self) -> None:
        """Never answer the watches that wait now; their connections stay open."""
        for request in self.waiting:
            request.lose()

    def fault_for(self, host: str) -> str:
        """Return the fault set for a client's IP address, empty for none."""
        return self.faults.get(host) or self.faults.get("", "")

    def buildProtocol(self, addr: IAddress) -> http.HTTPChannel:  # noqa: ARG002  # Twisted's
        """Build a plain HTTP/1.1 channel."""
        channel = http.HTTPChannel()
        channel.requestFactory = StoreRequest
        channel.factory = self
        self.channels.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log."""


def listen(reactor: Any, store: UsersStore) -> tuple[StoreServer, Any]:
    """Serve a store on a free loopback port; return server and listening port."""
    server = StoreServer(reactor, store)
    return server, reactor.listenTCP(0, server, interface="127.0.0.1")


__all__ = ["StoreServer", "listen"]
