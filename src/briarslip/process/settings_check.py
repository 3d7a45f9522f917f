"""What reading the settings file again has found."""

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
    """A reading of the file: what is wrong with it, or what has changed.

    ``changed_sections`` names the sections that differ from the running settings;
    they come into force with its next start.
    """

    error: str = ""
    changed_sections: tuple[str, ...] = ()

    @classmethod
    def from_result(
        cls, read: Result[Settings, tuple[Finding, ...]], running: Settings
    ) -> SettingsCheck:
        """Compare settings that were read with those that run."""
        if isinstance(read, Err):
            return cls(format_findings(read.err_value))
        names = (field.name for field in fields(running))
        new = read.ok_value
        return cls(
            changed_sections=tuple(
                n for n in names if getattr(new, n) != getattr(running, n)
            )
        )


__all__ = ["SettingsCheck"]
