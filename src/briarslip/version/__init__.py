"""What lives for one configuration version: records, snapshots, rollouts."""

from __future__ import annotations
