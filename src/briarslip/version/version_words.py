"""Version numbers of snapshots in the two 64-bit words that messages have for them.

A release that knows only the low word reads the same numbers while the high one is 0.
"""

from __future__ import annotations


WORD_BITS = 64
VERSION_BITS = 2 * WORD_BITS
LOW_WORD = (1 << WORD_BITS) - 1


def split_version(version: int) -> tuple[int, int]:
    """Return the low and the high word of a version."""
    return version & LOW_WORD, version >> WORD_BITS


def join_version(low: int, high: int) -> int:
    """Return the version with a low and a high word."""
    return high << WORD_BITS | low


__all__ = ["VERSION_BITS", "join_version", "split_version"]
