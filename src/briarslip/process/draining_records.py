"""Records in the store of the backend servers beside this daemon that drain.

Peers remember the same, but not after all of them were restarted with this daemon.
"""

from __future__ import annotations

import re
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.retrying_job import RetryingJob


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.store.client import StoreClient


RECORD_PREFIX = "draining/"
RECORD_NAME = re.compile(r"([0-9]{1,16})-([0-9]{1,16})")
# Longer than a draining server lives and than its reports are delayed.
RECORD_TTL = timedelta(minutes=2)


class DrainingRecords:
    """Writes which servers drain, and reads it back after a restart.

    The key of a record has the start of the server and the number of the report by
    which it began to drain. ``on_draining_before`` is called with each server that an
    earlier process at this address recorded. Records end with their lease.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        store: StoreClient,
        own_address: Address,
        on_draining_before: Callable[[DrainingServer], None],
    ) -> None:
        self.store = store
        self.prefix = f"{RECORD_PREFIX}{own_address}/"
        self.on_draining_before = on_draining_before
        self.unwritten: list[DrainingServer] = []
        self.loading = RetryingJob(reactor, rng, self._load)
        self.writing = RetryingJob(reactor, rng, self._write)

    def load(self) -> None:
        """Read the records of an earlier process."""
        self.loading.run()

    def record(self, server: DrainingServer) -> None:
        """Record that a server drains."""
        self.unwritten.append(server)
        self.writing.run()

    async def _load(self) -> bool:
        reply = await self.store.range(self.prefix)
        if isinstance(reply, Err):
            emit(Event.STORE_FAILED, reason=reply.err_value.reason)
            return False
        for item in reply.ok_value.items:
            match = RECORD_NAME.fullmatch(item.key.removeprefix(self.prefix))
            if match is None:
                reason = f"expected the key {self.prefix}INCARNATION-SEQUENCE"
                emit(Event.RECORD_UNREADABLE, key=item.key, reason=reason)
            else:
                self.on_draining_before(DrainingServer(int(match[1]), int(match[2])))
        return True

    async def _write(self) -> bool:
        while self.unwritten:
            if not await self._write_record(self.unwritten[0]):
                return False
            del self.unwritten[0]
        return True

    async def _write_record(self, server: DrainingServer) -> bool:
        """Create a record; return whether it is in the store."""
        lease = await self.store.grant_lease(RECORD_TTL)
        if isinstance(lease, Err):
            emit(Event.STORE_FAILED, reason=lease.err_value.reason)
            return False
        key = f"{self.prefix}{server.incarnation}-{server.sequence}"
        written = await self.store.swap(key, b"", 0, lease.ok_value)
        if isinstance(written, Err):
            emit(Event.STORE_FAILED, reason=written.err_value.reason)
            return False
        return True


__all__ = ["RECORD_PREFIX", "DrainingRecords"]
