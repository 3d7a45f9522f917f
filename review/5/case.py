"""A server that has left gets requests again once its daemon was restarted."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any


sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from stage import BOUNDS
from stage import Machine
from stage import Server
from stage import ServerPlan
from stage import Stage
from stage import configuration
from stage import main
from stage import route


DRAIN_S = BOUNDS["drain-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000
# A report may arrive seconds late; this one does so once.
REPORT_DELAY_S = 2.5
RESTART_DELAY_S = 0.3
# The server goes on serving after its deregistration, at times for many seconds.
SERVES_ON_S = 9.0
REQUESTS_PER_S = 20


async def case(stage: Stage, has_trouble: bool) -> list[str]:
    """Deregister a server, restart its daemon, and deliver an earlier report late."""
    taking = stage.add_machine("klang", "front")
    beside = stage.add_machine("penang", "history")
    other = stage.add_machine("johor", "history")
    leaving = Server(stage, beside, "i-7f3a91c2", ServerPlan())
    await leaving.start()
    await Server(stage, other, "i-02d9e6b4", ServerPlan()).start()
    await Server(stage, taking, "i-11aa22bb", ServerPlan()).start()
    routes = {"r-1": route("history", "safe")}
    await stage.start(configuration(7, routes, ["history", "front"]))
    await asyncio.sleep(CONTACT_S + 1.0)
    sender = asyncio.create_task(send_often(stage, taking))
    await asyncio.sleep(2.0)

    # The server's last report is on its way when it deregisters.
    assert leaving.heartbeats is not None
    leaving.heartbeats.cancel()
    late_report = leaving.report()
    report_sent_at = stage.record.now()
    stage.record.write("the server sends a report that arrives late")
    await asyncio.sleep(0.1)
    body = json.dumps({"born": leaving.born}).encode()
    status = await leaving.say("Deregister", body)
    acked_at = stage.record.now()
    stage.record.write(f"the deregistration is answered with {status}")
    started_at = 0.0
    if has_trouble:
        await asyncio.sleep(0.1)
        started_at = await restart(stage, beside)
    await asyncio.sleep(max(0.0, report_sent_at + REPORT_DELAY_S - stage.record.now()))
    status = await say_when_listening(leaving, late_report)
    delay_s = stage.record.now() - report_sent_at
    stage.record.write(f"the report arrives {delay_s:.2f} s late: {status}")
    await asyncio.sleep(max(0.0, acked_at + SERVES_ON_S - stage.record.now()))
    sender.cancel()
    in_touch_at = started_at + CONTACT_S if has_trouble else 0.0
    late = [
        run
        for run in stage.runs
        if run.server_id == leaving.server_id
        and run.started_at > acked_at + DRAIN_S
        and run.started_at > in_touch_at
    ]
    stage.record.write(
        f"{len(late)} requests reached the server later than {DRAIN_S:.0f} s after "
        "the ack, from machines in touch"
    )
    if not late:
        return []
    first_s, last_s = (run.started_at - acked_at for run in (late[0], late[-1]))
    when = f"{first_s:.2f} s to {last_s:.2f} s after the ack of its deregistration"
    return [f"DRAIN: {len(late)} requests reached {leaving.server_id} from {when}"]


async def restart(stage: Stage, machine: Machine) -> float:
    """Kill a daemon and start it again after a short delay; return when."""
    stage.signal(machine, signal.SIGKILL)
    assert machine.process is not None
    await machine.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    await stage.start_daemon(machine)
    return stage.record.now()


async def say_when_listening(server: Server, report: bytes) -> int:
    """Deliver a report; while nothing listens, its connection is tried again."""
    for _ in range(50):
        try:
            return await server.say("Heartbeat", report)
        except OSError:
            await asyncio.sleep(0.1)
    return 0


async def send_often(stage: Stage, machine: Machine) -> None:
    """Send requests at a steady rate while the platform gives the machine clients."""
    pool: list[Any] = []
    tasks = set()
    while True:
        request = stage.send(
            machine, "GET /leny950/2f", {"Host": "hulo84.example"}, pool=pool
        )
        tasks.add(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)


if __name__ == "__main__":
    main(case)
