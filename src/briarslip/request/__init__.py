"""Request handling: routing, load balancing, admission, retries and claims."""

from __future__ import annotations
