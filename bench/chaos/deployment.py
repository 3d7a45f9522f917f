"""The deployments that the trials reproduce."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceTraffic:
    """One service, and the requests that callers send to it."""

    name: str
    method: str
    priority: str
    response_bytes: int


@dataclass(frozen=True)
class Deployment:
    """Availability zones, and services with one backend server in each zone."""

    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceTraffic, ...]
    slots: int
    connections: int

    @property
    def records(self) -> str:
        """The services and routes of the deployment, as records in INI text."""
        return "\n".join(
            f"[service {service.name}]\n\n"
            f"[route {service.name}]\nservice = {service.name}\n"
            f"path_prefix = /{service.name}\npriority = {service.priority}\n"
            "timeout_ms = 3000\nclaims = required\n"
            for service in self.services
        )


WARMPAW = Deployment(
    region="qld",
    zones=("qld-a", "qld-b", "qld-c"),
    services=(
        ServiceTraffic("alerts", "GET", "urgent", 200),
        ServiceTraffic("faults", "POST", "urgent", 200),
        ServiceTraffic("reports", "GET", "bulk", 20_000),
        ServiceTraffic("history", "GET", "bulk", 50_000),
    ),
    slots=10,
    connections=130,
)
TAN_KEE_SENG = Deployment(
    region="peninsula",
    zones=("klang", "penang", "johor", "ipoh"),
    services=(
        ServiceTraffic("shelves", "GET", "urgent", 200),
        ServiceTraffic("holds", "POST", "urgent", 200),
        ServiceTraffic("history", "GET", "bulk", 50_000),
        ServiceTraffic("alerts", "GET", "urgent", 200),
    ),
    slots=12,
    connections=120,
)
SMALL = Deployment(
    region="peninsula",
    zones=("klang", "penang", "johor"),
    services=TAN_KEE_SENG.services[:3],
    slots=12,
    connections=120,
)
DEPLOYMENTS = {"warmpaw": WARMPAW, "tan-kee-seng": TAN_KEE_SENG}


__all__ = ["DEPLOYMENTS", "SMALL", "Deployment", "ServiceTraffic"]
