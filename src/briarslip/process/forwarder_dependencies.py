"""The functions of a daemon that its forwarder depends on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.dependencies import Dependencies


if TYPE_CHECKING:
    from briarslip.process.daemon import Daemon


def forwarder_dependencies(daemon: Daemon) -> Dependencies:
    """Return the functions that the forwarder of a daemon uses."""
    return Dependencies(
        own_address=daemon.settings.listen.peers,
        availability_zone=daemon.settings.daemon.availability_zone,
        routing_table=lambda: daemon.distribution.table,
        members=lambda: daemon.membership.live,
        local_dispatch=daemon.servers.dispatch_for,
        remote_dispatch=daemon.links.dispatch_to,
        version_for=daemon.version_for,
        record_attempt=daemon.record_attempt,
        excluded_versions=daemon.excluded_versions,
        call_later=daemon.deadline_wheel.call_later,
        allowed_servers=daemon.rollouts.allowed_servers,
        silent_peers=lambda: daemon.links.silent_peers,
        max_retry_tokens=daemon.max_retry_tokens,
        request_id=daemon.adapters.conventions.request_id_text_of,
        claims=daemon.claims,
        can_finish=daemon.shutdown.can_finish,
        latest_deadline=lambda: daemon.shutdown.latest_deadline,
        standing=daemon.quarantine.standing,
        credentials=daemon.adapters.conventions,
        even_load=daemon.settings.limits.even_load,
        admit_organisation=daemon.quotas.admit,
    )


__all__ = ["forwarder_dependencies"]
