"""The limits of the organisations in the running configuration version."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from briarslip.request.quota.limit import QuotaLimits


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarslip.request.quota.limit import HasLimit


NO_ORGANISATIONS: Mapping[str, HasLimit] = MappingProxyType({})


class LimitSource:
    """Returns the limits, read again when the organisations are replaced."""

    def __init__(self, organisations: Callable[[], Mapping[str, HasLimit]]) -> None:
        self.organisations = organisations
        self.seen = NO_ORGANISATIONS
        self.limits = QuotaLimits.from_organisations(())

    def __call__(self) -> QuotaLimits:
        """Return the limits of the running configuration version."""
        organisations = self.organisations()
        if organisations is not self.seen:
            self.seen = organisations
            self.limits = QuotaLimits.from_organisations(organisations.values())
        return self.limits


__all__ = ["NO_ORGANISATIONS", "LimitSource"]
