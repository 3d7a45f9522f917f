"""Shared parts of the commands: the reactor, clients, output and exit codes."""

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
EXIT_INVALID_INPUT = 2
EXIT_CONFLICT = 3
EXIT_NO_ANSWER = 4
EXIT_REJECTED = 5
EXIT_TIMED_OUT = 6
DAEMON_TIMEOUT_SECONDS = 3.0

T = TypeVar("T")


class ReactorStoppedError(Exception):
    """The reactor stopped before the coroutine finished."""


def run_in_reactor(coroutine_function: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on the reactor and return its result.

    The reactor can run only once per process. An exception of the coroutine is
    raised again.
    """
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    outcome: list[Any] = []

    def finish(value: Any) -> None:
        outcome.append(value)
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(coroutine_function(reactor)).addBoth(finish)

    reactor.callWhenRunning(start)
    reactor.run()
    if not outcome:
        raise ReactorStoppedError
    value = outcome[0]
    if isinstance(value, Failure):
        value.raiseException()
    result: T = value
    return result


async def sleep(reactor: Any, seconds: float) -> None:
    """Sleep for a time of the reactor's clock."""
    from twisted.internet.task import deferLater

    await deferLater(reactor, seconds)


def store_client(reactor: Any, address: str) -> EtcdGatewayClient:
    """Return a client of the store at ``IP:PORT``, or exit if that is no address."""
    from briarslip.process.store.etcd_gateway import EtcdGatewayClient

    host, port = address_or_exit(address)
    return EtcdGatewayClient.from_address(reactor, host, port)


def exit_with_error(status: int, message: str) -> NoReturn:
    """Print an error message to stderr and exit."""
    print(f"briarslip: {message}", file=sys.stderr)
    raise SystemExit(status)


def address_or_exit(text: str) -> Address:
    """Parse ``IP:PORT``, or exit with an error."""
    result = parse_address(text)
    if isinstance(result, Err):
        exit_with_error(EXIT_INVALID_INPUT, result.err_value)
    return result.ok_value


def print_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def query_daemons(addresses: Iterable[str], path: str) -> list[Any]:
    """Read an admin endpoint of each daemon, or exit if one does not answer."""
    parsed = [address_or_exit(text) for text in addresses]
    return answers_or_exit(
        run_in_reactor(lambda reactor: query_all(reactor, parsed, path))
    )


async def query_all(
    reactor: Any, daemons: Iterable[Address], path: str
) -> list[Result[Any, str]]:
    """Read an admin endpoint of each daemon, one after the other."""
    return [await query_daemon(reactor, daemon, path) for daemon in daemons]


def answers_or_exit(results: list[Result[Any, str]]) -> list[Any]:
    """Return the answers, or exit with the errors of the daemons without one."""
    errors = [result.err_value for result in results if isinstance(result, Err)]
    if errors:
        exit_with_error(EXIT_NO_ANSWER, "; ".join(errors))
    return [result.unwrap() for result in results]


async def query_daemon(reactor: Any, daemon: Address, path: str) -> Result[Any, str]:
    """Read an admin endpoint of a daemon; the error names the daemon and the cause."""
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
    "EXIT_CONFLICT",
    "EXIT_FAILED",
    "EXIT_INVALID_INPUT",
    "EXIT_NO_ANSWER",
    "EXIT_REJECTED",
    "EXIT_TIMED_OUT",
    "ReactorStoppedError",
    "address_or_exit",
    "answers_or_exit",
    "exit_with_error",
    "print_json",
    "query_all",
    "query_daemons",
    "run_in_reactor",
    "sleep",
    "store_client",
]
