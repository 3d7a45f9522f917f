"""Run the daemon on the users' platform: ``python -m briarslip.platform``."""

from __future__ import annotations

import os
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.console.daemon import EXIT_INVALID_SETTINGS
from briarslip.console.daemon import install_startup_signal_handlers
from briarslip.console.daemon import run_daemon
from briarslip.finding import format_findings
from briarslip.platform.settings import SETTINGS_VARIABLE
from briarslip.platform.settings import read_settings
from briarslip.process.clock import SystemClock
from briarslip.process.settings_check import SettingsCheck


if TYPE_CHECKING:
    from briarslip.process.daemon import Daemon


def main() -> int:
    """Run the daemon until it is told to stop; return the exit status."""
    install_startup_signal_handlers()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        raw = path.read_bytes()
    except OSError as error:
        print(f"{SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    parsed = read_settings(raw, str(path))
    if isinstance(parsed, Err):
        print(format_findings(parsed.err_value), file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings_file = parsed.ok_value

    def check_settings() -> SettingsCheck:
        try:
            parsed = read_settings(path.read_bytes(), str(path))
        except OSError as error:
            return SettingsCheck(str(error))
        return SettingsCheck.from_result(
            parsed.map(lambda new_file: new_file.settings), settings_file.settings
        )

    def make_daemon(reactor: Any) -> Daemon:
        from briarslip.platform.adapters import platform_adapters
        from briarslip.process.daemon import Daemon

        rng = random.Random()
        adapters = platform_adapters(settings_file, reactor, rng)
        return Daemon(settings_file.settings, reactor, SystemClock(), rng, adapters)

    return run_daemon(make_daemon, settings_file.settings.log, check_settings)


if __name__ == "__main__":
    raise SystemExit(main())
