"""Digests of callers' keys, by which daemons find the organisation of a key."""

from __future__ import annotations

import hashlib
import re


# Long enough that nobody finds a second key with the digest of another one's.
DIGEST_BYTES = 16
KEY_DIGEST = re.compile(rf"[0-9a-f]{{{2 * DIGEST_BYTES}}}")


def key_digest(key: bytes) -> str:
    """Return the digest of a key in hexadecimal."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


__all__ = ["KEY_DIGEST", "key_digest"]
