"""Tests of ``briarslip rollouts``: the state that it prints."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from briarslip.console.commands.rollouts import format_rollout
from briarslip.console.commands.rollouts import read_rollouts
from briarslip.version.rollout_document import ROLLOUT_STATUS_PREFIX
from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient


if TYPE_CHECKING:
    from result import Result


DOCUMENT = {
    "rollout": "a",
    "digest": "0",
    "service": "holds",
    "version": "2",
    "deadline": "2026-01-01T00:00:00+00:00",
    "state": "rolled_back",
    "reason": "route holds: failure_share 0.5 against 0.01",
    "since": "2025-12-31T23:00:00.000+00:00",
    "after": "done",
    "after_since": "2025-12-31T22:00:00.000+00:00",
    "started_ms": 0,
    "configuration_version": 3,
    "zones_not_heard": ["penang"],
}


class RolloutsTest(unittest.TestCase):
    """The stored states of rollouts, or the error that the store is down."""

    def setUp(self) -> None:
        clock = Clock()
        self.store = InMemoryStore(clock)
        self.client = LocalStoreClient(self.store, clock.callLater)

    def read(self) -> Result[list[dict[str, Any]], str]:
        found: list[Any] = []
        Deferred.fromCoroutine(read_rollouts(self.client)).addBoth(found.append)
        result: Result[list[dict[str, Any]], str] = found[0]
        return result

    def put(self, key: str, body: Any) -> None:
        self.store.swap(key, json.dumps(body).encode(), 0, 0)

    def test_every_rollout_record_has_a_line(self) -> None:
        self.put(f"{ROLLOUT_STATUS_PREFIX}a", DOCUMENT)
        self.put(f"{ROLLOUT_STATUS_PREFIX}broken", {"rollout": "broken"})
        self.put("records/rollout/a/1", {"fields": {}})
        self.put("records/rollout/b/1", {"fields": {}})
        self.put("records/rollout/gone/1", {"fields": None})
        lines = [format_rollout(document) for document in self.read().unwrap()]
        self.assertEqual(len(lines), 2)
        for part in (
            "rolled_back",
            "holds 2",
            "after done since 2025-12-31T22:00",
            "route holds: failure_share 0.5 against 0.01",
            "no report from zones: penang",
        ):
            self.assertIn(part, lines[0])
        self.assertIn("no daemon has reported it", lines[1])

    def test_store_outage_is_reported(self) -> None:
        self.store.outage = "close"
        self.assertIn("does not answer", self.read().unwrap_err())
