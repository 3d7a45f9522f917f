"""Read-only HTTP endpoints of the daemon for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.connection.local_http import JsonReply
from briarslip.connection.local_http import TextReply
from briarslip.version.rollout_document import rollout_document


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarslip.connection.local_http import Reply
    from briarslip.process.daemon import Daemon


METRICS_PATH = "/v1/metrics"


def admin_endpoints(
    daemon: Daemon,
) -> Mapping[tuple[str, str], Callable[[bytes], Reply]]:
    """Return the endpoint handlers by method and path."""
    return {
        ("GET", "/v1/status"): lambda _: _status(daemon),
        ("GET", "/v1/members"): lambda _: _members(daemon),
        ("GET", "/v1/rollouts"): lambda _: _rollouts(daemon),
        ("GET", "/v1/quarantine"): lambda _: _quarantine(daemon),
        ("GET", METRICS_PATH): lambda _: TextReply(200, daemon.metrics.text()),
        ("GET", "/v1/service-levels"): lambda _: _service_levels(daemon),
    }


def _status(daemon: Daemon) -> JsonReply:
    snapshot = daemon.distribution.snapshot
    return JsonReply(
        200,
        {
            "peer": str(daemon.settings.listen.peers),
            "availability_zone": daemon.settings.daemon.availability_zone,
            "running_version": snapshot.version,
            "minimum_version": daemon.distribution.state.minimum_version,
            "digest": snapshot.digest,
            "routes": [route.name for route in daemon.distribution.table.routes],
            "services": sorted(daemon.distribution.table.services),
            "relay": daemon.distribution.relay.active,
            "draining": daemon.is_draining,
            "evacuations": daemon.evacuations.documents(),
            "quarantined_requests": [
                suspicion.fingerprint.text
                for suspicion in daemon.quarantine.quarantine.quarantined
            ],
        },
    )


def _members(daemon: Daemon) -> JsonReply:
    return JsonReply(
        200,
        [
            {
                "peer": str(member.address),
                "availability_zone": member.availability_zone,
                "status": member.status.name.lower(),
                "running_version": member.running_version,
                "services": [endpoint.service for endpoint in member.endpoints],
            }
            for member in daemon.membership.all_members
        ],
    )


def _rollouts(daemon: Daemon) -> JsonReply:
    tracker = daemon.rollouts.tracker
    return JsonReply(
        200,
        [
            {
                **rollout_document(
                    status,
                    tracker.decisions,
                    tracker.state_since[status.id, status.state],
                    daemon.distribution.snapshot.version,
                    tracker.zones_without_members,
                ),
                "share": status.share,
                "analyzer": daemon.rollouts.is_analyzer_for(status.rollout.service),
            }
            for status in tracker.statuses
        ],
    )


def _quarantine(daemon: Daemon) -> JsonReply:
    return JsonReply(
        200,
        [
            {
                "fingerprint": suspicion.fingerprint.text,
                "quarantined": suspicion.is_quarantined,
                "service": suspicion.crashes[0].service,
                "versions": sorted(suspicion.crashed_versions),
                "crashes": [str(crash.id) for crash in suspicion.crashes],
            }
            for suspicion in daemon.quarantine.suspicions
        ],
    )


def _service_levels(daemon: Daemon) -> JsonReply:
    return JsonReply(
        200,
        {
            "peer": str(daemon.settings.listen.peers),
            "availability_zone": daemon.settings.daemon.availability_zone,
            **daemon.service_levels.report(),
        },
    )


__all__ = ["admin_endpoints"]
