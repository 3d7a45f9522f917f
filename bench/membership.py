"""Membership traffic, processor time and failure detection by fleet size.

Time is virtual. Bytes are those that membership sends and receives, with 28 bytes
of headers for a datagram and 80 for a control message. Processor time is that of
this process: it includes the simulated network and excludes sockets.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

from bench.fleet import Fleet
from bench.measurement import Measurement
from briarslip.address import Address
from briarslip.process.distribution.change_writer import RecordWrite
from briarslip.process.membership.codec import decode_control
from briarslip.process.membership.codec import encode_control
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import MemberTable
from briarslip.process.membership.member_table import merge_update
from briarslip.process.membership.messages import Updates
from briarslip.version.record import RecordKey


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from bench.fleet import FleetDaemon


MAX_BYTES_PER_SECOND = 4096.0
MAX_CORE_SHARE = 0.012
MAX_MEMORY_BYTES = 32 << 20
MAX_DRAINING_KNOWN_SECONDS = 3.0
MAX_DEATH_KNOWN_SECONDS = 15.0
TARGET_ZONES = 13
TARGET_ZONE_SIZE = 200
FAILURES_PER_DAY = 15
REPLACEMENTS_PER_DAY = 170
SECONDS_PER_DAY = 86_400
POLL_SECONDS = 0.1
WINDOW_SECONDS = 10.0
MASS_EVENT_WINDOWS = 12
MAX_MASS_EVENT_SECONDS = 120.0
MAX_WAIT_SECONDS = 120.0


def converged_fleet(
    zones: int, size: int, loss_probability: float = 0.0, seed: int = 1
) -> Fleet:
    """Return an idle fleet in which every member table has all daemons."""
    fleet = Fleet(seed)
    for zone in range(zones):
        fleet.add_zone(f"zone-{zone}", size, f"region-{zone // 4}", start=False)
    fleet.apply(RecordWrite(RecordKey("service", "service-0", 1), {}))
    for number, daemon in enumerate(fleet.daemons.values()):
        daemon.endpoints = (Endpoint(f"service-{number % 190}", "1", 10, 130, False),)
        daemon.update_member()
    members = [d.membership.state.own_member for d in fleet.daemons.values()]
    for daemon in fleet.daemons.values():
        state = daemon.membership.state
        state.sync_state.has_joined = True
        state.sync_state.sync_count = 10
        state.sync_state.next_sync_at = fleet.rng.uniform(0.0, 30.0)
        state.outbox.queued.clear()
        for member in members:
            if member.address != daemon.address:
                merge_update(state.table, member, 0.0)
                state.table.zone_last_contact_at[member.availability_zone] = 0.0
    for daemon in fleet.daemons.values():
        daemon.start()
    fleet.run(10.0)
    fleet.loss_probability = loss_probability
    return fleet


def mean_membership_bytes(fleet: Fleet, action: Callable[[], object]) -> float:
    """Return the mean membership bytes of a running daemon during an action."""
    before = {
        d.address: fleet.traffic[d.address].membership_bytes for d in fleet.running
    }
    action()
    used_bytes = [
        fleet.traffic[a].membership_bytes - start for a, start in before.items()
    ]
    return sum(used_bytes) / len(used_bytes)


def seconds_until(fleet: Fleet, condition: Callable[[], bool]) -> float:
    """Return the virtual seconds until a condition is true, or infinity."""
    return fleet.run_until(condition, MAX_WAIT_SECONDS, POLL_SECONDS)


def observes(observer: FleetDaemon, daemon: FleetDaemon, departed: bool) -> bool:
    """Tell whether the observer sees a daemon as departed, or as taking part.

    Departed means unknown, dead or left; ``departed`` chooses which to test.
    """
    member = observer.membership.state.table.members.get(daemon.address)
    has_departed = member is None or member.status > Status.SUSPECT
    return has_departed is departed


def are_departed_everywhere(fleet: Fleet, departed: Sequence[FleetDaemon]) -> bool:
    """Tell whether all running daemons see these as departed."""
    return all(
        observes(observer, d, True)
        for observer in fleet.running
        for d in departed
        if observer is not d
    )


def count_false_evictions(fleet: Fleet) -> int:
    """Count the pairs of running daemons of which one sees the other as departed."""
    running = [d for d in fleet.running if not d.draining]
    return sum(
        observes(observer, d, True)
        for observer in running
        for d in running
        if observer is not d
    )


def measure_idle(zones: int, size: int, seconds: float) -> list[Measurement]:
    """Measure bytes and processor time of an idle fleet."""
    fleet = converged_fleet(zones, size)
    before = {a: t.membership_bytes for a, t in fleet.traffic.items()}
    started_at = time.process_time()
    used_bytes = mean_membership_bytes(fleet, lambda: fleet.run(seconds))
    processor_seconds = time.process_time() - started_at
    worst = max(t.membership_bytes - before[a] for a, t in fleet.traffic.items())
    title = f"when idle, {zones} x {size}"
    core_share = processor_seconds / seconds / (zones * size)
    return [
        Measurement(
            f"bytes {title}", used_bytes / seconds, "B/s", MAX_BYTES_PER_SECOND
        ),
        Measurement(f"worst {title}", worst / seconds, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(f"core share {title}", core_share, "", MAX_CORE_SHARE),
    ]


def measure_single_events(zones: int, size: int) -> list[Measurement]:
    """Measure one death, one replacement and one draining, at 2% datagram loss."""
    fleet = converged_fleet(zones, size, 0.02)
    idle_rate = (
        mean_membership_bytes(fleet, lambda: fleet.run(WINDOW_SECONDS)) / WINDOW_SECONDS
    )
    killed, draining = fleet.running[1], fleet.running[2]
    draining.drain()
    draining_seconds = seconds_until(
        fleet, lambda: not _is_used_anywhere(fleet, draining)
    )
    fleet.kill(killed)
    times: list[float] = []

    def kill_and_replace() -> None:
        times.append(
            seconds_until(fleet, lambda: are_departed_everywhere(fleet, [killed]))
        )
        fleet.run(WINDOW_SECONDS)
        fleet.restart(killed)
        fleet.run(2 * WINDOW_SECONDS)

    used_bytes = mean_membership_bytes(fleet, kill_and_replace) - idle_rate * (
        times[0] + 30.0
    )
    events = FAILURES_PER_DAY + REPLACEMENTS_PER_DAY
    rate_with_events = idle_rate + max(0.0, used_bytes) * events / SECONDS_PER_DAY
    title = f"{zones} x {size}"
    return [
        Measurement(
            f"draining known, {title}",
            draining_seconds,
            "s",
            MAX_DRAINING_KNOWN_SECONDS,
        ),
        Measurement(f"death known, {title}", times[0], "s", MAX_DEATH_KNOWN_SECONDS),
        Measurement(f"bytes of a death and replacement, {title}", used_bytes, "B"),
        Measurement(
            f"bytes including failures and replacements of a day, {title}",
            rate_with_events,
            "B/s",
            MAX_BYTES_PER_SECOND,
        ),
        Measurement(f"false evictions, {title}", count_false_evictions(fleet), "", 0),
    ]


def _is_used_anywhere(fleet: Fleet, draining: FleetDaemon) -> bool:
    return any(
        observes(observer, draining, False)
        for observer in fleet.running
        if observer is not draining
    )


def measure_mass_failure(size: int, failure_count: int) -> list[Measurement]:
    """Measure the simultaneous death of many members of one zone, at 2% loss."""
    fleet = converged_fleet(1, size, 0.02)
    killed = fleet.running[:failure_count]
    for daemon in killed:
        fleet.kill(daemon)
    survivors = fleet.running
    worst, false_evictions = 0.0, 0
    seconds_until_known = float("inf")
    for window in range(1, MASS_EVENT_WINDOWS + 1):
        before = {
            d.address: fleet.traffic[d.address].membership_bytes for d in survivors
        }
        fleet.run(WINDOW_SECONDS)
        used_bytes = (
            fleet.traffic[a].membership_bytes - start for a, start in before.items()
        )
        worst = max(worst, max(used_bytes) / WINDOW_SECONDS)
        false_evictions += count_false_evictions(fleet)
        if are_departed_everywhere(fleet, killed):
            seconds_until_known = min(seconds_until_known, window * WINDOW_SECONDS)
    title = f"{failure_count} of {size} dead"
    return [
        Measurement(f"worst bytes, {title}", worst, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(
            f"known to all survivors, {title}",
            seconds_until_known,
            "s",
            MAX_MASS_EVENT_SECONDS,
        ),
        Measurement(f"false evictions, {title}", false_evictions, "", 0),
    ]


def measure_mass_restart(zones: int, size: int) -> list[Measurement]:
    """Measure the restart of a third of the daemons, killed 30 s before."""
    fleet = converged_fleet(zones, size)
    killed = fleet.running[::3]
    for daemon in killed:
        fleet.kill(daemon)
    fleet.run(30.0)
    calls_before = fleet.store.call_counts.total()
    restarted = [fleet.restart(daemon) for daemon in killed]
    fleet_size = zones * size
    seconds_until_known, worst = float("inf"), 0.0
    for window in range(1, MASS_EVENT_WINDOWS + 1):
        before = {a: t.membership_bytes for a, t in fleet.traffic.items()}
        fleet.run(WINDOW_SECONDS)
        used_bytes = (
            fleet.traffic[a].membership_bytes - start for a, start in before.items()
        )
        worst = max(worst, max(used_bytes) / WINDOW_SECONDS)
        if all(len(d.membership.live) == fleet_size for d in fleet.running):
            seconds_until_known = min(seconds_until_known, window * WINDOW_SECONDS)
    store_calls = (fleet.store.call_counts.total() - calls_before) / len(restarted)
    title = f"a third of {zones} x {size} restarted"
    return [
        Measurement(f"worst bytes, {title}", worst, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(
            f"known to all, {title}", seconds_until_known, "s", MAX_MASS_EVENT_SECONDS
        ),
        Measurement(f"store calls, {title}", store_calls, "per restarted daemon"),
        Measurement(f"false evictions, {title}", count_false_evictions(fleet), "", 0),
    ]


def bytes_per_member() -> float:
    """Return the bytes of memory per member in a table of one zone's members."""
    members = tuple(
        Member(
            address=Address(f"10.1.{n // 250}.{n % 250 + 1}", 7000),
            availability_zone="zone",
            region="region",
            incarnation=1_700_000_000_000 + n,
            status=Status.ALIVE,
            running_version=1000 + n,
            endpoints=(Endpoint(f"service-{n % 190}", "1", 10, 130, False),),
        )
        for n in range(TARGET_ZONE_SIZE)
    )
    payload = encode_control(Updates(members))
    table = MemberTable(members[0])
    tracemalloc.start()
    decoded = decode_control(payload).unwrap()
    assert isinstance(decoded, Updates)
    for member in decoded.updates[1:]:
        merge_update(table, member, 0.0)
    size = len(table.live)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return traced_bytes / size


