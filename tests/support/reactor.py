"""The reactor in a thread of its own, for tests that need sockets."""

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
COROUTINE_TIMEOUT_SECONDS = 20.0

_reactor: Any = reactor


@cache
def _start_reactor() -> None:
    # The reactor cannot run twice in a process, so one thread runs it for all tests.
    threading.Thread(
        target=_reactor.run,
        kwargs={"installSignalHandlers": False},
        name="test-reactor",
        daemon=True,
    ).start()


def run_in_reactor(function: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine function, which gets the reactor, and return its result.

    The coroutine is cancelled after ``COROUTINE_TIMEOUT_SECONDS``.
    """
    _start_reactor()

    def start_coroutine() -> Deferred[T]:
        running = Deferred.fromCoroutine(function(_reactor))
        return running.addTimeout(COROUTINE_TIMEOUT_SECONDS, _reactor)

    # The type hints of blockingCallFromThread do not accept a generic function.
    call: Any = blockingCallFromThread
    result: T = call(_reactor, start_coroutine)
    return result


__all__ = ["run_in_reactor"]
