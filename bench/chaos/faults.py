"""The faults of a trial, as actions on a mesh."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from bench.chaos.account import EVERY_DAEMON
from bench.chaos.account import Account
from bench.chaos.tcp_relay import LinkFault
from standins.mesh import put_json


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from bench.chaos.tcp_relay import TcpRelay
    from standins.mesh import Mesh


FREEZE_SECONDS = 3.0
OUTAGE_SECONDS = 4.0
LINK_SECONDS = 4.0
MAX_DELAY_SECONDS = 0.5
HERD_SHARE = 1 / 3
FAULTY_SHARE = 0.3
FAULTY_SECONDS = 2.0
HANG_UPS = 3
BAD_ROUTE = "[route bad]\nservice = missing\npath_prefix = /bad\n"


@dataclass(frozen=True)
class Links:
    """The relays of a trial.

    ``store`` by availability zone, ``callers`` by the daemon's address for
    callers, ``backends`` one for each backend server.
    """

    store: Mapping[str, TcpRelay]
    callers: Mapping[str, TcpRelay]
    backends: Sequence[TcpRelay]

    def stop(self) -> None:
        """Close every relay."""
        for relay in (*self.store.values(), *self.callers.values(), *self.backends):
            relay.stop()


@dataclass
class Series:
    """One of the series of faults that run at the same time."""

    rng: random.Random
    order: list[Callable[[random.Random], str]] = field(default_factory=list)


class Faults:
    """Brings about faults from outside the processes, in series that overlap.

    A process belongs to one fault at a time; those of links, of the store and
    of the backend servers' answers fall together with any other.
    """

    def __init__(
        self, mesh: Mesh, links: Links, backends: Sequence[str], seed: int
    ) -> None:
        self.mesh = mesh
        self.links = links
        self.backends = backends
        self.seed = seed
        self.account = Account()
        self.amendments = 0
        self.lock = threading.Lock()
        self.taken: set[str] = set()
        self.began = time.monotonic()
        self.actions: tuple[Callable[[random.Random], str], ...] = (
            self.kill_daemon,
            self.kill_herd,
            self.freeze_daemon,
            self.freeze_backend,
            self.lose_backend_answers,
            self.cut_backend_answers,
            self.stop_daemon,
            self.hang_up_daemon,
            self.platform_outage,
            self.disturb_store,
            self.disturb_callers,
            self.disturb_backend,
            self.lose_answers,
            self.amend,
            self.race,
            self.bad_change,
        )

    def run(self, seconds: float, series: int = 1) -> Account:
        """Run every action at least once and go on until the time is over."""
        self.began = time.monotonic()
        order = list(self.actions)
        random.Random(self.seed).shuffle(order)
        threads = [
            threading.Thread(
                target=self._run_series,
                args=(random.Random(f"{self.seed} {n}"), order[n::series], seconds),
            )
            for n in range(series)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.account

    def _run_series(
        self,
        rng: random.Random,
        order: list[Callable[[random.Random], str]],
        seconds: float,
    ) -> None:
        while order or time.monotonic() - self.began < seconds:
            action = order.pop() if order else rng.choice(self.actions)
            at = time.monotonic() - self.began
            try:
                line = action(rng)
            except Exception as error:
                self.account.errors.append(f"{action.__name__}: {error!r}")
                raise
            self.account.lines.append(f"{at:6.1f} s {line}")
            time.sleep(rng.uniform(0.2, 1.0))

    @contextmanager
    def _taken(self, rng: random.Random, names: Sequence[str]) -> Iterator[str]:
        """Choose a process that no other fault has taken, and take it."""
        while True:
            with self.lock:
                free = [name for name in names if name not in self.taken]
                if free:
                    name = rng.choice(free)
                    self.taken.add(name)
                    break
            time.sleep(0.1)
        try:
            yield name
        finally:
            with self.lock:
                self.taken.discard(name)

    @contextmanager
    def _daemon(self, rng: random.Random) -> Iterator[int]:
        names = [f"daemon-{number}" for number in range(len(self.mesh.nodes))]
        with self._taken(rng, names) as name:
            yield int(name.rpartition("-")[2])

    def kill_daemon(self, rng: random.Random) -> str:
        """Kill a daemon and replace it, now and then without the platform."""
        with self._daemon(rng) as number:
            down = rng.random() < 0.5
            if down:
                self._switch(outage="close")
            self._kill(number)
            time.sleep(rng.uniform(0.1, 1.0))
            self.mesh.start_daemon(number)
            if down:
                time.sleep(OUTAGE_SECONDS)
                self._switch(outage="")
            return f"killed daemon {number}, platform {'down' if down else 'up'}"

    def kill_herd(self, rng: random.Random) -> str:
        """Kill a third of the daemons together and start them together."""
        count = max(2, int(len(self.mesh.nodes) * HERD_SHARE))
        with self.lock:
            free = [
                number
                for number in range(len(self.mesh.nodes))
                if f"daemon-{number}" not in self.taken
            ]
            numbers = sorted(rng.sample(free, min(count, len(free))))
            names = {f"daemon-{number}" for number in numbers}
            self.taken |= names
        for number in numbers:
            self._kill(number)
        for number in numbers:
            self.mesh.start_daemon(number)
        with self.lock:
            self.taken -= names
        return f"killed daemons {numbers}"

    def _kill(self, number: int) -> None:
        node = self.mesh.nodes[number]
        self.account.killed.append((node.callers, time.monotonic()))
        self.mesh.kill(f"daemon-{number}")

    def freeze_daemon(self, rng: random.Random) -> str:
        """Pause a daemon."""
        with self._daemon(rng) as number:
            self._freeze(f"daemon-{number}")
            return f"froze daemon {number}"

    def freeze_backend(self, rng: random.Random) -> str:
        """Pause a backend server."""
        names = sorted(n for n in self.mesh.processes if n.startswith("backend"))
        with self._taken(rng, names) as name:
            self._freeze(name)
            return f"froze {name}"

    def _freeze(self, name: str) -> None:
        self.mesh.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
        self.mesh.signal(name, signal.SIGCONT)

    def lose_backend_answers(self, _: random.Random) -> str:
        """Let the backend servers run requests and close without an answer."""
        return self._backend_fault(close_after=FAULTY_SHARE)

    def cut_backend_answers(self, _: random.Random) -> str:
        """Let the backend servers cut their answers short."""
        return self._backend_fault(truncate=FAULTY_SHARE)

    def _backend_fault(self, **shares: float) -> str:
        with self.account.disturbance(EVERY_DAEMON):
            for address in self.backends:
                self._put(address, "/standin/faults", {"seed": self.seed, **shares})
            time.sleep(FAULTY_SECONDS)
            for address in self.backends:
                self._put(address, "/standin/faults", {})
        return f"backend servers with {shares}"

    @staticmethod
    def _put(address: str, path: str, body: object) -> None:
        """Set a switch of a stand-in, which may be paused just now."""
        while True:
            try:
                put_json(address, path, body)
            except OSError:
                time.sleep(0.2)
            else:
                return

    def stop_daemon(self, rng: random.Random) -> str:
        """Stop a daemon gracefully and start it again."""
        with self._daemon(rng) as number:
            callers = self.mesh.nodes[number].callers
            self.mesh.wait_for_daemon(number)
            began = time.monotonic()
            status = self.mesh.stop(f"daemon-{number}")
            stop = (callers, began, time.monotonic(), status)
            self.account.planned_stops.append(stop)
            self.mesh.start_daemon(number)
            return f"stopped daemon {number} gracefully, status {status}"

    def hang_up_daemon(self, rng: random.Random) -> str:
        """Let a daemon read its settings again, several times in a row."""
        with self._daemon(rng) as number:
            self.mesh.wait_for_daemon(number)
            for _ in range(HANG_UPS):
                self.mesh.signal(f"daemon-{number}", signal.SIGHUP)
                time.sleep(rng.uniform(0.0, 0.3))
            return f"daemon {number} read its settings again"

    def platform_outage(self, rng: random.Random) -> str:
        """Take the platform down while a change is made."""
        writer = threading.Thread(target=self.amend, args=(rng,))
        writer.start()
        time.sleep(rng.uniform(0.3, 0.8))
        self._switch(outage="close")
        time.sleep(OUTAGE_SECONDS)
        self._switch(outage="")
        writer.join()
        return "platform outage during a change"

    def disturb_store(self, rng: random.Random) -> str:
        """Disturb one zone's way to the platform during a change."""
        zone = rng.choice(sorted(self.links.store))
        relay = self.links.store[zone]
        return f"way of {zone} to the platform: {self._disturb(rng, relay, self.amend)}"

    def disturb_callers(self, rng: random.Random) -> str:
        """Disturb the way of the callers to one daemon."""
        daemon = rng.choice(sorted(self.links.callers))
        with self.account.disturbance(daemon):
            what = self._disturb(rng, self.links.callers[daemon])
        return f"way of callers to {daemon}: {what}"

    def disturb_backend(self, rng: random.Random) -> str:
        """Disturb the way of one daemon to its backend server."""
        with self.account.disturbance(EVERY_DAEMON):
            what = self._disturb(rng, rng.choice(self.links.backends))
        return f"way to a backend server: {what}"

    @staticmethod
    def _disturb(
        rng: random.Random,
        relay: TcpRelay,
        meanwhile: Callable[[random.Random], str] | None = None,
    ) -> str:
        """Bring about one of the link faults, and do something meanwhile."""
        what = rng.choice(("cut", "delay", "one-way", "reset", "silence"))
        if what == "reset":
            relay.reset()
        elif what == "silence":
            relay.silence()
        else:
            relay.delay = rng.uniform(0.05, MAX_DELAY_SECONDS)
            relay.fault = LinkFault(what)
        if meanwhile is not None:
            meanwhile(rng)
        time.sleep(LINK_SECONDS)
        relay.fault = LinkFault.NONE
        return what

    def lose_answers(self, rng: random.Random) -> str:
        """Lose the answers of writes after they have taken effect."""
        self._switch(lose_answers=rng.randint(1, 4))
        self.amend(rng)
        return "lost answers of writes"

    def amend(self, _: random.Random) -> str:
        """Amend a record."""
        codes = self._apply(self._amendment())
        return f"amended a record, status {codes}"

    def race(self, _: random.Random) -> str:
        """Let three operators amend the same record at once."""
        codes = self._apply(*(self._amendment() for _ in range(3)))
        self.account.race_codes.append(codes)
        return f"three operators raced, statuses {codes}"

    def bad_change(self, _: random.Random) -> str:
        """Apply a change that must be refused."""
        codes = self._apply(BAD_ROUTE, wait_s=15.0)
        self.account.bad_codes.extend(codes)
        return f"applied a bad change, status {codes}"

    def _amendment(self) -> str:
        with self.lock:
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
            arguments = ["apply", str(path), "--platform", self.mesh.store_address]
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
        put_json(self.mesh.store_address, "/standin/switches", switches)


__all__ = ["Faults", "Links"]
