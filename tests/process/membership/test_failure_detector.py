"""Tests of the failure detector, message by message, without a network."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.address import Address
from briarslip.process.membership import protocol
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import merge_update
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import DatagramKind
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import SendDatagram
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.state import ProtocolState
from tests.support.members import endpoint


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.process.membership.messages import Send


PEERS = 8
TICK_SECONDS = 0.1


def member(number: int, zone: str = "klang") -> Member:
    """Return a member with one backend server."""
    address = Address(f"10.0.{len(zone)}.{number + 1}", 7000)
    return Member(address, zone, "x", 1, Status.ALIVE, 0, (endpoint("holds"),))


class DetectorTest(unittest.TestCase):
    """One daemon with known peers; the test acknowledges its probes for them."""

    def setUp(self) -> None:
        self.now = 100.0
        self.state = ProtocolState.from_member(
            member(0), (), random.Random(1), 0.5, self.now
        )
        self.state.sync_state.has_joined = True
        self.state.sync_state.next_sync_at = float("inf")
        for number in range(1, PEERS + 1):
            merge_update(self.state.table, member(number), self.now)
        for number in range(2):
            merge_update(self.state.table, member(number, "penang"), self.now)

    def status(self, number: int) -> Status:
        """Return the status that the daemon has recorded for a peer."""
        return self.state.table.members[member(number).address].status

    def run_for(self, seconds: float, silent: Iterable[int] = ()) -> list[Send]:
        """Advance the time; all peers but the silent ones acknowledge probes.

        Returns the messages that the daemon sent.
        """
        silent_addresses = {member(number).address for number in silent}
        sends: list[Send] = []
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for send in protocol.tick(self.state, self.now):
                sends.append(send)
                if isinstance(send, SendDatagram) and send.peer not in silent_addresses:
                    self.answer(send)
        return sends

    def answer(self, send: SendDatagram) -> None:
        """Acknowledge a probe in place of its target."""
        if send.datagram.kind is DatagramKind.PROBE:
            ack = Datagram(DatagramKind.ACK, send.datagram.sequence, 0)
            protocol.receive_datagram(self.state, send.peer, ack, self.now)

    def receive(self, sender: int, *updates: Member) -> tuple[Send, ...]:
        """Receive a datagram with updates; return the messages sent in answer."""
        datagram = Datagram(DatagramKind.PUSH, 0, 0, updates)
        return protocol.receive_datagram(
            self.state, member(sender).address, datagram, self.now
        )

    def test_late_probe_leads_to_indirect_probes(self) -> None:
        sends = self.run_for(6.0, silent=[3])
        intermediaries = [
            send.peer
            for send in sends
            if isinstance(send, SendDatagram)
            and send.datagram.kind is DatagramKind.PROBE_REQUEST
            and send.datagram.target == member(3).address
        ]
        self.assertGreaterEqual(len(set(intermediaries)), 3)

    def test_ack_of_an_indirect_probe_goes_to_the_requester(self) -> None:
        request = Datagram(DatagramKind.PROBE_REQUEST, 77, 0, (), member(2).address)
        (probe,) = protocol.receive_datagram(
            self.state, member(1).address, request, self.now
        )
        assert isinstance(probe, SendDatagram)
        ack = Datagram(DatagramKind.ACK, probe.datagram.sequence, 0)
        (forwarded,) = protocol.receive_datagram(
            self.state, member(2).address, ack, self.now
        )
        assert isinstance(forwarded, SendDatagram)
        self.assertEqual(
            (member(1).address, 77), (forwarded.peer, forwarded.datagram.sequence)
        )

    def test_suspect_is_probed_before_it_is_declared_dead(self) -> None:
        self.receive(1, replace(member(3), status=Status.SUSPECT))
        sends = self.run_for(5.0, silent=[3])
        probes = [
            send
            for send in sends
            if isinstance(send, SendDatagram)
            and send.peer == member(3).address
            and send.datagram.sequence == 0
            and send.datagram.kind is DatagramKind.PROBE
        ]
        self.assertGreaterEqual(len(probes), 3)
        update = probes[0].datagram.updates[0]
        self.assertEqual(Status.SUSPECT, update.status)
        self.assertIs(Status.DEAD, self.status(3))

    def test_suspect_that_answers_is_not_declared_dead(self) -> None:
        self.receive(1, replace(member(3), status=Status.SUSPECT))
        self.run_for(30.0)
        self.assertIs(Status.SUSPECT, self.status(3))

    def test_death_reported_by_a_peer_only_raises_a_suspicion(self) -> None:
        self.receive(1, replace(member(3), status=Status.DEAD))
        self.assertIs(Status.SUSPECT, self.status(3))
        self.receive(2, replace(member(3), incarnation=2))
        self.assertIs(Status.ALIVE, self.status(3))

    def test_suspicion_from_a_dead_member_is_ignored(self) -> None:
        self.run_for(15.0, silent=[1])
        self.assertIs(Status.DEAD, self.status(1))
        self.receive(1, replace(member(3), status=Status.SUSPECT))
        self.assertIs(Status.ALIVE, self.status(3))

    def test_isolated_daemon_delays_its_suspicions(self) -> None:
        self.run_for(5.0)
        self.run_for(25.0, silent=range(1, PEERS + 1))
        dead = [n for n in range(1, PEERS + 1) if self.status(n) is Status.DEAD]
        self.assertEqual([], dead)
        self.run_for(120.0, silent=range(1, PEERS + 1))
        self.assertEqual({Status.DEAD}, {self.status(n) for n in range(1, PEERS + 1)})

    def test_paused_daemon_suspects_no_one_and_refutes_at_once(self) -> None:
        self.run_for(0.6, silent=range(1, PEERS + 1))
        self.receive(1, replace(member(3), status=Status.SUSPECT))
        self.now += 60.0
        sends = self.run_for(TICK_SECONDS)
        self.assertIs(Status.SUSPECT, self.status(3))
        self.assertEqual(2, self.state.own_member.incarnation)
        datagrams = [s for s in sends if isinstance(s, SendDatagram)]
        self.assertTrue(
            any(self.state.own_member in s.datagram.updates for s in datagrams)
        )
        self.assertEqual({Status.ALIVE}, {self.status(n) for n in (1, 2, 4, 5)})

    def test_suspicion_of_the_daemon_itself_is_refuted(self) -> None:
        self.receive(1, replace(member(0), incarnation=9, status=Status.DEAD))
        self.assertEqual(10, self.state.own_member.incarnation)

    def test_own_draining_is_sent_at_once(self) -> None:
        sends = protocol.update_self(self.state, (), 0, Status.LEFT, self.now)
        self.assertEqual(4, sum(isinstance(s, SendDatagram) for s in sends))
        notified = {s.peer for s in sends if isinstance(s, SendControl)}
        self.assertEqual({member(n, "penang").address for n in range(2)}, notified)

    def test_draining_of_a_peer_is_disseminated_at_the_next_tick(self) -> None:
        self.run_for(1.5)
        bridge = self.state.bridge
        bridge.peers = {"penang": (member(0, "penang").address,)}
        bridge.flushed_at = bridge.refreshed_at = self.now
        self.receive(3, replace(member(3), status=Status.LEFT))
        sends = self.run_for(TICK_SECONDS)
        control = [s.message for s in sends if isinstance(s, SendControl)]
        self.assertTrue(any(isinstance(message, Updates) for message in control))
        pushed = [s for s in sends if isinstance(s, SendDatagram)]
        self.assertGreaterEqual(len(pushed), 4)

    def test_flood_of_updates_stays_within_the_byte_budget(self) -> None:
        for number in range(600):
            address = Address(f"10.9.{number // 200}.{number % 200 + 1}", 7000)
            self.receive(1, replace(member(1), address=address))
        sends = self.run_for(20.0, silent=range(1, PEERS + 1))
        sent = sum(
            len(s.datagram.updates) for s in sends if isinstance(s, SendDatagram)
        )
        self.assertLess(sent * 30, 1_024 * 20 + 4_096)
