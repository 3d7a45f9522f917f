"""Configuration versions: records, snapshots, their distribution and rollouts."""

from __future__ import annotations
