"""The faults of a trial, as actions on a mesh."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from standins.mesh import put_json


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from bench.chaos.tcp_relay import TcpRelay
    from standins.mesh import Mesh


FREEZE_SECONDS = 3.0
OUTAGE_SECONDS = 4.0
CUT_SECONDS = 4.0
HERD_SHARE = 1 / 3
FAULTY_SHARE = 0.3
FAULTY_SECONDS = 2.0
BAD_ROUTE = "[route bad]\nservice = missing\npath_prefix = /bad\n"


@dataclass
class Account:
    """What the faults did, for the invariants to be checked against."""

    lines: list[str] = field(default_factory=list)
    planned_stops: list[tuple[str, float, float, int]] = field(default_factory=list)
    killed: list[tuple[str, float]] = field(default_factory=list)
    race_codes: list[tuple[int, ...]] = field(default_factory=list)
    bad_codes: list[int] = field(default_factory=list)


class Faults:
    """Brings about one fault after the other."""

    def __init__(
        self,
        mesh: Mesh,
        relays: dict[str, TcpRelay],
        backends: Sequence[str],
        seed: int,
    ) -> None:
        self.mesh = mesh
        self.relays = relays
        self.backends = backends
        self.seed = seed
        self.rng = random.Random(seed)
        self.account = Account()
        self.amendments = 0
        self.actions: tuple[Callable[[], str], ...] = (
            self.kill_daemon,
            self.kill_herd,
            self.freeze_daemon,
            self.freeze_backend,
            self.lose_backend_answers,
            self.cut_backend_answers,
            self.stop_daemon,
            self.platform_outage,
            self.cut_zone,
            self.lose_answers,
            self.amend,
            self.race,
            self.bad_change,
        )

    def run(self, seconds: float) -> Account:
        """Run every action at least once and go on until the time is over."""
        began = time.monotonic()
        order = list(self.actions)
        self.rng.shuffle(order)
        while order or time.monotonic() - began < seconds:
            action = order.pop() if order else self.rng.choice(self.actions)
            at = time.monotonic() - began
            self.account.lines.append(f"{at:6.1f} s {action()}")
            time.sleep(self.rng.uniform(0.2, 1.0))
        return self.account

    def _daemon(self) -> int:
        return self.rng.randrange(len(self.mesh.nodes))

    def kill_daemon(self) -> str:
        """Kill a daemon and replace it, now and then without the platform."""
        number = self._daemon()
        down = self.rng.random() < 0.5
        if down:
            self._switch(outage="close")
        self._kill(number)
        time.sleep(self.rng.uniform(0.1, 1.0))
        self.mesh.start_daemon(number)
        if down:
            time.sleep(OUTAGE_SECONDS)
            self._switch(outage="")
        return f"killed daemon {number}, platform {'down' if down else 'up'}"

    def kill_herd(self) -> str:
        """Kill a third of the daemons together and start them together."""
        count = max(2, int(len(self.mesh.nodes) * HERD_SHARE))
        numbers = self.rng.sample(range(len(self.mesh.nodes)), count)
        for number in numbers:
            self._kill(number)
        for number in numbers:
            self.mesh.start_daemon(number)
        return f"killed daemons {sorted(numbers)}"

    def _kill(self, number: int) -> None:
        node = self.mesh.nodes[number]
        self.account.killed.append((node.callers, time.monotonic()))
        self.mesh.kill(f"daemon-{number}")

    def freeze_daemon(self) -> str:
        """Pause a daemon."""
        number = self._daemon()
        self._freeze(f"daemon-{number}")
        return f"froze daemon {number}"

    def freeze_backend(self) -> str:
        """Pause a backend server."""
        names = sorted(n for n in self.mesh.processes if n.startswith("backend"))
        name = self.rng.choice(names)
        self._freeze(name)
        return f"froze {name}"

    def _freeze(self, name: str) -> None:
        self.mesh.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
        self.mesh.signal(name, signal.SIGCONT)

    def lose_backend_answers(self) -> str:
        """Let the backend servers run requests and close without an answer."""
        return self._backend_fault(close_after=FAULTY_SHARE)

    def cut_backend_answers(self) -> str:
        """Let the backend servers cut their answers short."""
        return self._backend_fault(truncate=FAULTY_SHARE)

    def _backend_fault(self, **shares: float) -> str:
        for address in self.backends:
            put_json(address, "/standin/faults", {"seed": self.seed, **shares})
        time.sleep(FAULTY_SECONDS)
        for address in self.backends:
            put_json(address, "/standin/faults", {})
        return f"backend servers with {shares}"

    def stop_daemon(self) -> str:
        """Stop a daemon gracefully and start it again."""
        number = self._daemon()
        callers = self.mesh.nodes[number].callers
        self.mesh.wait_for_daemon(number)
        began = time.monotonic()
        status = self.mesh.stop(f"daemon-{number}")
        stop = (callers, began, time.monotonic(), status)
        self.account.planned_stops.append(stop)
        self.mesh.start_daemon(number)
        return f"stopped daemon {number} gracefully, status {status}"

    def platform_outage(self) -> str:
        """Take the platform down while a change is made."""
        writer = threading.Thread(target=self.amend)
        writer.start()
        time.sleep(self.rng.uniform(0.3, 0.8))
        self._switch(outage="close")
        time.sleep(OUTAGE_SECONDS)
        self._switch(outage="")
        writer.join()
        return "platform outage during a change"

    def cut_zone(self) -> str:
        """Cut one availability zone from the platform during a change."""
        zone = self.rng.choice(sorted(self.relays))
        self.relays[zone].cut = True
        self.amend()
        time.sleep(CUT_SECONDS)
        self.relays[zone].cut = False
        return f"cut {zone} from the platform during a change"

    def lose_answers(self) -> str:
        """Lose the answers of writes after they have taken effect."""
        self._switch(lose_answers=self.rng.randint(1, 4))
        self.amend()
        return "lost answers of writes"

    def amend(self) -> str:
        """Amend a record."""
        codes = self._apply(self._amendment())
        return f"amended a record, status {codes}"

    def race(self) -> str:
        """Let three operators amend the same record at once."""
        codes = self._apply(*(self._amendment() for _ in range(3)))
        self.account.race_codes.append(codes)
        return f"three operators raced, statuses {codes}"

    def bad_change(self) -> str:
        """Apply a change that must be refused."""
        codes = self._apply(BAD_ROUTE, wait_s=15.0)
        self.account.bad_codes.extend(codes)
        return f"applied a bad change, status {codes}"

    def _amendment(self) -> str:
        self.amendments += 1
        timeout_ms = 3000 + self.amendments
        return (
            "[service extra]\n\n[route extra]\nservice = extra\n"
            f"path_prefix = /extra\ntimeout_ms = {timeout_ms}\n"
        )

    def _apply(self, *texts: str, wait_s: float = 0.0) -> tuple[int, ...]:
        started = []
        for number, text in enumerate(texts):
            stamp = f"{time.monotonic_ns()}-{number}"
            path = self.mesh.directory / f"change-{stamp}.ini"
            path.write_text(text)
            arguments = ["apply", str(path), "--platform", self.mesh.platform]
            if wait_s:
                arguments += ["--wait-s", str(wait_s)]
            started.append(
                subprocess.Popen(
                    [sys.executable, "-m", "briarslip.console.application", *arguments],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
            )
        return tuple(process.wait() for process in started)

    def _switch(self, **switches: object) -> None:
        put_json(self.mesh.platform, "/standin/switches", switches)


__all__ = ["Account", "Faults"]
