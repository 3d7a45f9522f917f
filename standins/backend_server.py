"""The server half of the stand-in backend: connections, slots and records."""

from __future__ import annotations

import io
import json
import random
from collections import Counter
from collections import OrderedDict
from collections import deque
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from twisted.internet.protocol import ServerFactory
from twisted.internet.protocol import connectionDone
from twisted.web import http

from standins import backend_behavior as behavior
from standins.backend_behavior import Admission
from standins.backend_behavior import Faults
from standins.backend_behavior import Load
from standins.backend_behavior import Outcome


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

    from standins.backend_behavior import Settings


RECORD_LIMIT = 100_000
MAX_PAD_BYTES = 64 * 1024 * 1024
NOT_RUN = b"Briarslip-Not-Run"
DEADLINE = b"Briarslip-Deadline-Ms"
REQUEST_ID = b"Request-Id"


class Wire(Protocol):
    """The typed face of a request's response side."""

    def setResponseCode(self, code: int) -> None: ...  # noqa: N802 (Twisted)
    def setHeader(self, name: bytes, value: bytes) -> None: ...  # noqa: N802 (Twisted)
    def write(self, data: bytes) -> None: ...
    def finish(self) -> None: ...


def first_header(request: http.Request, name: bytes) -> str:
    """Return the first value of a header, or an empty text."""
    values = request.requestHeaders.getRawHeaders(name)
    return values[0].decode("latin-1") if values else ""


