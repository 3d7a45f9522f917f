"""Examples of the platform's documents."""

from __future__ import annotations

import json
from typing import Any

from briarslip.process.store.client import KeyValue


def configuration(**changes: Any) -> dict[str, Any]:
    """Return an operators' configuration with two routes."""
    document = {
        "version": 7,
        "routes": {
            "r-hold": {
                "host": "jepu9.example",
                "prefix": "/puka111/",
                "kind": "non_idempotent",
                "timeout-ms": 2000,
                "target-latency-ms": 600,
                "priority": 1,
                "service": "holds",
                "attempts": 2,
            },
            "r-shelf": {
                "host": "hulo84.example",
                "prefix": "/leny950/",
                "kind": "safe",
                "timeout-ms": 1500,
                "target-latency-ms": 500,
                "priority": 2,
                "traffic-split": [
                    {"service": "shelves", "weight": 90},
                    {"service": "lots", "weight": 10},
                ],
                "attempts": 2,
            },
        },
        "services": {name: _service() for name in ("holds", "shelves", "lots")},
        "limits": {
            "header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
    return document | changes


def _service() -> dict[str, Any]:
    return {"health-path": "/healthz", "max-connections": 120, "protocol": "h1"}


def order(**changes: Any) -> dict[str, Any]:
    """Return a rollout order."""
    return {"service": "holds", "target-version": "v2", "duration-s": 12} | changes


def report(**changes: Any) -> dict[str, Any]:
    """Return a report of a backend server."""
    return {
        "address": "10.128.0.9:8080",
        "info": {"service": "holds", "version": "v1", "zone": "klang", "capacity": 12},
        "status": {"state": "ready", "sequence": 4, "warmup-left-ms": 0},
        "born": 1_700_000_000_000,
    } | changes


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings document of a daemon."""
    return {
        "node-name": "sidecar-klang-1",
        "ip": "10.1.0.8",
        "zone": "klang",
        "region": "semenanjung",
        "bind": {
            "inbound": "10.1.0.8:8300",
            "outbound": "10.1.0.8:8304",
            "ready": "10.1.0.8:8302",
            "control": "10.1.0.8:8306",
        },
        "internal-port-range": [7620, 7635],
        "heartbeat-ms": 870,
        "bounds": {"grace-s": 6, "drain-ms": 2000},
        "service": "holds",
        "local-app": "10.1.0.8:8301",
        "platform": {"address": "10.200.1.7:8309", "form": "kv"},
    } | changes


def item(key: str, document: Any, revision: int = 5) -> KeyValue:
    """Return a stored item; bytes are stored as they are, other values as JSON."""
    raw = document if isinstance(document, bytes) else json.dumps(document).encode()
    return KeyValue(key, raw, revision)


def items(*stored: KeyValue) -> dict[str, KeyValue]:
    """Return the stored items by key."""
    return {entry.key: entry for entry in stored}
