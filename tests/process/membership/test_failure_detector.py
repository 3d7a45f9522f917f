"""Failure detection message by message, without a network."""

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
from briarslip.process.membership.messages import Kind
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import SendDatagram
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.state import Protocol
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
    """One daemon that knows its peers; the test answers for them or not."""

    def setUp(self) -> None:
        self.now = 100.0
        self.state = Protocol.from_member(
            member(0), (), random.Random(1), 0.5, self.now
        )
        self.state.bootstrap.has_joined = True
        self.state.bootstrap.next_sync_at = float("inf")
        for number in range(1, PEERS + 1):
            merge_update(self.state.table, member(number), self.now)
        for number in range(2):
            merge_update(self.state.table, member(number, "penang"), self.now)

    def status(self, number: int) -> Status:
        """Return how a peer is held."""
        return self.state.table.members[member(number).address].status

    def run_for(self, seconds: float, silent: Iterable[int] = ()) -> list[Send]:
        """Let time pass; every peer answers probes but the silent ones."""
        mute = {member(number).address for number in silent}
        sends: list[Send] = []
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for send in protocol.tick(self.state, self.now):
                sends.append(send)
                if isinstance(send, SendDatagram) and send.peer not in mute:
                    self.answer(send)
        return sends

    def answer(self, send: SendDatagram) -> None:
        """Answer a probe for its target."""
        if send.datagram.kind is Kind.PROBE:
            ack = Datagram(Kind.ACK, send.datagram.sequence, 0)
            protocol.take_datagram(self.state, send.peer, ack, self.now)

    def hear(self, sender: int, *updates: Member) -> tuple[Send, ...]:
        """Take a datagram with statements."""
        datagram = Datagram(Kind.PUSH, 0, 0, updates)
        return protocol.take_datagram(
            self.state, member(sender).address, datagram, self.now
        )

    def test_helpers_are_asked_about_a_late_probe(self) -> None:
        sends = self.run_for(6.0, silent=[3])
        asked = [
            send.peer
            for send in sends
            if isinstance(send, SendDatagram)
            and send.datagram.kind is Kind.PROBE_REQUEST
            and send.datagram.target == member(3).address
        ]
        self.assertGreaterEqual(len(set(asked)), 3)

    def test_answer_through_a_helper_clears_the_target(self) -> None:
        request = Datagram(Kind.PROBE_REQUEST, 77, 0, (), member(2).address)
        (probe,) = protocol.take_datagram(
            self.state, member(1).address, request, self.now
        )
        assert isinstance(probe, SendDatagram)
        ack = Datagram(Kind.ACK, probe.datagram.sequence, 0)
        (back,) = protocol.take_datagram(self.state, member(2).address, ack, self.now)
        assert isinstance(back, SendDatagram)
        self.assertEqual((member(1).address, 77), (back.peer, back.datagram.sequence))

    def test_suspect_is_asked_itself_before_it_is_dead(self) -> None:
        self.hear(1, replace(member(3), status=Status.SUSPECT))
        sends = self.run_for(5.0, silent=[3])
        asked = [
            send
            for send in sends
            if isinstance(send, SendDatagram)
            and send.peer == member(3).address
            and send.datagram.sequence == 0
            and send.datagram.kind is Kind.PROBE
        ]
        self.assertGreaterEqual(len(asked), 3)
        told = asked[0].datagram.updates[0]
        self.assertEqual(Status.SUSPECT, told.status)
        self.assertIs(Status.DEAD, self.status(3))

    def test_suspect_that_answers_is_not_evicted(self) -> None:
        self.hear(1, replace(member(3), status=Status.SUSPECT))
        self.run_for(30.0)
        self.assertIs(Status.SUSPECT, self.status(3))

    def test_word_of_another_alone_ends_nobody(self) -> None:
        self.hear(1, replace(member(3), status=Status.DEAD))
        self.assertIs(Status.SUSPECT, self.status(3))
        self.hear(2, replace(member(3), incarnation=2))
        self.assertIs(Status.ALIVE, self.status(3))

    def test_who_is_held_dead_accuses_nobody(self) -> None:
        self.run_for(15.0, silent=[1])
        self.assertIs(Status.DEAD, self.status(1))
        self.hear(1, replace(member(3), status=Status.SUSPECT))
        self.assertIs(Status.ALIVE, self.status(3))

    def test_daemon_that_hears_nobody_holds_its_accusations(self) -> None:
        self.run_for(5.0)
        self.run_for(25.0, silent=range(1, PEERS + 1))
        ended = [n for n in range(1, PEERS + 1) if self.status(n) is Status.DEAD]
        self.assertEqual([], ended)
        self.run_for(120.0, silent=range(1, PEERS + 1))
        self.assertEqual({Status.DEAD}, {self.status(n) for n in range(1, PEERS + 1)})

    def test_pause_accuses_nobody_and_is_refuted_at_once(self) -> None:
        self.run_for(0.6, silent=range(1, PEERS + 1))
        self.hear(1, replace(member(3), status=Status.SUSPECT))
        self.now += 60.0
        sends = self.run_for(TICK_SECONDS)
        self.assertIs(Status.SUSPECT, self.status(3))
        self.assertEqual(2, self.state.self_member.incarnation)
        told = [s for s in sends if isinstance(s, SendDatagram)]
        self.assertTrue(any(self.state.self_member in s.datagram.updates for s in told))
        self.assertEqual({Status.ALIVE}, {self.status(n) for n in (1, 2, 4, 5)})

    def test_accusation_of_oneself_is_refuted(self) -> None:
        self.hear(1, replace(member(0), incarnation=9, status=Status.DEAD))
        self.assertEqual(10, self.state.self_member.incarnation)

    def test_own_draining_goes_out_at_once(self) -> None:
        sends = protocol.update_self(self.state, (), 0, Status.LEFT, self.now)
        self.assertEqual(4, sum(isinstance(s, SendDatagram) for s in sends))
        told = {s.peer for s in sends if isinstance(s, SendControl)}
        self.assertEqual({member(n, "penang").address for n in range(2)}, told)

    def test_draining_of_a_peer_goes_on_at_the_next_tick(self) -> None:
        self.run_for(1.5)
        links = self.state.links
        links.peers = {"penang": (member(0, "penang").address,)}
        links.flushed_at = links.refreshed_at = self.now
        self.hear(3, replace(member(3), status=Status.LEFT))
        sends = self.run_for(TICK_SECONDS)
        control = [s.message for s in sends if isinstance(s, SendControl)]
        self.assertTrue(any(isinstance(message, Updates) for message in control))
        pushed = [s for s in sends if isinstance(s, SendDatagram)]
        self.assertGreaterEqual(len(pushed), 4)

    def test_flood_keeps_the_byte_budget(self) -> None:
        for number in range(600):
            address = Address(f"10.9.{number // 200}.{number % 200 + 1}", 7000)
            self.hear(1, replace(member(1), address=address))
        sends = self.run_for(20.0, silent=range(1, PEERS + 1))
        sent = sum(
            len(s.datagram.updates) for s in sends if isinstance(s, SendDatagram)
        )
        self.assertLess(sent * 30, 1_024 * 20 + 4_096)
