"""Membership: bytes, processor time and detection against fleet size.

Bytes are those that membership sends and receives, with 28 bytes of headers
for a datagram and 80 for a control message. Virtual time; processor time is
this process's, network fake included, sockets excluded.
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
MAX_DRAINING_SECONDS = 3.0
MAX_DEAD_SECONDS = 15.0
TARGET_ZONES = 13
TARGET_ZONE_SIZE = 200
FAILURES_PER_DAY = 15
REPLACEMENTS_PER_DAY = 170
SECONDS_PER_DAY = 86_400
STEP_SECONDS = 0.1
WINDOW_SECONDS = 10.0
MASS_WINDOWS = 12
MAX_MASS_SECONDS = 120.0
LIMIT_SECONDS = 120.0


def converged_fleet(zones: int, size: int, loss: float = 0.0, seed: int = 1) -> Fleet:
    """Return a fleet at rest in which everyone knows all others."""
    fleet = Fleet(seed)
    for zone in range(zones):
        fleet.add_zone(f"zone-{zone}", size, f"region-{zone // 4}", start=False)
    fleet.apply(RecordWrite(RecordKey("service", "service-0", 1), {}))
    for number, daemon in enumerate(fleet.daemons.values()):
        daemon.endpoints = (Endpoint(f"service-{number % 190}", "1", 10, 130, False),)
        daemon.update_member()
    members = [d.membership.state.self_member for d in fleet.daemons.values()]
    for daemon in fleet.daemons.values():
        state = daemon.membership.state
        state.bootstrap.has_joined = True
        state.bootstrap.sync_count = 10
        state.bootstrap.next_sync_at = fleet.rng.uniform(0.0, 30.0)
        state.outbox.queued.clear()
        for member in members:
            if member.address != daemon.address:
                merge_update(state.table, member, 0.0)
                state.table.zone_last_contact_at[member.availability_zone] = 0.0
    for daemon in fleet.daemons.values():
        daemon.start()
    fleet.run(10.0)
    fleet.loss_probability = loss
    return fleet


def bytes_spent(fleet: Fleet, work: Callable[[], object]) -> float:
    """Return the bytes that each running daemon has spent on average."""
    before = {
        d.address: fleet.traffic[d.address].membership_bytes for d in fleet.running
    }
    work()
    spent = [fleet.traffic[a].membership_bytes - total for a, total in before.items()]
    return sum(spent) / len(spent)


def seconds_until(fleet: Fleet, condition: Callable[[], bool]) -> float:
    """Return the virtual seconds until a condition holds."""
    return fleet.run_until(condition, LIMIT_SECONDS, STEP_SECONDS)


def holds(holder: FleetDaemon, daemon: FleetDaemon, ended: bool) -> bool:
    """Tell whether a daemon holds another to have ended, or to take part."""
    known = holder.membership.state.table.members.get(daemon.address)
    has_ended = known is None or known.status > Status.SUSPECT
    return has_ended is ended


def ended_everywhere(fleet: Fleet, gone: Sequence[FleetDaemon]) -> bool:
    """Tell whether all running daemons hold these to have ended."""
    return all(holds(h, d, True) for h in fleet.running for d in gone if h is not d)


def false_evictions(fleet: Fleet) -> int:
    """Count the pairs in which a running daemon is held to have ended."""
    running = [d for d in fleet.running if not d.draining]
    return sum(holds(h, d, True) for h in running for d in running if h is not d)


def at_rest(zones: int, size: int, seconds: float) -> list[Measurement]:
    """Measure bytes and processor time at rest."""
    fleet = converged_fleet(zones, size)
    before = {a: t.membership_bytes for a, t in fleet.traffic.items()}
    began = time.process_time()
    spent = bytes_spent(fleet, lambda: fleet.run(seconds))
    processor = time.process_time() - began
    worst = max(t.membership_bytes - before[a] for a, t in fleet.traffic.items())
    label = f"at rest, {zones} x {size}"
    share = processor / seconds / (zones * size)
    return [
        Measurement(f"bytes {label}", spent / seconds, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(f"worst {label}", worst / seconds, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(f"core share {label}", share, "", MAX_CORE_SHARE),
    ]


def single_events(zones: int, size: int) -> list[Measurement]:
    """Measure one death, one replacement and one draining, under 2% loss."""
    fleet = converged_fleet(zones, size, 0.02)
    rest = bytes_spent(fleet, lambda: fleet.run(WINDOW_SECONDS)) / WINDOW_SECONDS
    one, other = fleet.running[1], fleet.running[2]
    other.drain()
    draining = seconds_until(fleet, lambda: not _gets_work(fleet, other))
    fleet.kill(one)
    times: list[float] = []

    def die_and_return() -> None:
        times.append(seconds_until(fleet, lambda: ended_everywhere(fleet, [one])))
        fleet.run(WINDOW_SECONDS)
        fleet.restart(one)
        fleet.run(2 * WINDOW_SECONDS)

    spent = bytes_spent(fleet, die_and_return) - rest * (times[0] + 30.0)
    events = FAILURES_PER_DAY + REPLACEMENTS_PER_DAY
    rate = rest + max(0.0, spent) * events / SECONDS_PER_DAY
    label = f"{zones} x {size}"
    return [
        Measurement(f"draining known, {label}", draining, "s", MAX_DRAINING_SECONDS),
        Measurement(f"death known, {label}", times[0], "s", MAX_DEAD_SECONDS),
        Measurement(f"bytes of a death and return, {label}", spent, "B"),
        Measurement(f"bytes in churn, {label}", rate, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(f"false evictions, {label}", false_evictions(fleet), "", 0),
    ]


def _gets_work(fleet: Fleet, leaving: FleetDaemon) -> bool:
    return any(holds(h, leaving, False) for h in fleet.running if h is not leaving)


def mass_loss(size: int, lost: int) -> list[Measurement]:
    """Measure the loss of many members of one zone together."""
    fleet = converged_fleet(1, size, 0.02)
    gone = fleet.running[:lost]
    for daemon in gone:
        fleet.kill(daemon)
    survivors = fleet.running
    worst, evictions = 0.0, 0
    known_after = float("inf")
    for window in range(1, MASS_WINDOWS + 1):
        before = {
            d.address: fleet.traffic[d.address].membership_bytes for d in survivors
        }
        fleet.run(WINDOW_SECONDS)
        spent = (
            fleet.traffic[a].membership_bytes - total for a, total in before.items()
        )
        worst = max(worst, max(spent) / WINDOW_SECONDS)
        evictions += false_evictions(fleet)
        if ended_everywhere(fleet, gone):
            known_after = min(known_after, window * WINDOW_SECONDS)
    label = f"{lost} of {size} lost"
    return [
        Measurement(f"worst bytes, {label}", worst, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(
            f"known to all survivors, {label}", known_after, "s", MAX_MASS_SECONDS
        ),
        Measurement(f"false evictions, {label}", evictions, "", 0),
    ]


def herd_return(zones: int, size: int) -> list[Measurement]:
    """Measure the return of a third of the daemons, killed 30 s before."""
    fleet = converged_fleet(zones, size)
    herd = fleet.running[::3]
    for daemon in herd:
        fleet.kill(daemon)
    fleet.run(30.0)
    calls = fleet.store.call_counts.total()
    back = [fleet.restart(daemon) for daemon in herd]
    whole = zones * size
    known_after, worst = float("inf"), 0.0
    for window in range(1, MASS_WINDOWS + 1):
        before = {a: t.membership_bytes for a, t in fleet.traffic.items()}
        fleet.run(WINDOW_SECONDS)
        spent = (
            fleet.traffic[a].membership_bytes - total for a, total in before.items()
        )
        worst = max(worst, max(spent) / WINDOW_SECONDS)
        if all(len(d.membership.live) == whole for d in fleet.running):
            known_after = min(known_after, window * WINDOW_SECONDS)
    reads = (fleet.store.call_counts.total() - calls) / len(back)
    label = f"a third of {zones} x {size} back"
    return [
        Measurement(f"worst bytes, {label}", worst, "B/s", MAX_BYTES_PER_SECOND),
        Measurement(f"known to all, {label}", known_after, "s", MAX_MASS_SECONDS),
        Measurement(f"platform calls, {label}", reads, "per daemon back"),
        Measurement(f"false evictions, {label}", false_evictions(fleet), "", 0),
    ]


def memory_per_member() -> float:
    """Return the bytes that a member of another zone takes in the table."""
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
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / size


def measure_memory() -> list[Measurement]:
    """Return the memory of a member, and of all at the target's size."""
    each = memory_per_member()
    total = each * TARGET_ZONES * TARGET_ZONE_SIZE
    return [
        Measurement("memory of a member", each, "B"),
        Measurement("memory of 2600 members", total, "B", MAX_MEMORY_BYTES),
    ]


