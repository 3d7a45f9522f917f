"""The size of the stated target, and the bounds on control traffic and work there.

``MAX_BYTES_PER_SECOND``, ``MAX_CORE_PERCENT`` and ``MAX_MEMORY_MB`` are per daemon;
``MAX_READS_PER_SECOND`` is that of the store. ``SERVERS`` is also the number of
daemons.
"""

from __future__ import annotations


SERVERS = 2600
ZONES = 13
SERVICES = 190
ROUTES = 380
ROUTES_PER_SERVICE = 2
CALLS_PER_SECOND = 230_000
CHANGES_PER_DAY = 2200
MEMBER_EVENTS_PER_DAY = 185
SECONDS_PER_DAY = 86_400
MAX_BYTES_PER_SECOND = 4096.0
MAX_CORE_PERCENT = 1.2
MAX_MEMORY_MB = 32.0
MAX_READS_PER_SECOND = 2000.0
BYTES_PER_MB = 1 << 20


__all__ = [
    "BYTES_PER_MB",
    "CALLS_PER_SECOND",
    "CHANGES_PER_DAY",
    "MAX_BYTES_PER_SECOND",
    "MAX_CORE_PERCENT",
    "MAX_MEMORY_MB",
    "MAX_READS_PER_SECOND",
    "MEMBER_EVENTS_PER_DAY",
    "ROUTES",
    "ROUTES_PER_SERVICE",
    "SECONDS_PER_DAY",
    "SERVERS",
    "SERVICES",
    "ZONES",
]
