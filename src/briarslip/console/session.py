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

    from briarslip.address import Address


EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_LOST_RACE = 3
EXIT_NO_ANSWER = 4
DAEMON_TIMEOUT_SECONDS = 3.0

T = TypeVar("T")


def run(work: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on the reactor, once per process, and return its value."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    outcome: list[Any] = []

    def start() -> None:
        deferred = Deferred.fromCoroutine(work(reactor))
        deferred.addBoth(outcome.append)
        deferred.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    value = outcome[0] if outcome else fail(EXIT_FAILED, "interrupted")
    if hasattr(value, "raiseException"):
        value.raiseException()
    result: T = value
    return result


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


async def ask_daemon(reactor: Any, daemon: Address, path: str) -> Result[Any, str]:
    """Read one of a daemon's admin endpoints; the error is a reason."""
    from twisted.internet.error import ConnectError
    from twisted.web.client import Agent
    from twisted.web.client import ResponseFailed
    from twisted.web.client import readBody

    agent = Agent(reactor, connectTimeout=DAEMON_TIMEOUT_SECONDS)
    try:
        response = await agent.request(b"GET", f"http://{daemon}{path}".encode())
        body = await readBody(response)
    except (ConnectError, ResponseFailed) as error:
        return Err(f"daemon {daemon} does not answer: {error}")
    return Ok(json.loads(body))


__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_FAILED",
    "EXIT_LOST_RACE",
    "EXIT_NO_ANSWER",
    "ask_daemon",
    "fail",
    "print_json",
    "read_address",
    "run",
]
