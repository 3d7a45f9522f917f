"""A server's answer without an end, in small chunks, hangs the daemon beside it."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))
import stage


TIMEOUT_MS = 1500
BUDGET_S = 4.0
PIECE = 1
CALM_S, TROUBLE_S = 4.0, 20.0
REPORT_CLIENTS = 6


async def ask(ip, path, request):
    """Send a safe request on a new connection; return its status, None without one."""
    reader, writer = await asyncio.open_connection(ip, stage.PORTS["outbound"])
    try:
        writer.write(
            stage.request_bytes("GET", f"{path}{request}", request, BUDGET_S * 1000)
        )
        line = await reader.readline()
        status = line.decode("latin-1").split(" ")[1] if line else None
        while await reader.read(65536):
            pass
        return status
    finally:
        writer.close()


class EndlessServer(stage.Server):
    """A server whose answers have a body without an end, in chunks of PIECE bytes."""

    endless = False

    async def _serve(self, reader, writer):
        block = (b"%x\r\n%b\r\n" % (PIECE, b"x" * PIECE)) * 1000
        try:
            while (message := await stage.read_message(reader)) is not None:
                path, headers = message[0].split(" ")[1], message[1]
                request = headers.get("attempt-id", "")
                echo = [("Attempt-Id", request)]
                if headers.get("expected-instance", self.id) != self.id:
                    stage.reply(writer, 421, [*echo, ("Instance-Id", self.id)], b"")
                    continue
                self.runs.append(request)
                signature = f"{self.id}.{len(self.runs):x}"
                if not self.endless:
                    body = await self.work(path, headers, message[2])
                    echo.append(("Server-Signature", signature))
                    stage.reply(writer, 200, echo, body)
                    await writer.drain()
                    continue
                writer.write(
                    f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nServer-Signature: "
                    f"{signature}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
                )
                while True:
                    writer.write(block)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


async def case(record, trouble):
    """Run the case; return 1 if the rule was broken, 0 if it held."""

    async def work(path, headers, body):
        await asyncio.sleep(0.02)
        return b"ok"

    platform = stage.Stage(record)
    results = []

    async def client(ip, path, end, is_ordinary):
        while record.now() < end:
            request = f"{random.getrandbits(64):016x}"
            sent = record.now()
            try:
                status = await asyncio.wait_for(ask(ip, path, request), BUDGET_S)
            except (TimeoutError, OSError) as error:
                status = type(error).__name__
            took = record.now() - sent
            if is_ordinary:
                results.append((sent, took, status))
            record(
                f"request {path}{request} sent at {sent:.3f}: {status} after"
                f" {took:.3f} s"
            )
            await asyncio.sleep(max(0.0, 0.5 - took))

    try:
        stage.Server = EndlessServer
        await platform.start(
            ["shelves", "shelves", "reports"],
            stage.configuration(
                stage.route("r-shelf", "shelves", "/shelf/", "safe", TIMEOUT_MS, 500),
                stage.route("r-report", "reports", "/report/", "safe", 8000, 2000),
                services=["shelves", "reports"],
            ),
            work,
        )
        await asyncio.sleep(stage.BOUNDS["contact-ms"] / 1000)
        daemon = platform.daemons[2]
        started = record.now()
        end = started + CALM_S + TROUBLE_S
        clients = [
            asyncio.create_task(client(daemon.ip, "/shelf/", end, True))
            for _ in range(10)
        ]
        clients += [
            asyncio.create_task(client(daemon.ip, "/report/", end, False))
            for _ in range(REPORT_CLIENTS)
        ]
        await asyncio.sleep(CALM_S)
        if trouble:
            record("the server of reports sends bodies without an end")
            platform.servers[2].endless = True
        while record.now() < end:
            record(
                f"daemon {daemon.ip}: {daemon.rss_mb():.0f} MB, ready {daemon.ready}"
            )
            await asyncio.sleep(1.0)
        await asyncio.gather(*clients)
    finally:
        await platform.stop()
    late = [r for r in results if r[1] >= TIMEOUT_MS / 1000]
    unanswered = [r for r in late if r[1] > TIMEOUT_MS / 1000 + 0.5]
    record.say(
        f"{len(results)} requests; {len(late)} unanswered at their route's timeout-ms, "
        f"{len(unanswered)} of them also 0.5 s later"
    )
    return int(len(unanswered) >= 8 and len(unanswered) > len(late) / 4)


stage.main(case)
