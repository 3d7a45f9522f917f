"""Bodies of requests, kept in the parts in which they arrived."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Body:
    """A complete body; joining the parts of a large one would double its memory.

    ``digest`` replaces the parts where only the identity of the body matters.
    """

    parts: tuple[bytes, ...] = ()
    size_bytes: int = 0
    digest: bytes = b""

    @classmethod
    def from_parts(cls, parts: Iterable[bytes]) -> Body:
        """Return the body that consists of ``parts``."""
        kept = tuple(part for part in parts if part)
        return cls(kept, sum(map(len, kept)))

    @classmethod
    def from_bytes(cls, data: bytes) -> Body:
        """Return the body with the bytes ``data``."""
        return cls((data,), len(data)) if data else EMPTY_BODY

    def to_bytes(self) -> bytes:
        """Return the bytes in one piece; meant for short bodies."""
        return self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)


EMPTY_BODY = Body()

__all__ = ["EMPTY_BODY", "Body"]
