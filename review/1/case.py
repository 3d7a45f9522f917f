"""A request that was accepted during a planned stop ends without any answer."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path
from typing import Any


sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from stage import BOUNDS
from stage import Machine
from stage import Result
from stage import Server
from stage import ServerPlan
from stage import Stage
from stage import configuration
from stage import main
from stage import route


BUDGET_MS = 8000
TARGET_MS = 2400
WORK_S = 1.0
CAPACITY = 12
# The three machines together send 1.75 times what the server can run.
REQUESTS_PER_S = 7
LEAD_S = 6.0
CONTACT_S = BOUNDS["contact-ms"] / 1000
GRACE_S = BOUNDS["grace-s"]
AFTER_GRACE_S = 1.0
LOSS_SLACK_S = BOUNDS["loss-slack-ms"] / 1000
MAX_SENT_AFTER_S = 3.0
# A server at work in the last sixth of the grace time excuses the cut.
LAST_SIXTH_S = GRACE_S * 5 / 6


async def case(stage: Stage, has_trouble: bool) -> list[str]:
    """Stop the daemons that take requests in turn, while a queue is long."""
    serving = stage.add_machine("penang", "history")
    plan = ServerPlan(CAPACITY, work_s=lambda _: WORK_S * random.uniform(0.8, 1.2))
    await Server(stage, serving, "i-7f3a91c2", plan).start()
    fronts = [stage.add_machine(zone, "front") for zone in ("klang", "johor", "ipoh")]
    for number, machine in enumerate(fronts):
        await Server(stage, machine, f"i-11aa22b{number}", ServerPlan()).start()
    routes = {
        "r-1": route("history", "safe", timeout_ms=BUDGET_MS, target_ms=TARGET_MS),
    }
    await stage.start(configuration(7, routes, ["history", "front"]))
    await asyncio.sleep(CONTACT_S + 1.0)
    sent: dict[str, list[asyncio.Task[Result]]] = {m.name: [] for m in fronts}
    senders = [
        asyncio.create_task(send_often(stage, machine, sent[machine.name]))
        for machine in fronts
    ]
    stopped_at: dict[str, float] = {}
    for machine in fronts:
        await asyncio.sleep(LEAD_S)
        await after_check(stage, machine)
        stopped_at[machine.name] = stage.record.now()
        if has_trouble:
            await restart(stage, machine)
        else:
            await asyncio.sleep(GRACE_S)
    for sender in senders:
        sender.cancel()
    broken: list[str] = []
    for name, tasks in sent.items():
        results = await asyncio.gather(*tasks)
        served = sum(result.status == 200 for result in results)
        refused = sum(result.status == 503 for result in results)
        stage.record.write(
            f"{name}: {len(results)} sent, {served} served, {refused} refused"
        )
        if not has_trouble:
            broken += [f"LOST: {r.attempt_id}: {r.error}" for r in results if r.error]
        else:
            lines = (lost_line(stage, r, stopped_at[name]) for r in results)
            broken += [line for line in lines if line]
    return broken


async def restart(stage: Stage, machine: Machine) -> None:
    """Stop a daemon as the platform does, and start it again."""
    stage.signal(machine, signal.SIGTERM)
    assert machine.process is not None
    try:
        await asyncio.wait_for(machine.process.wait(), GRACE_S)
    except TimeoutError:
        stage.signal(machine, signal.SIGKILL)
        await machine.process.wait()
    await stage.start_daemon(machine)
    await stage.wait(lambda: machine.gets_work, 20.0)


async def send_often(
    stage: Stage, machine: Machine, sent: list[asyncio.Task[Result]]
) -> None:
    """Send requests at a steady rate while the platform gives the machine clients."""
    pool: list[Any] = []
    while True:
        if machine.gets_work:
            request = stage.send(
                machine,
                "GET /leny950/2f",
                {"Host": "hulo84.example"},
                budget_ms=BUDGET_MS,
                pool=pool,
            )
            sent.append(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def after_check(stage: Stage, machine: Machine) -> None:
    """Wait until just after a readiness check of a machine."""
    checks = machine.checks
    await stage.wait(lambda: machine.checks > checks, 3.0)


def lost_line(stage: Stage, result: Result, stopped_at: float) -> str:
    """Return how the rule LOST was broken by a request, empty if it was not."""
    if result.status or not result.error:
        return ""
    sent_after = result.sent_at - stopped_at
    cut_after = result.ended_at - stopped_at
    if result.error not in ("IncompleteReadError", "ConnectionResetError"):
        return ""
    if result.ended_at < stopped_at or cut_after > GRACE_S + AFTER_GRACE_S:
        return ""
    runs = [run for run in stage.runs if run.attempt_id == result.attempt_id]
    at_work_late = any(
        run.ended_at - stopped_at >= LAST_SIXTH_S and run.started_at <= result.ended_at
        for run in runs
    )
    if at_work_late and sent_after <= MAX_SENT_AFTER_S:
        return ""
    if not runs and result.ended_at - result.sent_at <= LOSS_SLACK_S:
        return ""
    if result.ended_at - result.sent_at >= BUDGET_MS / 1000 - 0.1:
        return ""
    return (
        f"LOST: {result.attempt_id} was sent {sent_after:.2f} s after SIGTERM and cut "
        f"{cut_after:.2f} s after it without an answer, "
        f"{result.ended_at - result.sent_at:.2f} s of {BUDGET_MS / 1000:.0f} s used; "
        f"no server was at work on it"
    )


if __name__ == "__main__":
    main(case)
