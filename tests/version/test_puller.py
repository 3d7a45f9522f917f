"""Tests of pulls: choice of the peer, timing, retries and answers."""

from __future__ import annotations

import random
import unittest

from briarslip.address import Address
from briarslip.backoff import full_jitter
from briarslip.version.configuration_codec import Busy
from briarslip.version.configuration_codec import Deltas
from briarslip.version.configuration_codec import FullSnapshot
from briarslip.version.configuration_codec import VersionReply
from briarslip.version.distribution import SERVED_BURST_BYTES
from briarslip.version.distribution import SERVED_BYTES_PER_SECOND
from briarslip.version.distribution import DistributionState
from briarslip.version.distribution import apply_deltas
from briarslip.version.distribution import install_snapshot
from briarslip.version.distribution import serve_pull
from briarslip.version.minimum_version import minimum_version
from briarslip.version.puller import INITIAL_JITTER_SECONDS
from briarslip.version.puller import REPLY_TIMEOUT_SECONDS
from briarslip.version.puller import Puller
from briarslip.version.puller import record_busy
from briarslip.version.puller import record_reply
from briarslip.version.puller import record_source
from briarslip.version.puller import start_pull
from tests.support.records import route
from tests.support.records import service
from tests.support.records import snapshot_of


# What is left of the time of a change after the read of a relay and the jitter.
MAX_WAIT_SECONDS = 1.0
PEERS = [Address("10.0.0.1", port) for port in (1, 2, 3)]


class PullerTest(unittest.TestCase):
    """There is one pull at a time; after a failure another peer is asked."""

    def setUp(self) -> None:
        self.rng = random.Random(5)
        self.puller = Puller()
        for peer in PEERS[:2]:
            record_source(self.puller, peer, 2, 0.0, self.rng)
        self.now = INITIAL_JITTER_SECONDS

    def test_version_from_another_source_is_not_pulled(self) -> None:
        # Every daemon reads the store itself, some a second later than others. They
        # must not pull from their peers what they are about to read.
        grace_seconds = 1.25
        for arrives in (True, False):
            puller = Puller()
            record_source(puller, PEERS[0], 7, 0.0, self.rng, grace_seconds)
            self.assertIsNone(start_pull(puller, grace_seconds - 0.01, self.rng))
            if arrives:
                puller.drop_outdated_sources(7)
            late = grace_seconds + INITIAL_JITTER_SECONDS
            asked = start_pull(puller, late, self.rng)
            self.assertEqual(asked, None if arrives else PEERS[0])

    def test_pull_goes_to_another_peer_after_a_timeout(self) -> None:
        first = start_pull(self.puller, self.now, self.rng)
        later = self.now + REPLY_TIMEOUT_SECONDS
        self.assertIsNone(start_pull(self.puller, later - 0.01, self.rng))
        second = start_pull(self.puller, later, self.rng)
        self.assertEqual({first, second}, set(PEERS[:2]))

    def test_peers_that_do_not_answer_use_up_the_time_of_a_change(self) -> None:
        """Guards against one paused peer that delays a version by seconds."""
        record_source(self.puller, PEERS[2], 2, 0.0, self.rng)
        asked = {start_pull(self.puller, self.now, self.rng)}
        asked.add(start_pull(self.puller, self.now + 0.5, self.rng))
        asked.add(start_pull(self.puller, self.now + MAX_WAIT_SECONDS, self.rng))
        self.assertEqual(set(PEERS), asked)

    def test_back_off_ends_after_the_last_source(self) -> None:
        """Guards against pulls without a pause from peers that don't answer."""
        for _ in range(2):
            start_pull(self.puller, self.now, self.rng)
            self.now += REPLY_TIMEOUT_SECONDS
        self.assertIsNone(start_pull(self.puller, self.now, self.rng))
        record_source(self.puller, PEERS[2], 2, self.now, self.rng)
        self.assertIsNone(start_pull(self.puller, self.now, self.rng))

    def test_busy_peer_is_replaced_by_another(self) -> None:
        first = start_pull(self.puller, self.now, self.rng)
        assert first is not None
        record_busy(self.puller, first, 1.0, self.now, self.rng)
        second = start_pull(self.puller, self.now, self.rng)
        self.assertEqual({first, second}, set(PEERS[:2]))

    def test_pull_waits_for_a_busy_peer_though_another_has_the_version(self) -> None:
        """Guards against a change that is in force late after a large one."""
        record_source(self.puller, PEERS[2], 2, 0.0, self.rng)
        asked: list[Address | None] = []
        for _ in PEERS:
            peer = start_pull(self.puller, self.now, self.rng)
            assert peer is not None
            asked.append(peer)
            record_busy(self.puller, peer, 1.0, self.now, self.rng)
        self.assertEqual(set(PEERS), set(asked))
        self.assertIsNone(start_pull(self.puller, self.now + 0.4, self.rng))

    def test_only_source_is_asked_again_when_busy(self) -> None:
        record_reply(self.puller, PEERS[0], 2)
        record_source(self.puller, PEERS[2], 3, 1.0, self.rng)
        only = start_pull(self.puller, 2.0, self.rng)
        assert only is not None
        record_busy(self.puller, only, 1.0, 2.0, self.rng)
        self.assertEqual(start_pull(self.puller, 3.5, self.rng), only)

    def test_peer_with_newest_version_is_asked(self) -> None:
        record_source(self.puller, PEERS[2], 3, 0.0, self.rng)
        self.assertEqual(start_pull(self.puller, self.now, self.rng), PEERS[2])
        record_reply(self.puller, PEERS[2], 3)
        self.assertIsNone(start_pull(self.puller, self.now, self.rng))

    def test_back_off_is_capped_and_jittered(self) -> None:
        for attempt in (0, 3, 2000):
            waits = [full_jitter(self.rng, attempt, 0.25, 4.0) for _ in range(200)]
            limit = min(4.0, 0.25 * 2 ** min(attempt, 10))
            self.assertLessEqual(max(waits), limit)
            self.assertLess(min(waits), limit / 10)

    def test_busy_answer_of_an_outdated_source(self) -> None:
        puller = Puller(
            sources={PEERS[0]: 2, PEERS[1]: 3, PEERS[2]: 3}, pulled_peer=PEERS[0]
        )
        puller.drop_outdated_sources(2)
        record_busy(puller, PEERS[0], 1.0, 0.0, self.rng)
        self.assertIsNone(puller.pulled_peer)
        self.assertEqual(puller.sources, {PEERS[1]: 3, PEERS[2]: 3})


