"""One reactor in a thread of its own, for tests that need sockets."""

from __future__ import annotations

import threading
from functools import cache
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.threads import blockingCallFromThread


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine


T = TypeVar("T")
CALL_LIMIT_SECONDS = 20.0

_reactor: Any = reactor


@cache
def _start() -> None:
    # A reactor can't be run twice, so one daemon thread serves all tests.
    threading.Thread(
        target=_reactor.run,
        kwargs={"installSignalHandlers": False},
        name="test-reactor",
        daemon=True,
    ).start()


def run_in_reactor(function: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine function, given the reactor, to its end."""
    _start()

    def begin() -> Deferred[T]:
        running = Deferred.fromCoroutine(function(_reactor))
        return running.addTimeout(CALL_LIMIT_SECONDS, _reactor)

    # Its overloads do not take a generic function.
    call: Any = blockingCallFromThread
    result: T = call(_reactor, begin)
    return result


__all__ = ["run_in_reactor"]