def extrapolated(
    by_size: Sequence[Measurement], by_zones: Sequence[Measurement]
) -> Measurement:
    """Return bytes at rest at the target, from the slopes over size and zones."""
    small, large = by_size[0].value, by_size[-1].value
    growth_size = max(0.0, large - small)
    growth_zones = max(0.0, by_zones[-1].value - by_zones[0].value)
    return Measurement(
        "bytes at rest, worked out for 13 x 200",
        large + growth_size + growth_zones,
        "B/s",
        MAX_BYTES_PER_SECOND,
    )


def run(quick: bool) -> list[Measurement]:
    """Measure."""
    sizes = (10, 20) if quick else (25, 50, 100, 200)
    seconds = 10.0 if quick else 30.0
    zones = ((1, 5), (6, 5)) if quick else ((1, 16), (13, 16))
    by_size = [at_rest(1, size, seconds) for size in sizes]
    by_zones = [at_rest(count, size, 40.0) for count, size in zones]
    measurements = [f for group in (*by_size, *by_zones) for f in group]
    measurements.append(extrapolated([g[0] for g in by_size], [g[0] for g in by_zones]))
    for count, size in ((2, 10),) if quick else ((2, 25), (2, 50), (2, 100), (13, 16)):
        measurements += single_events(count, size)
    for size, lost in ((24, 12),) if quick else ((100, 50), (250, 200)):
        measurements += mass_loss(size, lost)
    for count, size in ((2, 9),) if quick else ((2, 50), (1, 150)):
        measurements += herd_return(count, size)
    return measurements + measure_memory()


__all__ = ["run"]
