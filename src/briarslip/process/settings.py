"""Settings of the daemon."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from briarslip.process.membership.contact_points import CONTACTS_INTERVAL_SECONDS


if TYPE_CHECKING:
    from result import Result

    from briarslip.address import Address
    from briarslip.finding import Finding


MAX_DURATION_MS = 3_600_000
# The memory of the smallest machines that run a daemon.
DEFAULT_MEMORY_MB = 200


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Location of the daemon."""

    availability_zone: str
    region: str


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses that the daemon listens on; peers use TCP and UDP.

    ``readiness`` serves the readiness check; None if the deployment has none.
    """

    callers: Address
    peers: Address
    admin: Address
    announcements: Address
    readiness: Address | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Access to the store: its address, and the timeout of a request."""

    address: Address
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Membership protocol of the daemons.

    Every ``contacts_interval`` a few of them check the contact points in the store.
    """

    seeds: tuple[Address, ...]
    heartbeat_interval: timedelta
    contacts_interval: timedelta = timedelta(seconds=CONTACTS_INTERVAL_SECONDS)


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the work of one daemon.

    ``max_body_bytes`` is the largest body of a request where the configuration has no
    limits for callers, None if it always should have them.
    A shutdown ends after ``stop_grace`` at the latest; None lets each request use
    its whole deadline. ``retry_slack`` is the number of retries that all daemons
    together may make at once beyond their share of the requests; None gives each
    daemon the default retry budget. ``memory_mb`` is the memory of the machine in
    megabytes, and ``max_descriptors`` the number of descriptors that a daemon may open,
    None for the limit of the process. A cold backend server may get ``warm_up_burst``
    times the rate of its service and ``warm_up_slack`` requests in any one second.
    ``evacuation`` is the time in which an order to evacuate a zone must be in force,
    None if the deployment gives no such orders. ``even_load`` is whether servers are
    chosen for even load from old views, and calls move on from full ones.
    """

    max_body_bytes: int | None
    default_timeout: timedelta
    announcement_lease: timedelta
    stop_grace: timedelta | None = None
    retry_slack: float | None = None
    memory_mb: int = DEFAULT_MEMORY_MB
    max_descriptors: int | None = None
    warm_up_burst: float = 1.0
    warm_up_slack: float = 0.0
    evacuation: timedelta | None = None
    even_load: bool = False


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Format and level of the log."""

    format: str
    level: str


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a daemon."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    membership: MembershipSettings
    limits: LimitSettings
    log: LogSettings

    @classmethod
    def from_ini(cls, text: str, source: str) -> Result[Settings, tuple[Finding, ...]]:
        """Parse settings; the error holds all findings, not only the first."""
        # Not used by ``briarslip.platform``.
        from briarslip.process.ini_settings import read_settings

        return read_settings(text, source)


__all__ = [
    "DEFAULT_MEMORY_MB",
    "MAX_DURATION_MS",
    "DaemonSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "MembershipSettings",
    "PlatformSettings",
    "Settings",
]
