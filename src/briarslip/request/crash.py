"""Crashes of backend servers, and what clears requests of having caused them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.request.fingerprint import Fingerprint


class CrashId(NamedTuple):
    """Identifies one crash in the whole fleet.

    ``reporter`` is the daemon beside the server, ``started_ms`` the time of that
    daemon's start in milliseconds since 1970, ``number`` counts its reports.
    """

    reporter: Address
    started_ms: int
    number: int

    def __str__(self) -> str:
        return f"{self.reporter}/{self.started_ms}/{self.number}"


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was under way at a crash.

    ``isolated`` is true if it was already a suspect, and the only one at that server.
    """

    fingerprint: Fingerprint
    isolated: bool


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a backend server with the requests that were under way."""

    id: CrashId
    service: str
    version: str
    suspects: tuple[Suspect, ...]


class Clearance(NamedTuple):
    """A request that a server of a version has run to its end since a crash.

    If the crashed server was of that version too, the request did not cause the crash.
    """

    fingerprint: Fingerprint
    crash: CrashId
    version: str


__all__ = ["Clearance", "Crash", "CrashId", "Suspect"]
