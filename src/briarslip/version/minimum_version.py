"""The lowest configuration version that a starting daemon may apply."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.version.configuration_codec import VersionReply


def minimum_version(
    stored_version: int | None, replies: Iterable[VersionReply], has_waited: bool
) -> int | None:
    """Return the lowest version that may be applied, None while it is unknown.

    ``stored_version`` is the latest version in the store, or None while the store has
    not replied; no daemon has ever run a newer one. Without it the replies of the
    zone's members decide, once there was time for several of them to reply
    (``has_waited``). Replies of members that run no version themselves are ignored.
    """
    versions = [
        max(r.running_version, r.last_known_version)
        for r in replies
        if r.running_version
    ]
    if stored_version is not None:
        return max([stored_version, *versions])
    return max(versions) if has_waited and versions else None


__all__ = ["minimum_version"]
