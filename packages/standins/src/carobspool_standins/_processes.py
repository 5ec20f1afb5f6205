"""A group of processes: start, wait until ready, signal, and end every one of them."""

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

POLL_SECONDS = 0.01
READY_SECONDS = 30.0
READY_MARK = b"ready port="
_UTIME_FIELD = 11  # Counted from the field after the name of the process.


def process_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in user and system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_UTIME_FIELD + 1])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """How a process is started: module of this interpreter, its arguments, its log."""

    module: str
    arguments: Sequence[str]
    log: Path


class ProcessGroup:
    """Processes by name; all have ended when the group is closed."""

    def __init__(self) -> None:
        self._commands: dict[str, Command] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._log_starts: dict[str, int] = {}

    @property
    def names(self) -> list[str]:
        """Names in the order of their first start."""
        return list(self._commands)

    def start(self, name: str, command: Command) -> None:
        """Start a process and return at once.

        Raises:
            ClusterError: If one of this name is running.
        """
        if self.is_running(name):
            raise ClusterError(f"{name} is running")
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
        """Start a process that has ended once more, as before."""
        self.start(name, self._commands[name])

    def wait_ready(self, names: Sequence[str], seconds: float = READY_SECONDS) -> None:
        """Wait until each process has told that it is ready.

        Raises:
            ClusterError: If one ends or is not ready in time; its log is quoted.
        """
        deadline = time.monotonic() + seconds
        for name in names:
            while not self._is_ready(name):
                if not self.is_running(name):
                    raise ClusterError(f"{name} ended at its start:\n{self.log(name)}")
                if time.monotonic() > deadline:
                    raise ClusterError(f"{name} is not ready in time:\n{self.log(name)}")
                time.sleep(POLL_SECONDS)

    def is_running(self, name: str) -> bool:
        """Whether a process of this name was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def log(self, name: str) -> str:
        """Return all that a process has written, over all its starts."""
        return self._commands[name].log.read_text(encoding="utf-8", errors="replace")

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has ended."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def wait(self, name: str, seconds: float) -> int:
        """Wait for the end of a process and return its exit code.

        Raises:
            ClusterError: If it does not end in time.
        """
        try:
            return self._processes[name].wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise ClusterError(f"{name} has not ended after {seconds} s") from error

    def close(self, names: Sequence[str], seconds: float) -> None:
        """End processes: politely all at once, then by force those that take long.

        Args:
            names: Processes to end.
            seconds: Time before force is used.
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
            return READY_MARK in log.read()
