"""Poller of the configuration that each daemon runs."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.mesh import get_json


if TYPE_CHECKING:
    from collections.abc import Sequence


POLL_SECONDS = 0.25


@dataclass(frozen=True)
class StatusSample:
    """A daemon's configuration version, digest and routes at a monotonic time."""

    daemon: str
    sampled_at: float
    version: int
    digest: str
    routes: tuple[str, ...]


class StatusPoller(threading.Thread):
    """Polls the status of every daemon in a thread; skips daemons without an answer."""

    def __init__(self, admin_addresses: Sequence[str]) -> None:
        super().__init__(daemon=True)
        self.admin_addresses = admin_addresses
        self.samples: list[StatusSample] = []
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stop_requested.wait(POLL_SECONDS):
            for admin_address in self.admin_addresses:
                self._poll(admin_address)

    def stop(self) -> list[StatusSample]:
        """Stop polling and return all samples."""
        self.stop_requested.set()
        self.join()
        return self.samples

    def _poll(self, admin_address: str) -> None:
        try:
            status = get_json(admin_address, "/v1/status", timeout=0.5)
        except (OSError, ValueError):
            return
        self.samples.append(
            StatusSample(
                admin_address,
                time.monotonic(),
                status["running_version"],
                status["digest"],
                tuple(status["routes"]),
            )
        )


__all__ = ["StatusPoller", "StatusSample"]
