"""Stand-in backend server with slots, a queue and switchable faults."""

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
    """Announces the backend to its daemon every second, also after failures."""

    def __init__(
        self, backend: Backend, daemon: str, reactor: Any, address: str = ""
    ) -> None:
        self.backend = backend
        self.address = address
        self.url = f"http://{daemon}/v1/announcement".encode()
        self.reactor = reactor
        make_agent: Callable[..., Any] = client.Agent
        self.agent = make_agent(reactor, connectTimeout=ANNOUNCE_TIMEOUT_S)
        self.rng = random.Random()
        self.timer: Any = None

    def encode_announcement(self) -> bytes:
        """Return the announcement as JSON."""
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
        """Announce now; schedule the next announcement even if this one fails."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        delay_s = behavior.announce_delay_s(self.rng)
        self.timer = self.reactor.callLater(delay_s, self.announce)
        make_body_producer: Callable[..., Any] = client.FileBodyProducer
        response = self.agent.request(
            b"PUT",
            self.url,
            Headers({b"Content-Type": [b"application/json"]}),
            make_body_producer(BytesIO(self.encode_announcement())),
        )
        read_body: Callable[..., Any] = client.readBody
        response.addCallback(read_body)
        response.addTimeout(ANNOUNCE_TIMEOUT_S, self.reactor)
        response.addErrback(lambda _failure: None)


class Drain:
    """Stops the process once it is idle and the minimum drain time has passed."""

    def __init__(
        self, backend: Backend, announcer: Announcer | None, drain_s: float
    ) -> None:
        self.backend = backend
        self.announcer = announcer
        self.drain_s = drain_s
        self.earliest_stop_s = 0.0

    def start_draining(self) -> None:
        """Start draining and announce it; later calls have no effect."""
        if self.backend.draining:
            return
        self.backend.draining = True
        self.earliest_stop_s = self.backend.clock.seconds() + self.drain_s
        if self.announcer is not None:
            self.announcer.announce()
        self.stop_when_idle()

    def stop_when_idle(self) -> None:
        """Stop the reactor if the backend may stop, otherwise check again later."""
        clock = self.backend.clock
        idle = not self.backend.busy and not self.backend.queue
        if idle and clock.seconds() >= self.earliest_stop_s:
            clock.stop()
        else:
            clock.callLater(DRAIN_CHECK_S, self.stop_when_idle)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    result = argparse.ArgumentParser(description=__doc__)
    add = result.add_argument
    add("--port", type=int, default=0, help="port to listen on, 0 for a free one")
    add("--daemon", help="HOST:PORT of the daemon's announcement endpoint")
    add("--announced", default="", help="HOST:PORT to announce, if not its own")
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
    add("--crash-path", default="", help="path whose requests crash this process")
    add("--log-runs", action="store_true", help="print the ID of each request run")
    add(
        "--route-time",
        type=behavior.parse_route_time,
        action="append",
        default=[],
        metavar="PREFIX=MS",
    )
    return result


def main(arguments: list[str] | None = None) -> int:
    """Serve until SIGTERM; print the port once listening."""
    options = build_parser().parse_args(arguments)
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
        crash_path=options.crash_path,
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
        # The reactor installs its own signal handlers when it starts: replace one now.
        signal.signal(
            signal.SIGTERM, lambda *_: reactor.callFromThread(drain.start_draining)
        )
        if announcer is not None:
            announcer.announce()
        print(f"listening {backend.port}", flush=True)

    reactor.callWhenRunning(start)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["Announcer", "Drain", "main"]
