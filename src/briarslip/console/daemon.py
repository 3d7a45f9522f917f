"""The daemon program, ``briarslipd``."""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NoReturn

from result import Err

from briarslip.finding import format_findings
from briarslip.process.settings import Settings
from briarslip.process.settings_check import SettingsCheck


if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable
    from collections.abc import Sequence
    from typing import Any

    from briarslip.process.daemon import Daemon
    from briarslip.process.settings import LogSettings


EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    install_startup_signal_handlers()
    options = _parser().parse_args(arguments)
    path = Path(options.settings)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"briarslipd: {path}: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = Settings.from_ini(text, str(path))
    if isinstance(settings, Err):
        print(format_findings(settings.err_value), file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if options.check:
        print(f"{path}: settings are valid")
        return 0
    return _run(settings.ok_value, path)


def install_startup_signal_handlers() -> None:
    """Make stop signals exit at once until ``run_daemon`` replaces the handlers.

    Until then no work has been accepted that a graceful shutdown would finish.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, _exit)
    # SIGHUP asks to read the settings, which are about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _parser() -> argparse.ArgumentParser:
    # Not used by ``briarslip.platform``.
    import argparse

    parser = argparse.ArgumentParser(prog="briarslipd", description=__doc__)
    parser.add_argument("settings", help="INI file with the settings")
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings, print every finding and exit",
    )
    return parser


def _run(settings: Settings, path: Path) -> int:
    from briarslip.process.daemon import Daemon

    return run_daemon(
        lambda reactor: Daemon.from_settings(settings, reactor),
        settings.log,
        lambda: _recheck_settings(path, settings),
    )


def _recheck_settings(path: Path, running: Settings) -> SettingsCheck:
    """Read the settings file again and return what a restart would change."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SettingsCheck(str(error))
    return SettingsCheck.from_result(Settings.from_ini(text, str(path)), running)


def run_daemon(
    make_daemon: Callable[[Any], Daemon],
    log: LogSettings,
    recheck_settings: Callable[[], SettingsCheck],
) -> int:
    """Run the daemon that ``make_daemon`` returns; return the exit status.

    ``make_daemon`` gets the reactor. ``recheck_settings`` is called on SIGHUP.
    """
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from briarslip.process.error_log import log_reactor_errors
    from briarslip.process.events import install_log

    install_log(log)
    log_reactor_errors()
    daemon = make_daemon(reactor)
    failures: list[CannotListenError] = []

    def start() -> None:
        try:
            daemon.start()
        except CannotListenError as error:
            failures.append(error)
            reactor.stop()

    reactor.callWhenRunning(start)
    # Imported modules live until exit; keep the garbage collector from scanning them.
    reactor.callWhenRunning(gc.freeze)
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: reactor.callFromThread(daemon.drain))
    signal.signal(
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(_log_settings_check, recheck_settings),
    )
    reactor.run(installSignalHandlers=False)
    for failure in failures:
        print(f"briarslipd: {failure}", file=sys.stderr)
    return EXIT_CANNOT_LISTEN if failures else 0


def _log_settings_check(recheck_settings: Callable[[], SettingsCheck]) -> None:
    from briarslip.process.events import Event
    from briarslip.process.events import emit

    check = recheck_settings()
    if check.error:
        emit(Event.SETTINGS_INVALID, findings=check.error)
    else:
        emit(Event.SETTINGS_CHECKED, changed=list(check.changed_sections))


def _exit(*_: object) -> NoReturn:
    raise SystemExit(0)


if __name__ == "__main__":
    raise SystemExit(main())


__all__ = [
    "EXIT_INVALID_SETTINGS",
    "install_startup_signal_handlers",
    "main",
    "run_daemon",
]
