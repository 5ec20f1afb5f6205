"""Groups of child processes: start them, wait until they are ready, signal and end them."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from carobspool_standins.errors import ClusterError

POLL_INTERVAL_S = 0.01
READY_TIMEOUT_S = 30.0
READY_MARKER = b"ready port="
_UTIME_INDEX = 11  # Index among the fields that follow the process name.


def process_cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds, user and system mode together."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    ticks = int(fields[_UTIME_INDEX]) + int(fields[_UTIME_INDEX + 1])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """How to start a process.

    Attributes:
        module: Module that this interpreter runs.
        arguments: Command-line arguments of the module.
        log: File to which standard output and standard error are appended.
    """

    module: str
    arguments: Sequence[str]
    log: Path


class ProcessGroup:
    """Named child processes that are started, signalled and ended through one object."""

    def __init__(self) -> None:
        self._commands: dict[str, Command] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._log_starts: dict[str, int] = {}

    @property
    def names(self) -> list[str]:
        """Names of the processes in the order of their first start."""
        return list(self._commands)

    def start(self, name: str, command: Command) -> None:
        """Start a process and return at once.

        Raises:
            ClusterError: If a process of this name is running.
        """
        if self.is_running(name):
            raise ClusterError(f"process {name} is already running")
        with command.log.open("ab") as log:
            self._log_starts[name] = log.tell()
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", command.module, *command.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._commands[name] = command

    def restart(self, name: str) -> None:
        """Start an ended process again with the same command."""
        self.start(name, self._commands[name])

    def wait_ready(self, names: Sequence[str], seconds: float = READY_TIMEOUT_S) -> None:
        """Wait until each process has logged that it is ready.

        Raises:
            ClusterError: If a process ends or is not ready in time; the message quotes its log.
        """
        deadline = time.monotonic() + seconds
        for name in names:
            while not self._is_ready(name):
                if not self.is_running(name):
                    raise ClusterError(f"process {name} ended during startup:\n{self.log(name)}")
                if time.monotonic() > deadline:
                    raise ClusterError(f"process {name} was not ready in time:\n{self.log(name)}")
                time.sleep(POLL_INTERVAL_S)

    def is_running(self, name: str) -> bool:
        """Return whether a process of this name was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the process id of the latest start."""
        return self._processes[name].pid

    def log(self, name: str) -> str:
        """Return the whole log of a process, across all its starts."""
        return self._commands[name].log.read_text(encoding="utf-8", errors="replace")

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has ended."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def wait(self, name: str, seconds: float) -> int:
        """Wait until a process ends and return its exit code.

        Raises:
            ClusterError: If it does not end in time.
        """
        try:
            return self._processes[name].wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise ClusterError(f"process {name} has not ended after {seconds} s") from error

    def close(self, names: Sequence[str], seconds: float) -> None:
        """Terminate processes with SIGTERM, then kill those that have not ended in time.

        All processes get SIGTERM before the wait starts. SIGCONT comes first, because a stopped
        process would not handle it.

        Args:
            names: Processes to end.
            seconds: Time that the processes have together before SIGKILL.
        """
        for name in names:
            self.send(name, signal.SIGCONT)
            self.send(name, signal.SIGTERM)
        deadline = time.monotonic() + seconds
        for name in names:
            with contextlib.suppress(ClusterError):
                self.wait(name, max(0.0, deadline - time.monotonic()))
            self.send(name, signal.SIGKILL)
            self._processes[name].wait()

    def module(self, name: str) -> str:
        """Return the module that a process runs."""
        return self._commands[name].module

    def _is_ready(self, name: str) -> bool:
        with self._commands[name].log.open("rb") as log:
            log.seek(self._log_starts[name])
            return READY_MARKER in log.read()
