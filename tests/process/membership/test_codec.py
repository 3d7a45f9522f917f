"""The codec of membership messages."""

from __future__ import annotations

import random
import unittest

from result import Err

from briarslip.address import Address
from briarslip.process.membership.codec import decode_control
from briarslip.process.membership.codec import decode_datagram
from briarslip.process.membership.codec import encode_control
from briarslip.process.membership.codec import encode_datagram
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.messages import ControlMessage
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import Kind
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.messages import ZoneSummary
from tests.support.members import endpoint


PLACE = ("klang", "peninsula")
OTHER = ("penang", "peninsula")
ALIVE = Member(
    Address("10.0.0.1", 7000),
    *PLACE,
    1_767_225_600_123,
    Status.ALIVE,
    42,
    (endpoint("holds", "2", draining=True), endpoint("alerts")),
)
DEAD = Member(Address("2001:db8::1", 7000), *OTHER, 7, Status.DEAD, 41, ())


class CodecTest(unittest.TestCase):
    """Messages come back as they were, and bad bytes are refused."""

    def test_datagrams_come_back(self) -> None:
        for datagram in (
            Datagram(Kind.PROBE, 1, 42),
            Datagram(Kind.PUSH, 0, 42, (ALIVE, DEAD)),
            Datagram(Kind.PROBE_REQUEST, 9, 42, (), DEAD.address),
        ):
            data = encode_datagram(datagram, PLACE)
            self.assertEqual(datagram, decode_datagram(data, PLACE).unwrap())

    def test_control_messages_come_back(self) -> None:
        messages: tuple[ControlMessage, ...] = (
            SyncRequest(ALIVE, (ZoneSummary("klang", (1 << 64) - 1, 3),), True),
            SyncReply(42, 41, "klang", (ALIVE, DEAD), (DEAD.address,), False, True),
            Updates((DEAD,)),
        )
        for message in messages:
            data = encode_control(message)
            self.assertEqual(message, decode_control(data).unwrap())

    def test_datagram_of_another_zone_is_refused(self) -> None:
        data = encode_datagram(Datagram(Kind.PROBE, 1, 42), PLACE)
        self.assertIsInstance(decode_datagram(data, OTHER), Err)

    def test_bad_bytes_never_raise(self) -> None:
        rng = random.Random(1)
        good = encode_datagram(Datagram(Kind.PUSH, 0, 42, (ALIVE, DEAD)), PLACE)
        control = encode_control(Updates((ALIVE, DEAD)))
        for _ in range(500):
            bad = bytearray(good)
            bad[rng.randrange(len(bad))] = rng.randrange(256)
            decode_datagram(bytes(bad[: rng.randrange(len(bad) + 1)]), PLACE)
            decode_control(control[: rng.randrange(len(control))])
            decode_control(rng.randbytes(40))
