"""Unexpected errors in timers and background work: logged, and the work goes on."""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest.mock import patch

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from briarslip.process import error_log
from briarslip.process.error_log import record_error
from briarslip.process.error_log import record_failure
from briarslip.process.error_log import run_each
from briarslip.process.events import Event
from briarslip.process.rollouts.deadlines import RolloutDeadlines
from briarslip.process.shutdown import POLL_SECONDS
from briarslip.process.shutdown import Phase
from briarslip.process.shutdown import Remaining
from briarslip.process.shutdown import Shutdown
from briarslip.version.evidence import SLICE_SECONDS
from standins.rollout_fleet import Fleet
from tests.connection.support import FakeClock
from tests.process.rollouts.test_deadlines import ROLLOUT


def fail(*_arguments: Any) -> Any:
    """Raise an error that no handler expects."""
    raise ZeroDivisionError("injected")


class ErrorLogTest(unittest.TestCase):
    """Logging with a place, and what continues after an error."""

    def setUp(self) -> None:
        self.logged: list[dict[str, Any]] = []
        patcher = patch.object(error_log, "emit", self.emit)
        patcher.start()
        self.addCleanup(patcher.stop)

    def emit(self, event: Event, **fields: Any) -> None:
        """Record an event."""
        self.assertIs(Event.UNEXPECTED_ERROR, event)
        self.logged.append(fields)

    def test_error_has_its_text_and_the_places_in_this_package(self) -> None:
        try:
            run_each((record_error,), None)
            Shutdown(FakeClock(), FakeClock(), fail, fail, fail).begin()
        except ZeroDivisionError as error:
            record_error(error)
        last = self.logged[-1]
        self.assertEqual("ZeroDivisionError: injected", last["error"])
        self.assertRegex(last["place"], r"^process/shutdown\.py:\d+ \w+ < process/")

    def test_errors_that_the_reactor_catches_are_logged(self) -> None:
        try:
            fail()
        except ZeroDivisionError:
            failure = Failure()
        error_log._observe({"log_failure": failure})
        error_log._observe({"log_format": "no error"})
        self.assertEqual(
            ["ZeroDivisionError: injected"], [e["error"] for e in self.logged]
        )

    def test_shutdown_ends_though_its_steps_fail(self) -> None:
        clock = FakeClock()
        phases: list[Phase] = []

        def enter(phase: Phase) -> None:
            phases.append(phase)
            if phase is not Phase.STOPPED:
                fail()

        remaining = [fail, lambda: Remaining(0, 0)]
        shutdown = Shutdown(
            clock, clock, lambda: 1.0, lambda: remaining[len(phases) > 2](), enter, 9.0
        )
        shutdown.begin()
        clock.pump([POLL_SECONDS] * 200)
        self.assertEqual(Phase.STOPPED, phases[-1])

    def test_time_slices_go_on(self) -> None:
        fleet = Fleet("ab", "12")
        fleet.advance(2)
        task = fleet.nodes[0].task
        before = task.slice_count
        for name in ("_detect_pause", "_send_evidence", "_evaluate"):
            with patch.object(task, name, fail):
                for _ in range(30):
                    try:
                        fleet.advance(SLICE_SECONDS / 10)
                    except ZeroDivisionError:
                        continue
        self.assertGreater(task.slice_count, before + 6)

    def test_agreement_on_a_deadline_is_tried_again(self) -> None:
        clock = FakeClock()
        clock.now = lambda: ROLLOUT.deadline  # type: ignore[method-assign]  # wall clock
        failing = type("FailingStore", (), {"get": fail})
        agreed: dict[str, Any] = {}
        deadlines = RolloutDeadlines(
            clock, clock, random.Random(1), failing(), agreed, fail, lambda _: True
        )
        deadlines.with_deadline(ROLLOUT)
        clock.pump([0.1] * 100)
        self.assertGreater(len(self.logged), 1)

    def test_error_of_a_deferred_is_logged_and_handled(self) -> None:
        deferred: Deferred[None] = Deferred()
        deferred.addErrback(record_failure)
        deferred.errback(ZeroDivisionError("injected"))
        self.assertEqual(1, len(self.logged))


if __name__ == "__main__":
    unittest.main()
