"""How much of its machine's memory and descriptors a daemon gives to its clients."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.process.settings import LimitSettings


BYTES_PER_MB = 1_000_000
# What a daemon needs without any buffered request: interpreter, libraries and tables.
BASE_BYTES = 60 * BYTES_PER_MB
# The rest is for copies on their way to a socket and for fragmentation.
BUFFER_SHARE = 0.75
MIN_BUFFER_BYTES = 8 * BYTES_PER_MB
# The rest is for peer links, backend servers, the store and the operators.
CALLER_DESCRIPTOR_SHARE = 0.75


def buffer_capacity_bytes(limits: LimitSettings) -> int:
    """Return how many bytes of requests and responses a daemon may buffer."""
    spare_bytes = limits.memory_mb * BYTES_PER_MB - BASE_BYTES
    return max(MIN_BUFFER_BYTES, int(spare_bytes * BUFFER_SHARE))


def max_caller_connections(limits: LimitSettings) -> int:
    """Return how many connections callers may have, by the limits in force now."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [limits.max_descriptors] if limits.max_descriptors else []
    if descriptors != resource.RLIM_INFINITY:
        known.append(descriptors)
    return max(1, int(min(known, default=1 << 20) * CALLER_DESCRIPTOR_SHARE))


__all__ = ["buffer_capacity_bytes", "max_caller_connections"]
