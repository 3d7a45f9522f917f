"""The state of a daemon's configuration, for its logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.connection.client_errors import NO_CONFIGURATION
from briarslip.connection.client_errors import ConfigurationState


if TYPE_CHECKING:
    from briarslip.process.daemon import Daemon


def configuration_state(daemon: Daemon) -> ConfigurationState:
    """Return the version in force at a daemon, its age and the store's copy."""
    distribution = daemon.distribution
    if not distribution.snapshot.version:
        return NO_CONFIGURATION
    return ConfigurationState(
        distribution.snapshot.version,
        daemon.clock.monotonic() - distribution.version_active_at,
        daemon.adapters.store_copy(),
    )


__all__ = ["configuration_state"]
