"""Callers: requests through the daemons, each recorded with its answers."""

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
MAX_TRIES = 3
KEYED_SHARE = 0.7
NOT_SENT = "not-sent"
CUT_OFF = "cut-off"


@dataclass(frozen=True)
class Try:
    """One sending of a request: through which daemon, and what came back.

    ``outcome`` is that of the answer, or not-sent when no connection could be
    made, or cut-off when the connection ended without a whole answer. ``kept``
    tells that the connection had served a request before, so that the daemon
    may have closed it while this one was on its way. ``port`` is the caller's.
    """

    daemon: str
    began: float
    ended: float
    outcome: str
    status: int
    whole: bool
    kept: bool = False
    port: int = 0


@dataclass
class Sent:
    """A request with all its tries."""

    id: str
    service: str
    method: str
    keyed: bool
    tries: list[Try] = field(default_factory=list)


class Caller(threading.Thread):
    """Sends one request after the other until stopped.

    It keeps its connections open until the other end closes them. ``daemons``
    holds by their callers' address the address to connect to.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        deployment: Deployment,
        daemons: Mapping[str, str],
    ) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.rng = random.Random(f"{seed} caller {number}")
        self.deployment = deployment
        self.daemons = daemons
        self.connections: dict[str, http.client.HTTPConnection] = {}
        self.sent: list[Sent] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Send until told to stop."""
        while not self.stopping.is_set():
            service = self.rng.choice(self.deployment.services)
            self._request(service)
            self.stopping.wait(self.rng.expovariate(1 / PAUSE_SECONDS))
        for connection in self.connections.values():
            connection.close()

    def _request(self, service: ServiceTraffic) -> None:
        keyed = service.method == "POST" and self.rng.random() < KEYED_SHARE
        name = f"{self.number}-{len(self.sent)}"
        sent = Sent(name, service.name, service.method, keyed)
        self.sent.append(sent)
        repeatable = keyed or service.method == "GET"
        for _ in range(MAX_TRIES if repeatable else 1):
            attempt = self._try(sent, service)
            sent.tries.append(attempt)
            if attempt.whole and attempt.status < 500:
                return
            self.stopping.wait(PAUSE_SECONDS)

    def _try(self, sent: Sent, service: ServiceTraffic) -> Try:
        daemon = self.rng.choice(sorted(self.daemons))
        began = time.monotonic()
        connection = self.connections.pop(daemon, None)
        kept = connection is not None
        port = 0

        def result(outcome: str, status: int = 0, whole: bool = False) -> Try:
            ended = time.monotonic()
            return Try(daemon, began, ended, outcome, status, whole, kept, port)

        if connection is None:
            connection = http.client.HTTPConnection(
                self.daemons[daemon], timeout=TIMEOUT_SECONDS
            )
            try:
                connection.connect()
            except OSError:
                return result(NOT_SENT)
        port = connection.sock.getsockname()[1]
        try:
            connection.request(
                service.method,
                f"/{service.name}/{sent.id}?size={service.body_size}",
                body=b"{}" if service.method == "POST" else None,
                headers=self._headers(sent),
            )
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return result(CUT_OFF)
        if connection.sock is not None:
            self.connections[daemon] = connection
        outcome = answer.getheader("Briarslip-Outcome", "")
        whole = answer.status >= 300 or _is_own_answer(body, sent, service)
        return result(outcome, answer.status, whole)

    def _headers(self, sent: Sent) -> dict[str, str]:
        headers = {"Request-Id": sent.id}
        if sent.keyed:
            headers["Idempotency-Key"] = f"key-{sent.id}"
        return headers


def _is_own_answer(body: bytes, sent: Sent, service: ServiceTraffic) -> bool:
    try:
        document = json.loads(body)
    except ValueError:
        return False
    return document["id"] == sent.id and len(body) >= service.body_size


def start_callers(
    seed: int, deployment: Deployment, daemons: Mapping[str, str]
) -> list[Caller]:
    """Start the callers."""
    callers = [Caller(n, seed, deployment, daemons) for n in range(CALLERS)]
    for caller in callers:
        caller.start()
    return callers


def stop_callers(callers: Sequence[Caller]) -> list[Sent]:
    """Stop the callers and return all that they sent."""
    for caller in callers:
        caller.stopping.set()
    for caller in callers:
        caller.join()
    return [sent for caller in callers for sent in caller.sent]


__all__ = ["CUT_OFF", "NOT_SENT", "Sent", "Try", "start_callers", "stop_callers"]
