"""A platform in virtual time for tests of coroutines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient


if TYPE_CHECKING:
    from collections.abc import Coroutine


T = TypeVar("T")
STEP_SECONDS = 0.25
MAX_STEPS = 400


class SimulatedStore:
    """A clock, a platform stand-in on it, and a client of that."""

    def __init__(self, history_limit: int = 10_000) -> None:
        self.clock: Any = Clock()
        self.store = InMemoryStore(self.clock, history_limit)
        self.client = LocalStoreClient(self.store, self.clock.callLater)

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end, advancing the clock as needed."""
        done: list[Any] = []
        Deferred.fromCoroutine(work).addBoth(done.append)
        for _ in range(MAX_STEPS):
            if done:
                break
            self.clock.advance(STEP_SECONDS)
        if hasattr(done[0], "raiseException"):
            done[0].raiseException()
        value: T = done[0]
        return value


class HookedClient:
    """A client that runs hooks before some of its swaps; a hook may raise."""

    def __init__(self, world: SimulatedStore, hooks: dict[int, Any]) -> None:
        self.world = world
        self.hooks = hooks
        self.swaps = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.world.client, name)

    async def swap(self, *arguments: Any) -> Any:
        """Swap after the hook for this one."""
        self.swaps += 1
        self.hooks.get(self.swaps, lambda: None)()
        return await self.world.client.swap(*arguments)


__all__ = ["HookedClient", "SimulatedStore"]
