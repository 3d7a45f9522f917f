"""Reporting of rollouts on the platform, and learning from these reports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from twisted.internet.defer import Deferred

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.rendezvous import ranked
from briarslip.version.decision import RolloutId
from briarslip.version.evidence_codec import RolloutState
from briarslip.version.evidence_codec import from_milliseconds
from briarslip.version.record import DEADLINE_NOT_AGREED
from briarslip.version.rollout import State
from briarslip.version.rollout_document import DEFAULT_ROLLOUT_CODEC
from briarslip.version.rollout_document import decision_from_document
from briarslip.version.rollout_document import document_to_write
from briarslip.version.rollout_document import removed_document
from briarslip.version.rollout_document import rollout_document


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from result import Result

    from briarslip.process.rollouts.task import RolloutTask
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError
    from briarslip.version.rollout import RolloutStatus
    from briarslip.version.rollout_document import Document
    from briarslip.version.rollout_document import RolloutDocumentCodec


REPORT_SECONDS = 1.0
REPORT_JITTER_SECONDS = 1.0
SYNC_WAIT_SECONDS = 2.0
SYNC_READERS = 2
FINAL_WORDS = frozenset((State.DONE.value, State.DEADLINE_MISSED.value))
NOT_REPORTED = frozenset((State.SYNCING,))


class RolloutReporter:
    """Writes each rollout's state once, by compare-and-swap, until it stands.

    Only a service's analyzers write. A daemon that no peer can tell the
    decisions reads them here once.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        rng: random.Random,
        task: RolloutTask,
        configuration_version: Callable[[], int],
        codec: RolloutDocumentCodec = DEFAULT_ROLLOUT_CODEC,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.rng = rng
        self.task = task
        self.configuration_version = configuration_version
        self.codec = codec
        self.reported: dict[str, tuple[str, str]] = {}
        self.documents: dict[str, Document] = {}
        self.began = task.clock.monotonic()

    def start(self) -> None:
        """Begin the rounds."""
        delay = REPORT_SECONDS + self.rng.random() * REPORT_JITTER_SECONDS
        self.reactor.callLater(delay, self._begin_round)

    def _begin_round(self) -> None:
        Deferred.fromCoroutine(self.round()).addBoth(lambda _: self.start())

    async def round(self) -> None:
        """Report what is not reported yet."""
        if not self.task.tracker.decisions.is_synced:
            await self._sync()
            return
        names = {status.rollout.name for status in self.task.statuses}
        for status in self.task.statuses:
            if self._due(status):
                await self._report(status)
        for name in self.documents.keys() - names:
            await self._report_removed(name)

    def _due(self, status: RolloutStatus) -> bool:
        known = self.reported.get(status.rollout.name)
        new = known != (status.id.digest, status.state.value)
        return (
            new
            # Its report would stand in the way of that with the deadline.
            and status.rollout.deadline != DEADLINE_NOT_AGREED
            and status.state not in NOT_REPORTED
            and self.task.is_analyzer_for(status.rollout.service)
        )

    async def _report(self, status: RolloutStatus) -> None:
        tracker = self.task.tracker
        mine = rollout_document(
            status,
            tracker.decisions,
            tracker.state_since.get((status.id, status.state), self.task.clock.now()),
            self.configuration_version(),
            tracker.zones_without_members,
        )
        written = await self._write(mine)
        if isinstance(written, Err):
            emit(Event.STORE_FAILED, reason=written.err_value.reason)
            return
        self.documents[status.rollout.name] = written.ok_value
        self.reported[status.rollout.name] = (status.id.digest, status.state.value)
        self._learn((written.ok_value,), whole=False)

    async def _report_removed(self, name: str) -> None:
        version = self.configuration_version()
        document = removed_document(
            self.documents[name], self.task.clock.now(), version
        )
        written = await self._write(document)
        if not isinstance(written, Err):
            del self.documents[name]
            self.reported.pop(name, None)

    async def _write(self, mine: Document) -> Result[Document, StoreError]:
        """Return the document that stands on the platform in the end."""
        key = f"{self.codec.prefix}{mine['rollout']}"
        while True:
            found = await self.store.get(key)
            if isinstance(found, Err):
                return found
            item = found.ok_value
            current = self.codec.decode(item.value).unwrap_or(None) if item else None
            document = document_to_write(current, mine)
            if document is None:
                return Ok(current or mine)
            value = self.codec.encode(document)
            if value is None:
                return Ok(document)
            revision = item.mod_revision if item else 0
            swapped = await self.store.swap(key, value, revision)
            if isinstance(swapped, Err):
                return swapped
            if swapped.ok_value.swapped:
                emit(
                    Event.ROLLOUT_REPORTED,
                    rollout=document["rollout"],
                    state=document["state"],
                )
                return Ok(document)

    async def _sync(self) -> None:
        """Read the decisions when no peer has told them for a while."""
        waited = self.task.clock.monotonic() - self.began
        if waited < SYNC_WAIT_SECONDS or not self._reads():
            return
        found = await self.store.range(self.codec.prefix)
        if isinstance(found, Err):
            emit(Event.STORE_FAILED, reason=found.err_value.reason)
            return
        decoded = (self.codec.decode(item.value) for item in found.ok_value.items)
        documents = tuple(d.ok_value for d in decoded if isinstance(d, Ok))
        self._learn(documents, whole=True)

    def _reads(self) -> bool:
        zone = self.task.availability_zone
        near = (m.address for m in self.task.members() if m.availability_zone == zone)
        return self.task.own_address in ranked(near, "sync")[:SYNC_READERS]

    def _learn(self, documents: tuple[Document, ...], whole: bool) -> None:
        """Take over decisions, starts and terminal words of the platform."""
        for document in documents:
            if document["state"] in FINAL_WORDS:
                rollout_id = RolloutId(document["rollout"], document["digest"])
                state = State(document["state"])
                self.task.tracker.finished[rollout_id] = state
        decisions = (decision_from_document(document) for document in documents)
        started = tuple(
            (RolloutId(d["rollout"], d["digest"]), from_milliseconds(d["started_ms"]))
            for d in documents
            if d["started_ms"]
        )
        self.task.take_known(
            RolloutState(whole, tuple(d for d in decisions if d), started, ())
        )


__all__ = ["RolloutReporter"]
