"""What rollouts cost a daemon, and how soon a decision is known everywhere."""

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


BYTES_PER_SECOND = 4096.0
SECONDS_TO_NONE = 3.0
WINDOW_SECONDS = 60.0
MEASURED_SECONDS = 20.0
SYNC_SECONDS = 5.0
MEMBERS = 2600
ZONES = 13
SERVICES = 190
ROLLOUTS = 10


def run(quick: bool) -> list[Measurement]:
    """Return the figures."""
    return [
        _control_bytes("3 zones, 9 daemons", "aaabbbccc", "112112112"),
        _control_bytes("4 zones, 16 daemons", "aaaabbbbccccdddd", "1122" * 4),
        _control_bytes("13 zones, 14 servers", "abcdefghijklma", "12" * 7),
        _seconds_to_none(3 if quick else 20),
        _processor_share(),
    ]


def _control_bytes(name: str, zones: str, versions: str) -> Measurement:
    """Measure the busiest daemon's rollout messages, without frames."""
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
        BYTES_PER_SECOND,
    )


def _seconds_to_none(seeds: int) -> Measurement:
    """Measure from a fault in the ramp to no share at any daemon."""
    worst = max(_one_fault(seed) for seed in range(seeds))
    name = f"fault to none at 9 daemons, worst of {seeds}"
    return Measurement(name, worst, "s", SECONDS_TO_NONE)


def _one_fault(seed: int) -> float:
    fleet = Fleet("aaabbbccc", "112112112", seed)
    fleet.advance(SYNC_SECONDS)
    fleet.add_rollout(WINDOW_SECONDS)
    fleet.advance(40 + seed / 10)
    fleet.failure_probability = version_fault("2", 0.5)
    return fleet.seconds_until(lambda: not any(fleet.shares()), 30)


def _processor_share() -> Measurement:
    """Measure a daemon among 2,600, with ten rollouts under way."""
    virtual = VirtualTime()
    members = tuple(_member(number) for number in range(MEMBERS))
    window = timedelta(hours=1)
    rollouts = {
        f"r{n}": Rollout(f"r{n}", f"s{n}", "2", virtual.now() + window, window, 0.05)
        for n in range(ROLLOUTS)
    }
    reactor: Any = PausableReactor(virtual)
    task = RolloutTask(
        reactor,
        virtual,
        random.Random(1),
        members[0],
        lambda: RoutingTable(1, {}, (), rollouts, {}),
        lambda: members,
        _drop,
    )
    task.tracker.decisions.is_synced = True
    task.start()
    virtual.advance(SYNC_SECONDS)
    began = time.process_time()
    virtual.advance(MEASURED_SECONDS)
    share = (time.process_time() - began) / MEASURED_SECONDS
    name = f"processor of one daemon, {MEMBERS} members, {ROLLOUTS} rollouts"
    return Measurement(name, 100 * share, "% of a core")


def _drop(peer: Address, topic: Topic, payload: bytes) -> None:
    """Send nothing."""


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
