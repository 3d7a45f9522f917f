"""Adapters of a daemon that runs on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.platform.configuration import OPERATOR_PREFIX
from briarslip.platform.configuration import ConfigurationReader
from briarslip.platform.evacuations import EVACUATION_ORDERS
from briarslip.platform.header_conventions import PLATFORM_CONVENTIONS
from briarslip.platform.rollouts import PLATFORM_ROLLOUT_CODEC
from briarslip.platform.server_reports import readiness_endpoints
from briarslip.platform.server_reports import server_endpoints
from briarslip.platform.store import PlatformStore
from briarslip.process.adapters import Adapters
from briarslip.process.distribution.stored_configuration import StoredConfiguration


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import Any

    from briarslip.platform.settings import PlatformSettingsFile
    from briarslip.version.snapshot import Snapshot


def platform_adapters(
    file: PlatformSettingsFile, reactor: Any, rng: random.Random
) -> Adapters:
    """Return the adapters for the platform's store, endpoints, headers and formats."""
    store_settings = file.settings.platform
    store = PlatformStore.from_address(
        reactor, store_settings.address, store_settings.timeout
    )

    def make_source(on_snapshot: Callable[[Snapshot], None]) -> StoredConfiguration:
        return StoredConfiguration(
            reactor,
            rng,
            store,
            OPERATOR_PREFIX,
            ConfigurationReader(),
            on_snapshot,
            EVACUATION_ORDERS,
        )

    return Adapters(
        store=store,
        server_endpoints=server_endpoints,
        readiness_endpoints=readiness_endpoints,
        conventions=PLATFORM_CONVENTIONS,
        make_source=make_source,
        rollout_codec=PLATFORM_ROLLOUT_CODEC,
        caller_service=file.service,
        add_restore_listener=store.restore_listeners.append,
        store_copy=lambda: store.copy or 0,
    )


__all__ = ["platform_adapters"]
