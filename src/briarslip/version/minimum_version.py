"""The version below which a daemon that has just started runs nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.version.configuration_codec import VersionReply


def minimum_version(
    head: int | None, replies: Iterable[VersionReply], waited: bool
) -> int | None:
    """Return the least version that may be run, None while it is not known.

    ``head`` is what the platform answered: nothing newer has ever been run.
    While the platform does not answer, the zone's members do, once there was
    time for several of them (``waited``); those that run nothing themselves
    know nothing.
    """
    known = [
        max(r.running_version, r.last_known_version)
        for r in replies
        if r.running_version
    ]
    if head is not None:
        return max([head, *known])
    return max(known) if waited and known else None


__all__ = ["minimum_version"]
