"""HTTP server of the stand-in backend: connections, slots, queue and run records."""

from __future__ import annotations

import io
import json
import os
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


MAX_RUN_RECORDS = 100_000
CRASH_STATUS = 1
MAX_PAD_BYTES = 64 * 1024 * 1024
NOT_RUN_HEADER = b"Briarslip-Not-Run"
DEADLINE_HEADER = b"Briarslip-Deadline-Ms"
REQUEST_ID_HEADER = b"Request-Id"


class ResponseWriter(Protocol):
    """The methods of a Twisted request that write its response, with types."""

    def setResponseCode(self, code: int) -> None: ...  # noqa: N802 (Twisted)
    def setHeader(self, name: bytes, value: bytes) -> None: ...  # noqa: N802 (Twisted)
    def write(self, data: bytes) -> None: ...
    def finish(self) -> None: ...


def first_header(request: http.Request, name: bytes) -> str:
    """Return the first value of a header, empty if it is missing."""
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
    """Send a response; if ``truncate``, close after half of its body."""
    if request.is_disconnected:
        return
    writer: ResponseWriter = request
    writer.setResponseCode(code)
    writer.setHeader(b"Content-Type", b"application/json")
    writer.setHeader(b"Content-Length", b"%d" % len(body))
    for name, value in headers:
        writer.setHeader(name, value)
    if truncate:
        writer.write(body[: len(body) // 2])
        request.close()
        return
    writer.write(body)
    writer.finish()


def send_json(request: BackendRequest, code: int, data: object) -> None:
    """Send a JSON response."""
    send(request, code, json.dumps(data).encode())


class BackendRequest(http.Request):
    """One request, with the outcome chosen for it and its deadline timer."""

    is_disconnected = False
    outcome = Outcome.ANSWER
    slow_factor = 1.0
    timer: Any = None

    def process(self) -> None:
        """Pass the complete request to the backend."""
        self.channel.factory.backend.receive(self)

    def connectionLost(self, reason: object) -> None:
        """Remove the request from the queue; a running one goes on."""
        self.is_disconnected = True
        self.channel.factory.backend.cancel(self)
        base_connection_lost: Callable[[object], None] = super().connectionLost
        base_connection_lost(reason)

    def close(self) -> None:
        """Close the client's connection."""
        if not self.is_disconnected:
            channel: Any = self.channel
            channel.loseConnection()


class BackendChannel(http.HTTPChannel):
    """One client connection, without an idle timeout."""

    requestFactory = BackendRequest  # noqa: N815 (Twisted's name)
    timeOut = None  # noqa: N815 (Twisted's name)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Make room for another connection."""
        self.factory.open_connections -= 1
        base_connection_lost: Callable[[object], None] = super().connectionLost
        base_connection_lost(reason)


class BackendFactory(ServerFactory):
    """Accepts connections up to the limit and closes the others at once."""

    noisy = False

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.open_connections = 0

    def buildProtocol(self, addr: IAddress | None) -> Any:  # noqa: ARG002 (Twisted)
        """Return a channel, or None to close the connection."""
        if self.open_connections >= self.backend.settings.connections:
            return None
        self.open_connections += 1
        make_channel: Callable[[], Any] = BackendChannel
        channel = make_channel()
        channel.factory = self
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log."""


class Backend:
    """One backend: its slots, queue, faults and run records.

    ``last_report`` is the load last reported, with the time in seconds.
    """

    def __init__(
        self, settings: Settings, clock: Any, seed: int = 0, log_runs: bool = False
    ) -> None:
        self.settings = settings
        self.log_runs = log_runs
        self.clock = clock
        self.port = 0
        self.draining = False
        self.busy = 0
        self.queue: OrderedDict[BackendRequest, None] = OrderedDict()
        self.runs: deque[dict[str, Any]] = deque(maxlen=MAX_RUN_RECORDS)
        self.run_counts: Counter[str] = Counter()
        self.started_s: float = clock.seconds()
        self.last_report = (self.started_s, Load())
        self.set_faults(Faults(seed=seed))

    def set_faults(self, faults: Faults) -> None:
        """Set the faults and reseed their random numbers."""
        self.faults = faults
        self.faults_set_s: float = self.clock.seconds()
        self.rng = random.Random(faults.seed)

    def load(self) -> Load:
        """Return the current load."""
        return Load(self.busy, len(self.queue), self.draining)

    def reported_load(self) -> Load:
        """Return the load to report, up to ``report_lag_s`` of the faults old."""
        now_s = self.clock.seconds()
        if now_s - self.last_report[0] >= self.faults.report_lag_s:
            self.last_report = (now_s, self.load())
        return self.last_report[1]

    def faults_apply(self, path: str) -> bool:
        """Return whether the faults apply to this path now."""
        since_set_s = self.clock.seconds() - self.faults_set_s
        share = self.busy / self.settings.slots
        return behavior.fault_applies(self.faults, since_set_s, share, path)

    def receive(self, request: BackendRequest) -> None:
        """Answer a control endpoint, or choose the request's outcome and admit it."""
        path = request.path.decode("latin-1")
        endpoint = CONTROL_ENDPOINTS.get((request.method, path))
        if endpoint is not None:
            endpoint(self, request)
            return
        if self.faults_apply(path):
            request.outcome = behavior.choose_outcome(self.faults, self.rng)
            request.slow_factor = self.faults.slow_factor
        if request.outcome is Outcome.FREEZE:
            return
        if request.outcome is Outcome.CLOSE_BEFORE:
            request.close()
            return
        self.admit(request)

    def admit(self, request: BackendRequest) -> None:
        """Run, queue or shed one request; answer 400 if its deadline is malformed."""
        try:
            remaining_s = behavior.parse_deadline_s(
                first_header(request, DEADLINE_HEADER)
            )
        except ValueError:
            send_json(request, 400, {"error": "malformed deadline"})
            return
        admission = behavior.admit(self.settings, self.load(), remaining_s)
        if admission is Admission.SHED:
            self.shed(request)
        elif admission is Admission.RUN:
            self.run(request)
        else:
            self.queue[request] = None
            if remaining_s is not None:
                request.timer = self.clock.callLater(remaining_s, self.expire, request)

    def shed(self, request: BackendRequest) -> None:
        """Answer 503, with the header for requests that have not run."""
        send(request, 503, b'{"error": "shed"}', ((NOT_RUN_HEADER, b"shed"),))

    def expire(self, request: BackendRequest) -> None:
        """Shed a queued request whose deadline has passed."""
        request.timer = None
        del self.queue[request]
        self.shed(request)

    def cancel(self, request: BackendRequest) -> None:
        """Remove a queued request; one that runs is not affected."""
        self.queue.pop(request, None)
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    def run(self, request: BackendRequest) -> None:
        """Run one request in a free slot and record the run."""
        self.cancel(request)
        self.busy += 1
        now_s = self.clock.seconds()
        path = request.path.decode("latin-1")
        record = {
            "id": first_header(request, REQUEST_ID_HEADER),
            "method": request.method.decode("latin-1"),
            "path": path,
            "started": now_s,
            "finished": None,
        }
        self.runs.append(record)
        self.run_counts[record["id"]] += 1
        if self.log_runs:
            print(f"ran {record['id']}", flush=True)
        duration_s = behavior.service_time_s(
            self.settings, path, now_s - self.started_s, request.slow_factor
        )
        self.clock.callLater(duration_s, self.finish, request, record)

    def finish(self, request: BackendRequest, record: dict[str, Any]) -> None:
        """Free the slot of a request that has run, answer it and run the next one."""
        if record["path"] == self.settings.crash_path:
            os._exit(CRASH_STATUS)
        self.busy -= 1
        record["finished"] = self.clock.seconds()
        if request.outcome is Outcome.CLOSE_AFTER:
            request.close()
        elif not request.is_disconnected:
            self.answer(request, record)
        if self.queue and self.busy < self.settings.slots:
            self.run(next(iter(self.queue)))

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
        padded_size_bytes = min(int(size), MAX_PAD_BYTES) if size.isdigit() else 0
        body = json.dumps(data).encode().ljust(padded_size_bytes)
        send(request, 200, body, truncate=request.outcome is Outcome.TRUNCATE)

    def send_health(self, request: BackendRequest) -> None:
        """Send the health to report, true or not."""
        is_healthy = behavior.reported_health(
            self.faults,
            self.reported_load(),
            faults_apply=self.faults_apply(self.faults.route),
        )
        send_json(request, 200 if is_healthy else 503, {"healthy": is_healthy})

    def send_load(self, request: BackendRequest) -> None:
        """Send the load to report, true or not."""
        load = self.reported_load()
        data = asdict(load) | {"slots": self.settings.slots}
        data["busy"] = round(load.busy * self.faults.load_factor)
        send_json(request, 200, data)

    def send_requests(self, request: BackendRequest) -> None:
        """Send the run records, or with ``ids`` the number of runs by request ID."""
        if b"ids" in request.args:
            send_json(request, 200, self.run_counts)
        else:
            send_json(request, 200, list(self.runs))

    def put_faults(self, request: BackendRequest) -> None:
        """Set the faults from the request's JSON body."""
        try:
            content: Any = request.content
            faults = behavior.parse_faults(content.read())
        except ValueError as error:
            send_json(request, 400, {"error": str(error)})
            return
        self.set_faults(faults)
        send_json(request, 200, asdict(faults))

    def send_faults(self, request: BackendRequest) -> None:
        """Send the current faults."""
        send_json(request, 200, asdict(self.faults))


CONTROL_ENDPOINTS: dict[
    tuple[bytes, str], Callable[[Backend, BackendRequest], None]
] = {
    (b"GET", "/healthz"): Backend.send_health,
    (b"GET", "/load"): Backend.send_load,
    (b"GET", "/standin/requests"): Backend.send_requests,
    (b"GET", "/standin/faults"): Backend.send_faults,
    (b"PUT", "/standin/faults"): Backend.put_faults,
}


__all__ = ["Backend", "BackendChannel", "BackendFactory", "BackendRequest"]
