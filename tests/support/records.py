"""Helpers that create and write records in tests."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from briarslip.process.distribution.change_writer import RecordWrite
from briarslip.process.distribution.change_writer import write_change
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.snapshot import Origin
from briarslip.version.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.distribution.change_writer import ChangeError
    from briarslip.process.distribution.change_writer import WrittenChange
    from briarslip.process.store.client import StoreClient
    from standins.simulated_store import SimulatedStore


def service(name: str) -> RecordWrite:
    """Return the write of a service record in schema 1."""
    return RecordWrite(RecordKey("service", name, 1), {})


def route(name: str, of: str, path: str = "", **fields: str) -> RecordWrite:
    """Return the write of a route record in schema 1 for the service ``of``.

    The path prefix is the route's name by default.
    """
    values = {"service": of, "path_prefix": path or f"/{name}", **fields}
    return RecordWrite(RecordKey("route", name, 1), values)


def removed(record: RecordWrite) -> RecordWrite:
    """Return the removal of the record that another write sets."""
    return RecordWrite(record.key, None)


def snapshot_of(version: int, *writes: RecordWrite) -> Snapshot:
    """Return a snapshot of a version with the written records."""
    records = {w.key: Record(w.key, w.fields) for w in writes if w.fields is not None}
    return Snapshot(version, records, {w.key: Origin("c", 1) for w in writes})


def ids() -> Callable[[], str]:
    """Return a function that returns sequential, reproducible ids."""
    numbers = count(1)
    return lambda: f"id-{next(numbers):04}"


class Operator:
    """Writes changes through a store client."""

    def __init__(
        self,
        world: SimulatedStore,
        new_id: Callable[[], str],
        client: StoreClient | None = None,
    ) -> None:
        self.world = world
        self.new_id = new_id
        self.client = client or world.client

    def try_apply(self, *writes: RecordWrite) -> Result[WrittenChange, ChangeError]:
        """Write records as one change; return its outcome."""
        return self.world.run(write_change(self.client, writes, self.new_id))

    def apply(self, *writes: RecordWrite) -> str:
        """Write records as one change and return its id."""
        return self.try_apply(*writes).unwrap().change


def names(records: Mapping[RecordKey, object]) -> list[str]:
    """Return the sorted kinds and names of records, separated by a space."""
    return sorted(f"{key.kind} {key.name}" for key in records)


__all__ = ["Operator", "ids", "names", "removed", "route", "service", "snapshot_of"]
