"""A stand-in backend server with slots, a queue and switchable faults."""

from __future__ import annotations

import argparse
import json
import random
import signal
import sys
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.web import client
from twisted.web.http_headers import Headers

from standins import backend_behavior as behavior
from standins.backend_behavior import Settings
from standins.backend_server import Backend
from standins.backend_server import BackendFactory


if TYPE_CHECKING:
    from collections.abc import Callable


LOOPBACK = "127.0.0.1"
ANNOUNCE_TIMEOUT_S = 2.0
DRAIN_CHECK_S = 0.05


class Announcer:
    """Tells the daemon about the backend every second, also after failures."""

    def __init__(
        self, backend: Backend, daemon: str, reactor: Any, address: str = ""
    ) -> None:
        self.backend = backend
        self.address = address
        self.url = f"http://{daemon}/v1/announcement".encode()
        self.reactor = reactor
        make: Callable[..., Any] = client.Agent
        self.agent = make(reactor, connectTimeout=ANNOUNCE_TIMEOUT_S)
        self.rng = random.Random()
        self.timer: Any = None

    def body(self) -> bytes:
        """Return the announcement."""
        settings = self.backend.settings
        data = {
            "service": settings.service,
            "version": settings.version,
            "address": self.address or f"{LOOPBACK}:{self.backend.port}",
            "slots": settings.slots,
            "connections": settings.connections,
            "draining": self.backend.draining,
        }
        return json.dumps(data).encode()

    def announce(self) -> None:
        """Announce now, and again after the usual time whatever comes of it."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        delay_s = behavior.announce_delay_s(self.rng)
        self.timer = self.reactor.callLater(delay_s, self.announce)
        producer: Callable[..., Any] = client.FileBodyProducer
        sent = self.agent.request(
            b"PUT",
            self.url,
            Headers({b"Content-Type": [b"application/json"]}),
            producer(BytesIO(self.body())),
        )
        read: Callable[..., Any] = client.readBody
        sent.addCallback(read)
        sent.addTimeout(ANNOUNCE_TIMEOUT_S, self.reactor)
        sent.addErrback(lambda _failure: None)


class Drain:
    """Ends the process once work is done and the least time has passed."""

    def __init__(
        self, backend: Backend, announcer: Announcer | None, drain_s: float
    ) -> None:
        self.backend = backend
        self.announcer = announcer
        self.drain_s = drain_s
        self.until_s = 0.0

    def begin(self) -> None:
        """Start to drain; later calls change nothing."""
        if self.backend.draining:
            return
        self.backend.draining = True
        self.until_s = self.backend.clock.seconds() + self.drain_s
        if self.announcer is not None:
            self.announcer.announce()
        self.check()

    def check(self) -> None:
        """Stop when nothing is left to do, or look again soon."""
        clock = self.backend.clock
        idle = not self.backend.busy and not self.backend.waiting
        if idle and clock.seconds() >= self.until_s:
            clock.stop()
        else:
            clock.callLater(DRAIN_CHECK_S, self.check)


def parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
    result = argparse.ArgumentParser(description=__doc__)
    add = result.add_argument
    add("--port", type=int, default=0, help="0 takes a free port")
    add("--daemon", help="HOST:PORT of the daemon's announcement port")
    add("--announced", default="", help="HOST:PORT it tells the daemon, if another")
    add("--drain-s", type=float, default=3.0)
    add("--seed", type=int, default=0)
    add("--service", default="faults")
    add("--version", default="1")
    add("--slots", type=int, default=10)
    add("--connections", type=int, default=130)
    add("--queue-limit", type=int, default=100)
    add("--service-time-ms", type=float, default=2.0)
    add("--cold-factor", type=float, default=1.0)
    add("--cold-ms", type=float, default=0.0)
    add("--log-runs", action="store_true", help="print the id of each run")
    add(
        "--route-time",
        type=behavior.parse_route_time,
        action="append",
        default=[],
        metavar="PREFIX=MS",
    )
    return result


def main(arguments: list[str] | None = None) -> int:
    """Serve until told to stop, and print the port once listening."""
    options = parser().parse_args(arguments)
    settings = Settings(
        service=options.service,
        version=options.version,
        slots=options.slots,
        connections=options.connections,
        queue_limit=options.queue_limit,
        service_time_ms=options.service_time_ms,
        route_times_ms=tuple(options.route_time),
        cold_factor=options.cold_factor,
        cold_ms=options.cold_ms,
    )
    reactor: Any = default_reactor
    backend = Backend(settings, reactor, options.seed, options.log_runs)
    listener = reactor.listenTCP(
        options.port, BackendFactory(backend), interface=LOOPBACK
    )
    backend.port = listener.getHost().port
    announcer = None
    if options.daemon:
        announcer = Announcer(backend, options.daemon, reactor, options.announced)
    drain = Drain(backend, announcer, options.drain_s)

    def start() -> None:
        # Only now, as the reactor sets its own handlers when it starts.
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(drain.begin))
        if announcer is not None:
            announcer.announce()
        print(f"listening {backend.port}", flush=True)

    reactor.callWhenRunning(start)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["Announcer", "Drain", "main"]