class ServePullTest(unittest.TestCase):
    """Deltas if they are smaller, else the full snapshot, at a limited rate."""

    def setUp(self) -> None:
        self.state = DistributionState(minimum_version=0)
        rng = random.Random(1)
        services = [
            service("s1"),
            *(service(f"{rng.getrandbits(64):x}") for _ in range(99)),
        ]
        self.snapshots = [
            snapshot_of(v, *services, *(route(f"r{n}", "s1") for n in range(v)))
            for v in range(1, 5)
        ]
        for snapshot in self.snapshots:
            self.assertEqual(install_snapshot(self.state, snapshot), ())

    def test_deltas_or_full_snapshot(self) -> None:
        answer = serve_pull(self.state, 2, 0.0)
        assert isinstance(answer, Deltas)
        behind = DistributionState(minimum_version=0)
        install_snapshot(behind, self.snapshots[1])
        read = apply_deltas(behind, answer.deltas).unwrap()
        self.assertEqual(read, self.snapshots[3])
        self.assertIsInstance(serve_pull(self.state, 0, 0.0), FullSnapshot)
        self.assertIsNone(serve_pull(self.state, 4, 0.0))

    def test_rate_of_served_bytes_is_limited(self) -> None:
        served_bytes = 0
        seconds = 20
        for tick in range(seconds * 100):
            answer = serve_pull(self.state, 0, tick / 100)
            if isinstance(answer, FullSnapshot):
                served_bytes += len(answer.data)
            else:
                self.assertIsInstance(answer, Busy)
        size = (
            len(self.state.compressed_snapshot.data)
            if self.state.compressed_snapshot
            else 0
        )
        limit = SERVED_BURST_BYTES + seconds * SERVED_BYTES_PER_SECOND + size
        self.assertLessEqual(served_bytes, limit)


class MinimumVersionTest(unittest.TestCase):
    """The head in the store decides; without it, the members' replies do."""

    def test_minimum_version(self) -> None:
        cases = [
            (7, [], False, 7),
            (7, [VersionReply(8, 0)], False, 8),
            (None, [], True, None),
            (None, [VersionReply(5, 6)], False, None),
            (None, [VersionReply(5, 6), VersionReply(4, 0)], True, 6),
            (None, [VersionReply(0, 0)], True, None),
            (0, [], False, 0),
        ]
        for head, replies, waited, expected in cases:
            found = minimum_version(head, replies, waited)
            self.assertEqual(found, expected, (head, replies, waited))
