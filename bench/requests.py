"""Request policy in virtual time, beside a thin policy to compare with.

Goodput under overload, urgent latency beside bulk, attempts in an outage,
shares of calls that unequal servers get, and processor time per call.
"""

from __future__ import annotations

import functools
import itertools
import time
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from bench.measurement import Measurement
from bench.request_model import SLOTS
from bench.request_model import Model
from bench.request_model import Tally
from bench.request_model import route
from briarslip.address import Address
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.forwarder import CallerRequest
from briarslip.request.outcome import Outcome
from briarslip.request.server_directory import ServerDirectory
from standins.virtual_time import VirtualTime


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink


SEED = 20
SERVERS = 4
MEAN_SECONDS = 0.02
CAPACITY = SERVERS * SLOTS / MEAN_SECONDS
LOADS = (0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)
QUICK_LOADS = (0.9, 1.0, 2.0)
# A call that arrives at an idle server ends in time in 99 cases of 100.
DEADLINE_SECONDS = 0.1
MAX_GOODPUT_LOSS = 0.1
MAX_URGENT_P99_RATIO = 1.25
MAX_AMPLIFICATION = 1.1
DEPTH = 8
MEMBERS = 2600
SERVICES = 190
ODD: dict[str, dict[str, Any]] = {
    "slow": {"slowness": 10.0},
    "cold": {"slowness": 10.0, "warms_by": 1.0},
    "failing": {"failing": True},
}
DAEMONS = 200
UNEQUAL = (1.0, 1.0, 1.0, 2.0, 2.0, 1.0, 4.0, 1.0)
LEARNING_SECONDS = 6.0
POLICY_NAMES = {True: "thin", False: "policy"}


def run(quick: bool) -> list[Measurement]:
    """Measure everything."""
    seconds = 2.0 if quick else 10.0
    loads = QUICK_LOADS if quick else LOADS
    measurements: list[Measurement] = []
    for use_baseline in (True, False):
        measurements += goodput(use_baseline, loads, seconds)
        measurements += urgency(use_baseline, 2 * seconds)
        measurements += amplification(use_baseline, 1000 if quick else 5000)
        measurements += shares(use_baseline, 5 * seconds)
        if not quick:
            measurements += many_daemons(use_baseline, seconds)
    return measurements + cost(2000 if quick else 20000)


def goodput(
    use_baseline: bool, loads: tuple[float, ...], seconds: float
) -> list[Measurement]:
    """Return the share of the peak goodput that is lost at the highest load."""
    measurements = []
    results = []
    for load in loads:
        model = Model((route("r", True, DEADLINE_SECONDS),), SEED, use_baseline)
        for _ in range(SERVERS):
            model.add_server({"r": MEAN_SECONDS})
        model.offer("r", load * CAPACITY, seconds)
        model.time.run()
        results.append(model.tallies["r"].outcomes["good"] / seconds / CAPACITY)
        name = f"{POLICY_NAMES[use_baseline]}: goodput at {load} of capacity"
        measurements.append(Measurement(name, results[-1], "of capacity"))
    lost = 1.0 - results[-1] / max(results)
    bound = None if use_baseline else MAX_GOODPUT_LOSS
    name = f"{POLICY_NAMES[use_baseline]}: goodput lost at twice the capacity"
    return [*measurements, Measurement(name, lost, "of peak", bound)]


def urgency(use_baseline: bool, seconds: float) -> list[Measurement]:
    """Compare urgent calls at half the capacity with and without bulk."""
    measurements = []
    for slowness in (1.0, 10.0):
        alone = mixed(use_baseline, slowness, 0.0, seconds)
        beside = mixed(use_baseline, slowness, 10.0, seconds)
        urgent = beside.tallies["urgent"]
        ratio = urgent.percentile(0.99) / alone.tallies["urgent"].percentile(0.99)
        refused = urgent.calls - len(urgent.latencies)
        bulk = beside.tallies["bulk"]
        prefix = (
            f"{POLICY_NAMES[use_baseline]}: bulk 10x of capacity,"
            f" {slowness:.0f}x service time: "
        )
        bound = None if use_baseline else MAX_URGENT_P99_RATIO
        none = None if use_baseline else 0.0
        measurements += [
            Measurement(prefix + "urgent p99", ratio, "x without bulk", bound),
            Measurement(prefix + "urgent not answered", refused, "calls", none),
            Measurement(
                prefix + "bulk answered", len(bulk.latencies) / seconds, "calls/s"
            ),
        ]
    return measurements


def mixed(
    use_baseline: bool, slowness: float, bulk_load: float, seconds: float
) -> Model:
    """Run urgent calls at half the capacity of a server, and bulk calls."""
    routes = (route("urgent", True, 1.0), route("bulk", False, 10.0))
    model = Model(routes, SEED, use_baseline)
    model.add_server({"urgent": MEAN_SECONDS, "bulk": MEAN_SECONDS * slowness})
    capacity = SLOTS / MEAN_SECONDS
    model.offer("urgent", 0.5 * capacity, seconds)
    if bulk_load:
        model.offer("bulk", bulk_load * capacity / slowness, seconds)
    model.time.run()
    return model


def amplification(use_baseline: bool, calls: int) -> list[Measurement]:
    """Return the attempts per call in a full outage, flat and nested."""
    measurements = []
    for depth in (1, 3 if use_baseline else DEPTH):
        made = calls if depth == 1 or not use_baseline else 20
        attempts = attempts_in_outage(use_baseline, depth, made)
        name = f"{POLICY_NAMES[use_baseline]}: attempts in a full outage, {depth} deep"
        bound = None if use_baseline else MAX_AMPLIFICATION
        measurements.append(Measurement(name, attempts / made, "a call", bound))
    return measurements


