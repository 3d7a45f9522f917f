"""The faults of a trial, injected into a mesh of processes."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.chaos.fault_log import ALL_DAEMONS
from bench.chaos.fault_log import FaultLog
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
LINK_FAULT_SECONDS = 4.0
MAX_DELAY_SECONDS = 0.5
KILLED_SHARE = 1 / 3
FAULTY_ANSWER_SHARE = 0.3
FAULTY_ANSWERS_SECONDS = 2.0
RELOADS = 3
INVALID_ROUTE = "[route bad]\nservice = missing\npath_prefix = /bad\n"


@dataclass(frozen=True)
class Relays:
    """The relays of a trial.

    ``store`` holds those from daemons to the store, by availability zone; ``callers``
    those from callers to daemons, by the daemon's address for callers; ``backends``
    those from daemons to backend servers, one for each server.
    """

    store: Mapping[str, TcpRelay]
    callers: Mapping[str, TcpRelay]
    backends: Sequence[TcpRelay]

    def stop(self) -> None:
        """Stop every relay."""
        for relay in (*self.store.values(), *self.callers.values(), *self.backends):
            relay.stop()


class FaultInjector:
    """Injects faults into a mesh, in concurrent sequences, and logs them.

    At most one fault at a time kills, stops, freezes or reloads a given process. Faults
    of links, of the store and of the backend servers' answers overlap with any other.
    """

    def __init__(
        self, mesh: Mesh, relays: Relays, backends: Sequence[str], seed: int
    ) -> None:
        self.mesh = mesh
        self.relays = relays
        self.backends = backends
        self.seed = seed
        self.fault_log = FaultLog()
        self.change_count = 0
        self.lock = threading.Lock()
        self.reserved: set[str] = set()
        self.started_at = time.monotonic()
        self.actions: tuple[Callable[[random.Random], str], ...] = (
            self.kill_daemon,
            self.kill_several_daemons,
            self.freeze_daemon,
            self.freeze_backend,
            self.lose_backend_answers,
            self.truncate_backend_answers,
            self.stop_daemon,
            self.reload_daemon,
            self.store_outage,
            self.disturb_store_link,
            self.disturb_caller_link,
            self.disturb_backend_link,
            self.lose_store_answers,
            self.change_record,
            self.race_operators,
            self.apply_invalid_change,
        )

    def run(self, seconds: float, concurrent_faults: int = 1) -> FaultLog:
        """Run every action at least once, and continue until the time is over.

        ``concurrent_faults`` is the number of sequences that run at the same time.
        """
        self.started_at = time.monotonic()
        order = list(self.actions)
        random.Random(self.seed).shuffle(order)
        threads = [
            threading.Thread(
                target=self._run_sequence,
                args=(
                    random.Random(f"{self.seed} {n}"),
                    order[n::concurrent_faults],
                    seconds,
                ),
            )
            for n in range(concurrent_faults)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.fault_log

    def _run_sequence(
        self,
        rng: random.Random,
        order: list[Callable[[random.Random], str]],
        seconds: float,
    ) -> None:
        while order or time.monotonic() - self.started_at < seconds:
            action = order.pop() if order else rng.choice(self.actions)
            elapsed_seconds = time.monotonic() - self.started_at
            try:
                description = action(rng)
            except Exception as error:
                self.fault_log.failed_actions.append(f"{action.__name__}: {error!r}")
                raise
            self.fault_log.action_descriptions.append(
                f"{elapsed_seconds:6.1f} s {description}"
            )
            time.sleep(rng.uniform(0.2, 1.0))

    @contextmanager
    def _reserve_process(
        self, rng: random.Random, names: Sequence[str]
    ) -> Iterator[str]:
        """Reserve a process for one fault; wait while other faults reserve them all."""
        while True:
            with self.lock:
                unreserved = [name for name in names if name not in self.reserved]
                if unreserved:
                    name = rng.choice(unreserved)
                    self.reserved.add(name)
                    break
            time.sleep(0.1)
        try:
            yield name
        finally:
            with self.lock:
                self.reserved.discard(name)

    @contextmanager
    def _reserve_daemon(self, rng: random.Random) -> Iterator[int]:
        names = [f"daemon-{number}" for number in range(len(self.mesh.nodes))]
        with self._reserve_process(rng, names) as name:
            yield int(name.rpartition("-")[2])

    def kill_daemon(self, rng: random.Random) -> str:
        """Kill a daemon and start it again, half of the times during a store outage."""
        with self._reserve_daemon(rng) as number:
            is_store_down = rng.random() < 0.5
            if is_store_down:
                self._set_switches(outage="close")
            self._kill(number)
            time.sleep(rng.uniform(0.1, 1.0))
            self.mesh.start_daemon(number)
            if is_store_down:
                time.sleep(OUTAGE_SECONDS)
                self._set_switches(outage="")
            return f"killed daemon {number}, store {'down' if is_store_down else 'up'}"

    def kill_several_daemons(self, rng: random.Random) -> str:
        """Kill a third of the daemons at once and start them again."""
        count = max(2, int(len(self.mesh.nodes) * KILLED_SHARE))
        with self.lock:
            unreserved = [
                number
                for number in range(len(self.mesh.nodes))
                if f"daemon-{number}" not in self.reserved
            ]
            numbers = sorted(rng.sample(unreserved, min(count, len(unreserved))))
            names = {f"daemon-{number}" for number in numbers}
            self.reserved |= names
        for number in numbers:
            self._kill(number)
        for number in numbers:
            self.mesh.start_daemon(number)
        with self.lock:
            self.reserved -= names
        return f"killed daemons {numbers}"

    def _kill(self, number: int) -> None:
        node = self.mesh.nodes[number]
        self.fault_log.kills.append((node.callers, time.monotonic()))
        self.mesh.kill(f"daemon-{number}")

    def freeze_daemon(self, rng: random.Random) -> str:
        """Pause a daemon with SIGSTOP."""
        with self._reserve_daemon(rng) as number:
            self._freeze(f"daemon-{number}")
            return f"froze daemon {number}"

    def freeze_backend(self, rng: random.Random) -> str:
        """Pause a backend server with SIGSTOP."""
        names = sorted(n for n in self.mesh.processes if n.startswith("backend"))
        with self._reserve_process(rng, names) as name:
            self._freeze(name)
            return f"froze {name}"

    def _freeze(self, name: str) -> None:
        self.mesh.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
        self.mesh.signal(name, signal.SIGCONT)

    def lose_backend_answers(self, _: random.Random) -> str:
        """Let backend servers close connections after requests have run."""
        return self._backend_fault(close_after=FAULTY_ANSWER_SHARE)

    def truncate_backend_answers(self, _: random.Random) -> str:
        """Let backend servers truncate their answers."""
        return self._backend_fault(truncate=FAULTY_ANSWER_SHARE)

    def _backend_fault(self, **shares: float) -> str:
        with self.fault_log.record_disturbance(ALL_DAEMONS):
            for address in self.backends:
                self._put_with_retries(
                    address, "/standin/faults", {"seed": self.seed, **shares}
                )
            time.sleep(FAULTY_ANSWERS_SECONDS)
            for address in self.backends:
                self._put_with_retries(address, "/standin/faults", {})
        return f"backend servers with faults {shares}"

    @staticmethod
    def _put_with_retries(address: str, path: str, body: object) -> None:
        """Send JSON to a stand-in; retry until it answers, since it may be paused."""
        while True:
            try:
                put_json(address, path, body)
            except OSError:
                time.sleep(0.2)
            else:
                return

    def stop_daemon(self, rng: random.Random) -> str:
        """Stop a daemon gracefully and start it again."""
        with self._reserve_daemon(rng) as number:
            callers = self.mesh.nodes[number].callers
            self.mesh.wait_for_daemon(number)
            started_at = time.monotonic()
            exit_status = self.mesh.stop(f"daemon-{number}")
            stop = (callers, started_at, time.monotonic(), exit_status)
            self.fault_log.graceful_stops.append(stop)
            self.mesh.start_daemon(number)
            return f"stopped daemon {number} gracefully, exit status {exit_status}"

    def reload_daemon(self, rng: random.Random) -> str:
        """Reload a daemon's settings with SIGHUP, several times in quick succession."""
        with self._reserve_daemon(rng) as number:
            self.mesh.wait_for_daemon(number)
            for _ in range(RELOADS):
                self.mesh.signal(f"daemon-{number}", signal.SIGHUP)
                time.sleep(rng.uniform(0.0, 0.3))
            return f"reloaded the settings of daemon {number}"

    def store_outage(self, rng: random.Random) -> str:
        """Make the store unavailable while a record is changed."""
        writer = threading.Thread(target=self.change_record, args=(rng,))
        writer.start()
        time.sleep(rng.uniform(0.3, 0.8))
        self._set_switches(outage="close")
        time.sleep(OUTAGE_SECONDS)
        self._set_switches(outage="")
        writer.join()
        return "store outage during a change"

    def disturb_store_link(self, rng: random.Random) -> str:
        """Disturb the link from one zone to the store while a record is changed."""
        zone = rng.choice(sorted(self.relays.store))
        relay = self.relays.store[zone]
        return f"store link of {zone}: {self._disturb(rng, relay, self.change_record)}"

    def disturb_caller_link(self, rng: random.Random) -> str:
        """Disturb the link from the callers to one daemon."""
        daemon = rng.choice(sorted(self.relays.callers))
        with self.fault_log.record_disturbance(daemon):
            fault_name = self._disturb(rng, self.relays.callers[daemon])
        return f"caller link to {daemon}: {fault_name}"

    def disturb_backend_link(self, rng: random.Random) -> str:
        """Disturb the link from a daemon to one backend server."""
        with self.fault_log.record_disturbance(ALL_DAEMONS):
            fault_name = self._disturb(rng, rng.choice(self.relays.backends))
        return f"link to a backend server: {fault_name}"

    @staticmethod
    def _disturb(
        rng: random.Random,
        relay: TcpRelay,
        during_fault: Callable[[random.Random], str] | None = None,
    ) -> str:
        """Inject a random link fault, call ``during_fault``, and return the fault."""
        fault_name = rng.choice(("cut", "delay", "one-way", "reset", "silence"))
        if fault_name == "reset":
            relay.reset()
        elif fault_name == "silence":
            relay.silence()
        else:
            relay.delay_seconds = rng.uniform(0.05, MAX_DELAY_SECONDS)
            relay.fault = LinkFault(fault_name)
        if during_fault is not None:
            during_fault(rng)
        time.sleep(LINK_FAULT_SECONDS)
        relay.fault = LinkFault.NONE
        return fault_name

    def lose_store_answers(self, rng: random.Random) -> str:
        """Lose the store's answers to applied writes, while a record is changed."""
        self._set_switches(lose_answers=rng.randint(1, 4))
        self.change_record(rng)
        return "lost the store's answers to writes"

    def change_record(self, _: random.Random) -> str:
        """Change a record with the operators' command."""
        exit_statuses = self._apply(self._next_change())
        return f"changed a record, exit status {exit_statuses}"

    def race_operators(self, _: random.Random) -> str:
        """Let three operators change the same record at the same time."""
        exit_statuses = self._apply(*(self._next_change() for _ in range(3)))
        self.fault_log.race_exit_statuses.append(exit_statuses)
        return f"three operators changed a record, exit statuses {exit_statuses}"

    def apply_invalid_change(self, _: random.Random) -> str:
        """Apply an invalid change, which must be rejected."""
        exit_statuses = self._apply(INVALID_ROUTE, wait_s=15.0)
        self.fault_log.invalid_change_exit_statuses.extend(exit_statuses)
        return f"applied an invalid change, exit status {exit_statuses}"

    def _next_change(self) -> str:
        with self.lock:
            self.change_count += 1
            timeout_ms = 3000 + self.change_count
        return (
            "[service extra]\n\n[route extra]\nservice = extra\n"
            f"path_prefix = /extra\ntimeout_ms = {timeout_ms}\n"
        )

    def _apply(self, *texts: str, wait_s: float = 0.0) -> tuple[int, ...]:
        started = []
        for number, text in enumerate(texts):
            unique_suffix = f"{time.monotonic_ns()}-{number}"
            path = self.mesh.directory / f"change-{unique_suffix}.ini"
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

    def _set_switches(self, **switches: object) -> None:
        put_json(self.mesh.store_address, "/standin/switches", switches)


__all__ = ["FaultInjector", "Relays"]
