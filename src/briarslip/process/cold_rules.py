"""What a cold backend server may get, from the configuration and the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.cold_limit import ColdRule
from briarslip.version.record_schema import DEFAULT_WARM_UP


if TYPE_CHECKING:
    from briarslip.process.settings import LimitSettings
    from briarslip.version.routing_table import RoutingTable


def cold_rule(
    limits: LimitSettings, table: RoutingTable, service: str
) -> ColdRule | None:
    """Return the rule for the cold servers of a service, None if it has none.

    Load pattern: a daemon is restarted beside a cold server, and calls from others
    arrive before its first configuration. The rate of the service is then unknown, so
    only the slack is used.
    """
    if not table.version:
        if not limits.warm_up_slack:
            return None
        return ColdRule(limits.warm_up_slack, DEFAULT_WARM_UP.total_seconds())
    record = table.services.get(service)
    if record is None or record.warm_up_per_second is None:
        return None
    calls = record.warm_up_per_second * limits.warm_up_burst + limits.warm_up_slack
    return ColdRule(calls, record.warm_up.total_seconds())


__all__ = ["cold_rule"]