def attempts_in_outage(use_baseline: bool, depth: int, calls: int) -> int:
    """Count the attempts at the innermost of some services, all failing."""
    now = VirtualTime()
    chain = [outage_model(use_baseline, number, now) for number in range(depth)]
    innermost = list(chain[-1].servers.values())
    for outer, inner in itertools.pairwise(chain):
        for address in outer.servers:
            outer.dispatches[address] = functools.partial(call_next, inner)
    for _ in range(calls):
        chain[0].send("r")
        now.advance(0.05)
    now.run()
    return sum(server.runs for server in innermost)


def outage_model(use_baseline: bool, number: int, now: VirtualTime) -> Model:
    """Return a service whose servers all fail."""
    model = Model((route("r", True, 5.0),), SEED + number, use_baseline, 1, now)
    for _ in range(SERVERS):
        model.add_server({"r": MEAN_SECONDS}, failing=True)
    return model


def call_next(inner: Model, call: Call, sink: ResponseSink) -> Callable[[], None]:
    """Be a server that calls the next service, and fails as that call does."""
    request = CallerRequest("GET", "/r", call.headers, b"", call.depth, None)
    cancel: Callable[[], None] = inner.forwarders[0](request, sink)
    return cancel


def shares(use_baseline: bool, seconds: float) -> list[Measurement]:
    """Return what servers get that are slow, cold or failing."""
    measurements = []
    for name in ODD:
        model = Model((route("r", True, 1.0),), SEED, use_baseline)
        for _ in range(SERVERS - 1):
            model.add_server({"r": MEAN_SECONDS})
        model.offer("r", 0.3 * CAPACITY, seconds)
        model.time.advance(1.0)
        before = model.tallies["r"].calls
        odd = model.add_server({"r": MEAN_SECONDS}, **ODD[name])
        model.time.run()
        tally = model.tallies["r"]
        share = odd.runs / (tally.calls - before)
        prefix = f"{POLICY_NAMES[use_baseline]}: one {name} server of {SERVERS}: "
        measurements.append(Measurement(prefix + "its share of calls", share, ""))
        p99 = tally.percentile(0.99) / MEAN_SECONDS
        measurements.append(Measurement(prefix + "p99", p99, "mean service times"))
        lost = 1.0 - tally.outcomes["good"] / tally.calls
        measurements.append(
            Measurement(prefix + "not answered in time", lost, "of calls")
        )
    return measurements


def many_daemons(use_baseline: bool, seconds: float) -> list[Measurement]:
    """Return p99 where each of 200 daemons sees few of the answers.

    The servers differ in speed by up to 4 times.
    """
    measurements = []
    for load in (0.6, 0.85):
        model = Model((route("r", True, 1.0),), SEED, use_baseline, forwarders=DAEMONS)
        for slowness in UNEQUAL:
            model.add_server({"r": MEAN_SECONDS}, slowness=slowness)
        capacity = sum(SLOTS / MEAN_SECONDS / slowness for slowness in UNEQUAL)
        model.offer("r", load * capacity, LEARNING_SECONDS + seconds)
        model.time.advance(LEARNING_SECONDS)
        model.tallies["r"] = Tally()
        model.time.run()
        p99 = model.tallies["r"].percentile(0.99) / MEAN_SECONDS
        name = (
            f"{POLICY_NAMES[use_baseline]}: p99 of {DAEMONS} daemons,"
            f" unequal servers at {load}"
        )
        measurements.append(Measurement(name, p99, "mean service times"))
    return measurements


def cost(calls: int) -> list[Measurement]:
    """Return the processor time of the whole request layer per call."""
    model = Model((route("r", True, 5.0),), SEED, use_baseline=False, forwarders=1)
    for _ in range(14):
        model.add_server({"r": MEAN_SECONDS})
    for dispatch in model.dispatches.values():
        admission: Any = dispatch
        admission.backend = answer_at_once
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for _ in range(calls // 5):
            model.send("r")
        best = min(best, (time.process_time() - began) / (calls // 5))
    name = "policy: request layer, both daemons"
    return [Measurement(name, best * 1e6, "us a call"), index_cost()]


def index_cost() -> Measurement:
    """Return the processor time of the index of servers at the fleet's size."""
    model = Model((route("r", True, 5.0),), SEED, use_baseline=False, forwarders=1)
    model.add_server({"r": MEAN_SECONDS})
    (member,) = model.members
    fleet = [
        replace(
            member,
            address=Address("127.0.0.1", 1 + number),
            endpoints=(replace(member.endpoints[0], service=f"s{number % SERVICES}"),),
        )
        for number in range(MEMBERS)
    ]
    directory = ServerDirectory(lambda: tuple(fleet))
    best = float("inf")
    for number in range(10):
        began = time.process_time()
        directory.refresh(float(number))
        best = min(best, time.process_time() - began)
    return Measurement(
        f"policy: index of {MEMBERS} servers", best * 1e3, "ms, twice a s"
    )


def answer_at_once(call: Call, sink: ResponseSink) -> Callable[[], None]:
    """Answer without any time."""
    sink.head(ResponseHead(200, b"", Outcome.RAN, Load(0, SLOTS)))
    sink.body(b"", True)
    return lambda: None


__all__ = ["run"]
