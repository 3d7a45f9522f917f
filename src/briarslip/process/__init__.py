"""What lives as long as the process: settings, membership, platform access."""

from __future__ import annotations
