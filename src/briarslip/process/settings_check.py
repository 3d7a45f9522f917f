"""Check of a changed settings file while the daemon runs."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from typing import TYPE_CHECKING

from result import Err

from briarslip.finding import format_findings


if TYPE_CHECKING:
    from result import Result

    from briarslip.finding import Finding
    from briarslip.process.settings import Settings


@dataclass(frozen=True, slots=True)
class SettingsCheck:
    """Result of reading the settings file again: an error or the changed sections.

    ``changed_sections`` names the sections that differ from the running settings;
    they come into effect when the daemon is restarted.
    """

    error: str = ""
    changed_sections: tuple[str, ...] = ()

    @classmethod
    def from_result(
        cls, parsed: Result[Settings, tuple[Finding, ...]], running: Settings
    ) -> SettingsCheck:
        """Compare the settings that were read with the running settings."""
        if isinstance(parsed, Err):
            return cls(format_findings(parsed.err_value))
        names = (field.name for field in fields(running))
        new = parsed.ok_value
        return cls(
            changed_sections=tuple(
                n for n in names if getattr(new, n) != getattr(running, n)
            )
        )


__all__ = ["SettingsCheck"]