def measure_member_memory() -> list[Measurement]:
    """Measure the memory of a member, and extrapolate to the target's size."""
    member_bytes = bytes_per_member()
    total_bytes = member_bytes * TARGET_ZONES * TARGET_ZONE_SIZE
    return [
        Measurement("memory of a member", member_bytes, "B"),
        Measurement("memory of 2600 members", total_bytes, "B", MAX_MEMORY_BYTES),
    ]


def extrapolate_idle_bytes(
    by_size: Sequence[Measurement], by_zones: Sequence[Measurement]
) -> Measurement:
    """Return the idle traffic at the target, from the growth by size and by zones."""
    small, large = by_size[0].value, by_size[-1].value
    growth_by_size = max(0.0, large - small)
    growth_by_zones = max(0.0, by_zones[-1].value - by_zones[0].value)
    return Measurement(
        "bytes when idle, extrapolated to 13 x 200",
        large + growth_by_size + growth_by_zones,
        "B/s",
        MAX_BYTES_PER_SECOND,
    )


def run(quick: bool) -> list[Measurement]:
    """Measure fleets of several sizes."""
    sizes = (10, 20) if quick else (25, 50, 100, 200)
    seconds = 10.0 if quick else 30.0
    zones = ((1, 5), (6, 5)) if quick else ((1, 16), (13, 16))
    by_size = [measure_idle(1, size, seconds) for size in sizes]
    by_zones = [measure_idle(count, size, 40.0) for count, size in zones]
    measurements = [
        measurement for group in (*by_size, *by_zones) for measurement in group
    ]
    measurements.append(
        extrapolate_idle_bytes(
            [group[0] for group in by_size], [group[0] for group in by_zones]
        )
    )
    for count, size in ((2, 10),) if quick else ((2, 25), (2, 50), (2, 100), (13, 16)):
        measurements += measure_single_events(count, size)
    for size, failure_count in ((24, 12),) if quick else ((100, 50), (250, 200)):
        measurements += measure_mass_failure(size, failure_count)
    for count, size in ((2, 9),) if quick else ((2, 50), (1, 150)):
        measurements += measure_mass_restart(count, size)
    return measurements + measure_member_memory()


__all__ = ["run"]
