"""Revisions of a store that may be restored from a copy of its data.

After that the store's own revisions begin again at those of the copy and are given
out again with other contents. A revision in this program therefore has the number of
the copy in front, so that revisions are unique and grow. A store that is never
restored works on copy 0.
"""

from __future__ import annotations


REVISION_BITS = 32
MAX_STORE_REVISION = (1 << REVISION_BITS) - 1


def to_revision(copy: int, store_revision: int) -> int:
    """Return the unique revision for one of the store's own in a copy."""
    return copy << REVISION_BITS | store_revision


def to_store_revision(revision: int) -> int:
    """Return the store's own revision."""
    return revision & MAX_STORE_REVISION


def copy_of(revision: int) -> int:
    """Return the number of the copy that a revision is from."""
    return revision >> REVISION_BITS


__all__ = ["copy_of", "to_revision", "to_store_revision"]