def send(
    request: BackendRequest,
    code: int,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    *,
    truncate: bool = False,
) -> None:
    """Send a response, or half of its body and then close."""
    if request.gone:
        return
    wire: Wire = request
    wire.setResponseCode(code)
    wire.setHeader(b"Content-Type", b"application/json")
    wire.setHeader(b"Content-Length", b"%d" % len(body))
    for name, value in headers:
        wire.setHeader(name, value)
    if truncate:
        wire.write(body[: len(body) // 2])
        request.close()
        return
    wire.write(body)
    wire.finish()


def send_json(request: BackendRequest, code: int, data: object) -> None:
    """Send a JSON response."""
    send(request, code, json.dumps(data).encode())


class BackendRequest(http.Request):
    """One request, with its place in the server."""

    gone = False
    outcome = Outcome.ANSWER
    slow_factor = 1.0
    timer: Any = None

    def process(self) -> None:
        """Hand the request, whole by now, to the backend."""
        self.channel.factory.backend.receive(self)

    def connectionLost(self, reason: object) -> None:
        """Stop work that has not started."""
        self.gone = True
        self.channel.factory.backend.cancel(self)
        lose: Callable[[object], None] = super().connectionLost
        lose(reason)

    def close(self) -> None:
        """Close the client's connection."""
        if not self.gone:
            channel: Any = self.channel
            channel.loseConnection()


class BackendChannel(http.HTTPChannel):
    """One client connection, with no idle limit."""

    requestFactory = BackendRequest  # noqa: N815 (Twisted's name)
    timeOut = None  # noqa: N815 (Twisted's name)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Give the connection's place back."""
        self.factory.open_connections -= 1
        lose: Callable[[object], None] = super().connectionLost
        lose(reason)


class BackendFactory(ServerFactory):
    """Makes connections up to the limit and refuses the rest."""

    noisy = False

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.open_connections = 0

    def buildProtocol(self, addr: IAddress | None) -> Any:  # noqa: ARG002 (Twisted)
        """Return a channel, or nothing, which closes the connection."""
        if self.open_connections >= self.backend.settings.connections:
            return None
        self.open_connections += 1
        make: Callable[[], Any] = BackendChannel
        channel = make()
        channel.factory = self
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log."""


class Backend:
    """The state of one backend: its slots, queue, faults and records."""

    def __init__(
        self, settings: Settings, clock: Any, seed: int = 0, log_runs: bool = False
    ) -> None:
        self.settings = settings
        self.log_runs = log_runs
        self.clock = clock
        self.port = 0
        self.draining = False
        self.busy = 0
        self.waiting: OrderedDict[BackendRequest, None] = OrderedDict()
        self.runs: deque[dict[str, Any]] = deque(maxlen=RECORD_LIMIT)
        self.run_counts: Counter[str] = Counter()
        self.started_s: float = clock.seconds()
        self.reported = (self.started_s, Load())
        self.set_faults(Faults(seed=seed))

    def set_faults(self, faults: Faults) -> None:
        """Put new faults in force and start their random numbers again."""
        self.faults = faults
        self.faults_set_s: float = self.clock.seconds()
        self.rng = random.Random(faults.seed)

    def load(self) -> Load:
        """Return the true load."""
        return Load(self.busy, len(self.waiting), self.draining)

    def reported_load(self) -> Load:
        """Return the load as told to others, as old as the faults allow."""
        now_s = self.clock.seconds()
        if now_s - self.reported[0] >= self.faults.report_lag_s:
            self.reported = (now_s, self.load())
        return self.reported[1]

    def applies(self, path: str) -> bool:
        """Tell whether the faults hold for this path now."""
        set_for_s = self.clock.seconds() - self.faults_set_s
        share = self.busy / self.settings.slots
        return behavior.fault_applies(self.faults, set_for_s, share, path)

    def receive(self, request: BackendRequest) -> None:
        """Take one request to its endpoint."""
        path = request.path.decode("latin-1")
        control = CONTROLS.get((request.method, path))
        if control is not None:
            control(self, request)
            return
        if self.applies(path):
            request.outcome = behavior.choose_outcome(self.faults, self.rng)
            request.slow_factor = self.faults.slow_factor
        if request.outcome is Outcome.FREEZE:
            return
        if request.outcome is Outcome.CLOSE_BEFORE:
            request.close()
            return
        self.place(request)

    def place(self, request: BackendRequest) -> None:
        """Run, queue or shed one request."""
        try:
            remaining_s = behavior.parse_deadline_s(first_header(request, DEADLINE))
        except ValueError:
            send_json(request, 400, {"error": "bad deadline"})
            return
        admission = behavior.admit(self.settings, self.load(), remaining_s)
        if admission is Admission.SHED:
            self.shed(request)
        elif admission is Admission.RUN:
            self.run(request)
        else:
            self.waiting[request] = None
            if remaining_s is not None:
                request.timer = self.clock.callLater(remaining_s, self.expire, request)

    def shed(self, request: BackendRequest) -> None:
        """Answer that the request has not run."""
        send(request, 503, b'{"error": "shed"}', ((NOT_RUN, b"shed"),))

    def expire(self, request: BackendRequest) -> None:
        """Shed a waiting request whose time is over."""
        request.timer = None
        del self.waiting[request]
        self.shed(request)

    def cancel(self, request: BackendRequest) -> None:
        """Forget a waiting request; one that runs goes on to its end."""
        self.waiting.pop(request, None)
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    def run(self, request: BackendRequest) -> None:
        """Start one request in a free slot."""
        self.cancel(request)
        self.busy += 1
        now_s = self.clock.seconds()
        path = request.path.decode("latin-1")
        record = {
            "id": first_header(request, REQUEST_ID),
            "method": request.method.decode("latin-1"),
            "path": path,
            "started": now_s,
            "finished": None,
        }
        self.runs.append(record)
        self.run_counts[record["id"]] += 1
        if self.log_runs:
            print(f"ran {record['id']}", flush=True)
        time_s = behavior.service_time_s(
            self.settings, path, now_s - self.started_s, request.slow_factor
        )
        self.clock.callLater(time_s, self.finish, request, record)

    def finish(self, request: BackendRequest, record: dict[str, Any]) -> None:
        """End one request, answer it and start the next."""
        self.busy -= 1
        record["finished"] = self.clock.seconds()
        if request.outcome is Outcome.CLOSE_AFTER:
            request.close()
        elif not request.gone:
            self.answer(request, record)
        if self.waiting and self.busy < self.settings.slots:
            self.run(next(iter(self.waiting)))

    def answer(self, request: BackendRequest, record: dict[str, Any]) -> None:
        """Send the response of a request that has run."""
        if request.outcome is Outcome.FAIL:
            send_json(request, 500, {"error": "fault"})
            return
        content: Any = request.content
        data = {
            "service": self.settings.service,
            "version": self.settings.version,
            "port": self.port,
            "id": record["id"],
            "method": record["method"],
            "path": record["path"],
            "length": content.seek(0, io.SEEK_END),
        }
        size = request.args.get(b"size", [b"0"])[0]
        width = min(int(size), MAX_PAD_BYTES) if size.isdigit() else 0
        body = json.dumps(data).encode().ljust(width)
        send(request, 200, body, truncate=request.outcome is Outcome.TRUNCATE)

    def send_health(self, request: BackendRequest) -> None:
        """Say whether the backend is well, truly or not."""
        up = behavior.reported_health(
            self.faults, self.reported_load(), applies=self.applies(self.faults.route)
        )
        send_json(request, 200 if up else 503, {"healthy": up})

    def send_load(self, request: BackendRequest) -> None:
        """Say how busy the backend is, truly or not."""
        load = self.reported_load()
        data = asdict(load) | {"slots": self.settings.slots}
        data["busy"] = round(load.busy * self.faults.load_factor)
        send_json(request, 200, data)

    def send_requests(self, request: BackendRequest) -> None:
        """Send the records of runs, or how often each id ran."""
        if b"ids" in request.args:
            send_json(request, 200, self.run_counts)
        else:
            send_json(request, 200, list(self.runs))

    def put_faults(self, request: BackendRequest) -> None:
        """Change the faults."""
        try:
            content: Any = request.content
            faults = behavior.parse_faults(content.read())
        except ValueError as error:
            send_json(request, 400, {"error": str(error)})
            return
        self.set_faults(faults)
        send_json(request, 200, asdict(faults))

    def send_faults(self, request: BackendRequest) -> None:
        """Send the faults in force."""
        send_json(request, 200, asdict(self.faults))


CONTROLS: dict[tuple[bytes, str], Callable[[Backend, BackendRequest], None]] = {
    (b"GET", "/healthz"): Backend.send_health,
    (b"GET", "/load"): Backend.send_load,
    (b"GET", "/standin/requests"): Backend.send_requests,
    (b"GET", "/standin/faults"): Backend.send_faults,
    (b"PUT", "/standin/faults"): Backend.put_faults,
}


__all__ = ["Backend", "BackendChannel", "BackendFactory", "BackendRequest"]
