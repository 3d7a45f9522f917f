"""Callers that send requests through the daemons and record the answers."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from bench.chaos.deployment import Deployment
    from bench.chaos.deployment import ServiceTraffic


CALLERS = 8
PAUSE_SECONDS = 0.05
TIMEOUT_SECONDS = 10.0
MAX_ATTEMPTS = 3
IDEMPOTENCY_KEY_SHARE = 0.7
NOT_SENT = "not-sent"
CUT_OFF = "cut-off"


@dataclass(frozen=True)
class CallerAttempt:
    """One attempt of a caller to send a request through a daemon, and its result.

    ``outcome`` is that of the answer, or not-sent if no connection could be made, or
    cut-off if the connection ended before the answer was complete. Times are
    monotonic, in seconds. If ``reused_connection``, the connection had served a
    request before, so the daemon may have closed it while this one was sent.
    """

    daemon: str
    started_at: float
    ended_at: float
    outcome: str
    status: int
    is_complete: bool
    reused_connection: bool = False
    caller_port: int = 0


@dataclass
class SentRequest:
    """A request with all its attempts."""

    id: str
    service: str
    method: str
    has_idempotency_key: bool
    attempts: list[CallerAttempt] = field(default_factory=list)


class Caller(threading.Thread):
    """Sends one request after the other until stopped.

    It reuses its connections until the other end closes them. ``daemon_addresses``
    maps each daemon's address for callers to the address of the relay before it.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        deployment: Deployment,
        daemon_addresses: Mapping[str, str],
    ) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.rng = random.Random(f"{seed} caller {number}")
        self.deployment = deployment
        self.daemon_addresses = daemon_addresses
        self.connections: dict[str, http.client.HTTPConnection] = {}
        self.sent: list[SentRequest] = []
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Send requests until stopped."""
        while not self.stop_requested.is_set():
            service = self.rng.choice(self.deployment.services)
            self._send(service)
            self.stop_requested.wait(self.rng.expovariate(1 / PAUSE_SECONDS))
        for connection in self.connections.values():
            connection.close()

    def _send(self, service: ServiceTraffic) -> None:
        has_idempotency_key = (
            service.method == "POST" and self.rng.random() < IDEMPOTENCY_KEY_SHARE
        )
        request_id = f"{self.number}-{len(self.sent)}"
        sent = SentRequest(
            request_id, service.name, service.method, has_idempotency_key
        )
        self.sent.append(sent)
        is_retryable = has_idempotency_key or service.method == "GET"
        for _ in range(MAX_ATTEMPTS if is_retryable else 1):
            attempt = self._attempt(sent, service)
            sent.attempts.append(attempt)
            if attempt.is_complete and attempt.status < 500:
                return
            self.stop_requested.wait(PAUSE_SECONDS)

    def _attempt(self, sent: SentRequest, service: ServiceTraffic) -> CallerAttempt:
        daemon = self.rng.choice(sorted(self.daemon_addresses))
        started_at = time.monotonic()
        connection = self.connections.pop(daemon, None)
        reused_connection = connection is not None
        caller_port = 0

        def make_attempt(
            outcome: str, status: int = 0, is_complete: bool = False
        ) -> CallerAttempt:
            ended_at = time.monotonic()
            return CallerAttempt(
                daemon,
                started_at,
                ended_at,
                outcome,
                status,
                is_complete,
                reused_connection,
                caller_port,
            )

        if connection is None:
            connection = http.client.HTTPConnection(
                self.daemon_addresses[daemon], timeout=TIMEOUT_SECONDS
            )
            try:
                connection.connect()
            except OSError:
                return make_attempt(NOT_SENT)
        caller_port = connection.sock.getsockname()[1]
        try:
            connection.request(
                service.method,
                f"/{service.name}/{sent.id}?size={service.response_bytes}",
                body=b"{}" if service.method == "POST" else None,
                headers=self._headers(sent),
            )
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return make_attempt(CUT_OFF)
        if connection.sock is not None:
            self.connections[daemon] = connection
        outcome = response.getheader("Briarslip-Outcome", "")
        is_complete = response.status >= 300 or _is_own_answer(body, sent, service)
        return make_attempt(outcome, response.status, is_complete)

    def _headers(self, sent: SentRequest) -> dict[str, str]:
        headers = {"Request-Id": sent.id}
        if sent.has_idempotency_key:
            headers["Idempotency-Key"] = f"key-{sent.id}"
        return headers


def _is_own_answer(body: bytes, sent: SentRequest, service: ServiceTraffic) -> bool:
    try:
        document = json.loads(body)
    except ValueError:
        return False
    return document["id"] == sent.id and len(body) >= service.response_bytes


def start_callers(
    seed: int, deployment: Deployment, daemon_addresses: Mapping[str, str]
) -> list[Caller]:
    """Start the callers."""
    callers = [Caller(n, seed, deployment, daemon_addresses) for n in range(CALLERS)]
    for caller in callers:
        caller.start()
    return callers


def stop_callers(callers: Sequence[Caller]) -> list[SentRequest]:
    """Stop the callers and return all requests they sent."""
    for caller in callers:
        caller.stop_requested.set()
    for caller in callers:
        caller.join()
    return [sent for caller in callers for sent in caller.sent]


__all__ = [
    "CUT_OFF",
    "NOT_SENT",
    "CallerAttempt",
    "SentRequest",
    "start_callers",
    "stop_callers",
]
