"""Traffic and processor time of rollouts, and the time until a rollback is complete."""

from __future__ import annotations

import random
import time
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from bench.measurement import Measurement
from briarslip.address import Address
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.rollouts.task import RolloutTask
from briarslip.version.record import Rollout
from briarslip.version.routing_table import RoutingTable
from standins.rollout_fleet import Fleet
from standins.rollout_fleet import PausableReactor
from standins.rollout_fleet import version_fault
from standins.virtual_time import VirtualTime


if TYPE_CHECKING:
    from briarslip.connection.frame import Topic


MAX_BYTES_PER_SECOND = 4096.0
MAX_SECONDS_TO_ZERO_SHARE = 3.0
WINDOW_SECONDS = 60.0
MEASURED_SECONDS = 20.0
SYNC_SECONDS = 5.0
MEMBERS = 2600
ZONES = 13
SERVICES = 190
ROLLOUTS = 10


def run(quick: bool) -> list[Measurement]:
    """Measure rollout messages, the time to roll back, and processor time."""
    return [
        _measure_control_bytes("3 zones, 9 daemons", "aaabbbccc", "112112112"),
        _measure_control_bytes("4 zones, 16 daemons", "aaaabbbbccccdddd", "1122" * 4),
        _measure_control_bytes("13 zones, 14 servers", "abcdefghijklma", "12" * 7),
        _measure_seconds_to_zero_share(3 if quick else 20),
        _measure_processor_time(),
    ]


def _measure_control_bytes(name: str, zones: str, versions: str) -> Measurement:
    """Measure the busiest daemon's rollout messages, without frame headers."""
    fleet = Fleet(zones, versions)
    fleet.advance(SYNC_SECONDS)
    fleet.add_rollout(WINDOW_SECONDS)
    fleet.sent_bytes.clear()
    fleet.advance(MEASURED_SECONDS)
    worst = max(fleet.sent_bytes.values()) / MEASURED_SECONDS
    return Measurement(
        f"rollout messages of the busiest daemon, {name}",
        worst,
        "bytes/s",
        MAX_BYTES_PER_SECOND,
    )


def _measure_seconds_to_zero_share(seed_count: int) -> Measurement:
    """Measure from a fault in the ramp to a traffic share of zero at every daemon."""
    worst = max(_seconds_to_zero_share(seed) for seed in range(seed_count))
    name = f"fault to no traffic share at 9 daemons, worst of {seed_count}"
    return Measurement(name, worst, "s", MAX_SECONDS_TO_ZERO_SHARE)


def _seconds_to_zero_share(seed: int) -> float:
    fleet = Fleet("aaabbbccc", "112112112", seed)
    fleet.advance(SYNC_SECONDS)
    fleet.add_rollout(WINDOW_SECONDS)
    fleet.advance(40 + seed / 10)
    fleet.failure_probability = version_fault("2", 0.5)
    return fleet.seconds_until(lambda: not any(fleet.shares()), 30)


def _measure_processor_time() -> Measurement:
    """Measure the processor time of one of 2,600 daemons with ten active rollouts."""
    virtual_time = VirtualTime()
    members = tuple(_member(number) for number in range(MEMBERS))
    window = timedelta(hours=1)
    rollouts = {
        f"r{n}": Rollout(
            f"r{n}", f"s{n}", "2", virtual_time.now() + window, window, 0.05
        )
        for n in range(ROLLOUTS)
    }
    reactor: Any = PausableReactor(virtual_time)
    task = RolloutTask(
        reactor,
        virtual_time,
        random.Random(1),
        members[0],
        lambda: RoutingTable(1, {}, (), rollouts, {}),
        lambda: members,
        _discard,
    )
    task.tracker.decisions.is_synced = True
    task.start()
    virtual_time.advance(SYNC_SECONDS)
    started_at = time.process_time()
    virtual_time.advance(MEASURED_SECONDS)
    share = (time.process_time() - started_at) / MEASURED_SECONDS
    name = f"processor time of one daemon, {MEMBERS} members, {ROLLOUTS} rollouts"
    return Measurement(name, 100 * share, "% of a core")


def _discard(peer: Address, topic: Topic, payload: bytes) -> None:
    """Discard a message."""


def _member(number: int) -> Member:
    version = str(1 + number // SERVICES % 2)
    return Member(
        address=Address(f"10.0.{number // 250}.{number % 250}", 7000),
        availability_zone=f"z{number % ZONES}",
        region="r",
        incarnation=1,
        status=Status.ALIVE,
        running_version=1,
        endpoints=(Endpoint(f"s{number % SERVICES}", version, 10, 100, False),),
    )


__all__ = ["run"]
