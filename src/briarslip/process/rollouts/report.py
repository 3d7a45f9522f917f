"""Reports of rollouts in the store: writes them, and reads them back for a sync."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from twisted.internet.defer import Deferred

from briarslip.process.error_log import record_failure
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.rendezvous import rank_by_hash
from briarslip.version.decision import RolloutId
from briarslip.version.evidence_codec import DecisionsState
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


REPORT_INTERVAL_SECONDS = 1.0
REPORT_JITTER_SECONDS = 1.0
SYNC_DELAY_SECONDS = 2.0
SYNC_READERS = 2
TERMINAL_STATES_WITHOUT_DECISION = frozenset(
    (State.DONE.value, State.DEADLINE_MISSED.value)
)
UNREPORTED_STATES = frozenset((State.SYNCING,))


class RolloutReporter:
    """Writes the state of each rollout to the store by compare-and-swap.

    Each state is written once; a failed write is repeated in the next round. Only
    the analyzers of a service write. A daemon that has received the decisions from
    no peer syncs them from the reports in the store.
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
        self.reported_states: dict[str, tuple[str, str, int]] = {}
        self.written_documents: dict[str, Document] = {}
        self.started_at = task.clock.monotonic()

    def start(self) -> None:
        """Schedule the next round."""
        delay = REPORT_INTERVAL_SECONDS + self.rng.random() * REPORT_JITTER_SECONDS
        self.reactor.callLater(delay, self._start_round)

    def _start_round(self) -> None:
        round_ = Deferred.fromCoroutine(self.run_round())
        round_.addErrback(record_failure)
        round_.addCallback(lambda _: self.start())

    async def run_round(self) -> None:
        """Report states and removals that are not yet in the store; sync first."""
        if not self.task.tracker.decisions.is_synced:
            await self._sync()
            return
        names = {status.rollout.name for status in self.task.statuses}
        for status in self.task.statuses:
            if self._is_due(status):
                await self._report(status)
        for name in self.written_documents.keys() - names:
            await self._report_removed(name)

    def _is_due(self, status: RolloutStatus) -> bool:
        reported = self.reported_states.get(status.rollout.name)
        return (
            # An order that was written again after the store lost it has another
            # revision: the report on it may be lost too.
            reported != _reported_state(status)
            # The agreed deadline changes the digest but not the configuration version:
            # an earlier report would keep this rollout's later ones from the store.
            and status.rollout.deadline != DEADLINE_NOT_AGREED
            and status.state not in UNREPORTED_STATES
            and self.task.is_analyzer_for(status.rollout.service)
        )

    async def _report(self, status: RolloutStatus) -> None:
        tracker = self.task.tracker
        own_document = rollout_document(
            status,
            tracker.decisions,
            tracker.state_since.get((status.id, status.state), self.task.clock.now()),
            self.configuration_version(),
            tracker.zones_without_members,
        )
        written = await self._write(own_document)
        if isinstance(written, Err):
            emit(Event.STORE_FAILED, reason=written.err_value.reason)
            return
        self.written_documents[status.rollout.name] = written.ok_value
        self.reported_states[status.rollout.name] = _reported_state(status)
        self._merge_documents((written.ok_value,), is_complete=False)

    async def _report_removed(self, name: str) -> None:
        version = self.configuration_version()
        document = removed_document(
            self.written_documents[name], self.task.clock.now(), version
        )
        written = await self._write(document)
        if isinstance(written, Err):
            emit(Event.STORE_FAILED, reason=written.err_value.reason)
            return
        del self.written_documents[name]
        self.reported_states.pop(name, None)

    async def _write(self, own_document: Document) -> Result[Document, StoreError]:
        """Write a document unless the store has one as recent; return the result."""
        key = f"{self.codec.prefix}{own_document['rollout']}"
        while True:
            reply = await self.store.get(key)
            if isinstance(reply, Err):
                return reply
            item = reply.ok_value
            current = self.codec.decode(item.value).unwrap_or(None) if item else None
            document = document_to_write(current, own_document)
            if document is None:
                return Ok(current or own_document)
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
        """Read the decisions from the store after ``SYNC_DELAY_SECONDS`` without them.

        Only ``SYNC_READERS`` daemons of each availability zone read.
        """
        waited_seconds = self.task.clock.monotonic() - self.started_at
        if waited_seconds < SYNC_DELAY_SECONDS or not self._is_sync_reader():
            return
        reply = await self.store.range(self.codec.prefix)
        if isinstance(reply, Err):
            emit(Event.STORE_FAILED, reason=reply.err_value.reason)
            return
        decoded = (self.codec.decode(item.value) for item in reply.ok_value.items)
        documents = tuple(d.ok_value for d in decoded if isinstance(d, Ok))
        self._merge_documents(documents, is_complete=True)

    def _is_sync_reader(self) -> bool:
        zone = self.task.availability_zone
        zone_members = (
            m.address for m in self.task.members() if m.availability_zone == zone
        )
        return (
            self.task.own_address in rank_by_hash(zone_members, "sync")[:SYNC_READERS]
        )

    def _merge_documents(
        self, documents: tuple[Document, ...], is_complete: bool
    ) -> None:
        """Merge the decisions, starts and terminal states of documents in the store.

        ``is_complete`` is true if these are the documents of all rollouts.
        """
        for document in documents:
            if document["state"] in TERMINAL_STATES_WITHOUT_DECISION:
                rollout_id = RolloutId(document["rollout"], document["digest"])
                state = State(document["state"])
                self.task.tracker.terminal_states[rollout_id] = state
        decisions = (decision_from_document(document) for document in documents)
        started = tuple(
            (RolloutId(d["rollout"], d["digest"]), from_milliseconds(d["started_ms"]))
            for d in documents
            if d["started_ms"]
        )
        self.task.merge_stored(
            DecisionsState(is_complete, tuple(d for d in decisions if d), started, ())
        )


def _reported_state(status: RolloutStatus) -> tuple[str, str, int]:
    return (status.id.digest, status.state.value, status.rollout.order)


__all__ = ["RolloutReporter"]
