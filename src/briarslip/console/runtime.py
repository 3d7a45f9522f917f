"""What every operator command needs: the platform, the daemon, one run."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from briarslip.address import parse_address


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.store.etcd_gateway import EtcdGatewayClient


EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_LOST_RACE = 3
EXIT_NO_ANSWER = 4
EXIT_REFUSED = 5
EXIT_TIMED_OUT = 6
DAEMON_TIMEOUT_SECONDS = 3.0

T = TypeVar("T")


class InterruptedRunError(Exception):
    """The reactor was stopped before the work was done."""


def run(work: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on the reactor, once per process; return its value."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    outcome: list[Any] = []

    def finish(value: Any) -> None:
        outcome.append(value)
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(work(reactor)).addBoth(finish)

    reactor.callWhenRunning(start)
    reactor.run()
    if not outcome:
        raise InterruptedRunError
    value = outcome[0]
    if isinstance(value, Failure):
        value.raiseException()
    result: T = value
    return result


async def pause(reactor: Any, seconds: float) -> None:
    """Wait on the reactor's clock."""
    from twisted.internet.task import deferLater

    await deferLater(reactor, seconds)


def platform_client(reactor: Any, address: str) -> EtcdGatewayClient:
    """Return a client of the platform at ``IP:PORT``."""
    from briarslip.process.store.etcd_gateway import EtcdGatewayClient

    host, port = read_address(address)
    return EtcdGatewayClient.from_address(reactor, host, port)


def fail(status: int, message: str) -> NoReturn:
    """Print one line of error and exit."""
    print(f"briarslip: {message}", file=sys.stderr)
    raise SystemExit(status)


def read_address(text: str) -> Address:
    """Read an address option or exit."""
    result = parse_address(text)
    if isinstance(result, Err):
        fail(EXIT_BAD_INPUT, result.err_value)
    return result.ok_value


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def ask_daemons(addresses: Iterable[str], path: str) -> list[Any]:
    """Return what each daemon answers at a path, or exit naming the silent."""
    parsed = [read_address(text) for text in addresses]
    return answers_or_fail(run(lambda reactor: ask_all(reactor, parsed, path)))


async def ask_all(
    reactor: Any, daemons: Iterable[Address], path: str
) -> list[Result[Any, str]]:
    """Read an admin endpoint of each daemon."""
    return [await ask_daemon(reactor, daemon, path) for daemon in daemons]


def answers_or_fail(results: list[Result[Any, str]]) -> list[Any]:
    """Return the answers, or exit naming the daemons that gave none."""
    silent = [result.err_value for result in results if isinstance(result, Err)]
    if silent:
        fail(EXIT_NO_ANSWER, "; ".join(silent))
    return [result.unwrap() for result in results]


async def ask_daemon(reactor: Any, daemon: Address, path: str) -> Result[Any, str]:
    """Read one of a daemon's admin endpoints; the error is a reason."""
    from twisted.internet.defer import TimeoutError as DeferredTimeoutError
    from twisted.internet.error import ConnectError
    from twisted.internet.error import ConnectionClosed
    from twisted.web.client import Agent
    from twisted.web.client import ResponseFailed
    from twisted.web.client import readBody

    agent = Agent(reactor, connectTimeout=DAEMON_TIMEOUT_SECONDS)
    url = f"http://{daemon}{path}".encode()
    try:
        request = agent.request(b"GET", url)
        response = await request.addTimeout(DAEMON_TIMEOUT_SECONDS, reactor)
        body = await readBody(response).addTimeout(DAEMON_TIMEOUT_SECONDS, reactor)
        return Ok(json.loads(body))
    except (
        ConnectError,
        ConnectionClosed,
        DeferredTimeoutError,
        ResponseFailed,
        ValueError,
    ) as error:
        reason = str(error) or type(error).__name__
        return Err(f"daemon {daemon} does not answer: {reason}")


__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_FAILED",
    "EXIT_LOST_RACE",
    "EXIT_NO_ANSWER",
    "EXIT_REFUSED",
    "EXIT_TIMED_OUT",
    "InterruptedRunError",
    "answers_or_fail",
    "ask_all",
    "ask_daemons",
    "fail",
    "pause",
    "platform_client",
    "print_json",
    "read_address",
    "run",
]
