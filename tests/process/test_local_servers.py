"""Tests of the registration of backend servers with their daemon."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bench.fleet_clock import FleetClock
from bench.fleet_clock import HeapClock
from briarslip.address import Address
from briarslip.process.announcements import Announcement
from briarslip.process.local_servers import MAX_SERVERS
from briarslip.process.local_servers import MS_PER_SECOND
from briarslip.process.local_servers import LocalServers
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.membership.member import FINAL_SEQUENCE
from tests.support.members import endpoint


LEASE_SECONDS = 5.0


def announcement(port: int = 9000, version: str = "1") -> Announcement:
    """Return an announcement of a server on a port."""
    return Announcement(endpoint("holds", version), Address("127.0.0.1", port))


class LocalServersTest(unittest.TestCase):
    """Leases, changes at one address, order of reports, and the limit on servers."""

    def setUp(self) -> None:
        self.time = HeapClock()
        self.changes: list[tuple[str, ...]] = []
        self.servers = LocalServers(
            self.time,
            FleetClock(self.time),
            LEASE_SECONDS,
            self.record_change,
            lambda service: frozenset(),
            lambda server, dispatch: dispatch,
        )

    def record_change(self) -> None:
        """Record the versions that would be published to the members."""
        self.changes.append(tuple(e.version for e in self.servers.endpoints))

    def test_lease_expires_unless_renewed(self) -> None:
        self.servers.receive(announcement())
        self.time.advance(4.0)
        self.servers.receive(announcement())
        self.time.advance(4.0)
        self.servers.expire()
        self.assertEqual(1, len(self.servers.endpoints))
        self.time.advance(2.0)
        self.servers.expire()
        self.assertEqual((), self.servers.endpoints)
        self.assertEqual([("1",), ()], self.changes)

    def test_other_version_at_an_address_replaces_the_server(self) -> None:
        self.servers.receive(announcement())
        old = self.servers.admission_for("holds", "1")
        assert old is not None
        old.in_flight = 1
        self.servers.receive(announcement(version="2"))
        self.assertIsNone(self.servers.admission_for("holds", "1"))
        new = self.servers.admission_for("holds", "2")
        self.assertIsNot(old, new)
        self.assertEqual([("1",), ("2",)], self.changes)
        self.assertEqual(1, self.servers.in_flight)
        old.in_flight = 0
        self.servers.expire()
        self.assertEqual([], self.servers.retired)

    def test_changed_number_of_slots_applies_to_admission(self) -> None:
        self.servers.receive(announcement())
        fewer = replace(announcement().endpoint, slots=3)
        self.servers.receive(Announcement(fewer, announcement().address))
        admission = self.servers.admission_for("holds", "1")
        assert admission is not None
        self.assertEqual(3, admission.slots)

    def test_draining_server_is_published_at_once_and_gets_no_calls(self) -> None:
        self.servers.receive(announcement())
        leaving = replace(announcement().endpoint, draining=True)
        self.servers.receive(Announcement(leaving, announcement().address))
        self.assertIsNone(self.servers.admission_for("holds", "1"))
        self.assertEqual(2, len(self.changes))

    def test_running_calls_of_an_expired_server_are_counted(self) -> None:
        self.servers.receive(announcement())
        admission = self.servers.admission_for("holds", "1")
        assert admission is not None
        admission.in_flight = 2
        self.time.advance(LEASE_SECONDS + 1.0)
        self.servers.expire()
        self.assertEqual(2, self.servers.in_flight)

    def test_servers_beyond_the_limit_are_rejected(self) -> None:
        accepted = [self.servers.receive(announcement(9000 + n)) for n in range(8)]
        self.assertEqual([True] * MAX_SERVERS + [False] * 2, accepted)

    def report(
        self, incarnation: int, sequence: int, name: str = "i", draining: bool = False
    ) -> bool:
        """Receive a report of a server that sends its incarnation."""
        reported = endpoint("holds", draining=draining)
        address = Address("127.0.0.1", 9000)
        return self.servers.receive(
            Announcement(reported, address, name, incarnation, sequence)
        )

    def test_report_older_than_the_last_one_is_ignored(self) -> None:
        self.report(5, 1)
        self.report(5, 3, draining=True)
        self.report(5, 2)
        self.assertIsNone(self.servers.admission_for("holds", ""))
        self.report(5, 4)
        self.assertIsNotNone(self.servers.admission_for("holds", ""))

    def test_report_of_an_earlier_start_is_ignored(self) -> None:
        self.report(9, 1, name="new")
        admission = self.servers.admission_for("holds", "")
        self.report(5, 7, name="old", draining=True)
        self.assertIs(admission, self.servers.admission_for("holds", ""))

    def test_new_incarnation_replaces_the_server(self) -> None:
        self.report(5, 70)
        before = self.servers.admission_for("holds", "")
        self.report(6, 1)
        self.assertIsNot(before, self.servers.admission_for("holds", ""))

    def test_deregistered_server_gets_no_calls_despite_late_reports(self) -> None:
        self.report(5, 1)
        self.servers.deregister("i")
        self.assertIsNone(self.servers.admission_for("holds", ""))
        self.report(5, 2)
        self.assertIsNone(self.servers.admission_for("holds", ""))
        self.report(6, 1)
        self.assertIsNotNone(self.servers.admission_for("holds", ""))

    def test_deregistration_without_a_start_ends_every_earlier_start(self) -> None:
        """A daemon is restarted, and then its server leaves without naming its start.

        A report that the server sent before is late and reaches the daemon last.
        """
        started_at = int(FleetClock(self.time).now().timestamp() * MS_PER_SECOND)
        self.time.advance(20.0)
        self.servers.deregister("i")
        self.time.advance(1.5)
        late = replace(announcement(), server_id="i", incarnation=started_at)
        self.servers.receive(late)
        self.assertEqual((), self.servers.endpoints)
        next_start = started_at + 21 * MS_PER_SECOND
        self.servers.receive(replace(late, incarnation=next_start))
        self.assertEqual(1, len(self.servers.endpoints))

    def test_server_drained_before_a_restart_is_not_used_after_a_late_report(
        self,
    ) -> None:
        for is_report_first in (False, True):
            with self.subTest(is_report_first=is_report_first):
                self.setUp()
                if is_report_first:
                    self.report(5, 2)
                self.servers.restore_draining(DrainingServer(5, 3))
                self.report(5, 2)
                self.assertIsNone(self.servers.admission_for("holds", ""))
                (published,) = self.servers.endpoints
                self.assertTrue(published.draining)
                self.report(5, 4)
                self.assertIsNotNone(self.servers.admission_for("holds", ""))

    def test_restored_draining_changes_no_other_server(self) -> None:
        self.report(5, 3, draining=True)
        before = self.servers.endpoints
        self.servers.restore_draining(DrainingServer(6, FINAL_SEQUENCE))
        self.assertEqual(before, self.servers.endpoints)

    def test_server_deregistered_before_a_restart_is_never_used(self) -> None:
        self.servers.restore_draining(DrainingServer(5, FINAL_SEQUENCE))
        self.report(5, 99)
        self.assertIsNone(self.servers.admission_for("holds", ""))
        self.report(6, 1)
        self.assertIsNotNone(self.servers.admission_for("holds", ""))

    def test_each_start_that_drains_is_told_once(self) -> None:
        drained: list[DrainingServer] = []
        self.servers.on_draining = drained.append
        self.report(5, 1)
        self.report(5, 2, draining=True)
        self.report(5, 3, draining=True)
        self.servers.deregister("i", 5)
        self.servers.deregister("j", 6)
        self.assertEqual(
            [DrainingServer(5, 2), DrainingServer(6, FINAL_SEQUENCE)], drained
        )

    def test_repeated_reports_of_one_state_do_not_change_the_endpoint(self) -> None:
        self.report(5, 1)
        endpoints = self.servers.endpoints
        self.report(5, 2)
        self.assertEqual(endpoints, self.servers.endpoints)
        self.report(5, 3, draining=True)
        self.assertEqual([3], [e.state_sequence for e in self.servers.endpoints])

    def test_late_deregistration_of_an_earlier_start_ends_the_new_start(self) -> None:
        self.report(6, 1)
        self.servers.deregister("i", 5)
        self.report(6, 2)
        self.assertIsNotNone(self.servers.admission_for("holds", ""))
        self.servers.deregister("i", 6)
        self.assertIsNone(self.servers.admission_for("holds", ""))

    def test_deregistration_before_any_report_is_remembered(self) -> None:
        self.servers.deregister("i", 5)
        self.report(5, 9)
        self.assertIsNone(self.servers.admission_for("holds", ""))
