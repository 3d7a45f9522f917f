"""What each daemon runs, read again and again."""

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
class Reading:
    """A daemon's version, digest and routes at a time."""

    daemon: str
    at: float
    version: int
    digest: str
    routes: tuple[str, ...]


class Observer(threading.Thread):
    """Polls every daemon's status."""

    def __init__(self, admins: Sequence[str]) -> None:
        super().__init__(daemon=True)
        self.admins = admins
        self.readings: list[Reading] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Read until told to stop."""
        while not self.stopping.wait(POLL_SECONDS):
            for admin in self.admins:
                self._read(admin)

    def stop(self) -> list[Reading]:
        """Stop and return every reading."""
        self.stopping.set()
        self.join()
        return self.readings

    def _read(self, admin: str) -> None:
        try:
            status = get_json(admin, "/v1/status", timeout=0.5)
        except (OSError, ValueError):
            return
        self.readings.append(
            Reading(
                admin,
                time.monotonic(),
                status["running_version"],
                status["digest"],
                tuple(status["routes"]),
            )
        )


__all__ = ["Observer", "Reading"]
