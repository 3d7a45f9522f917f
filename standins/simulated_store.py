"""An in-memory store in virtual time, for tests of coroutines."""

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
    """A manual clock, an in-memory store that uses it, and a client of the store."""

    def __init__(self, history_limit: int = 10_000) -> None:
        self.clock: Any = Clock()
        self.store = InMemoryStore(self.clock, history_limit)
        self.client = LocalStoreClient(self.store, self.clock.callLater)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Advance the clock until a coroutine is done; return its result."""
        results: list[Any] = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        for _ in range(MAX_STEPS):
            if results:
                break
            self.clock.advance(STEP_SECONDS)
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        value: T = results[0]
        return value


class HookedClient:
    """A store client that calls hooks before some of its swaps.

    ``hooks`` holds a function by the number of the swap, from 1; it may raise.
    """

    def __init__(self, simulated_store: SimulatedStore, hooks: dict[int, Any]) -> None:
        self.simulated_store = simulated_store
        self.hooks = hooks
        self.swaps = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.simulated_store.client, name)

    async def swap(self, *arguments: Any) -> Any:
        """Call the hook for this swap, if any, then swap."""
        self.swaps += 1
        self.hooks.get(self.swaps, lambda: None)()
        return await self.simulated_store.client.swap(*arguments)


__all__ = ["HookedClient", "SimulatedStore"]
