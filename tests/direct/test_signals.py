"""Signals that reach an entry while its main task holds a lock.

A signal handler runs on the main task. If it acquires the lock of the event on which the main task
waits, during the few instructions in which the main task holds that lock, the process deadlocks. A
random fault schedule once showed this: an entry stayed ready for 18 s after the signal to stop,
logged nothing about it, and would have been killed with its requests in progress. These tests send
the signal during exactly those instructions.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, deployment, eventually

EXIT_S = 6.0

SIGNAL_WHILE_A_LOCK_IS_HELD = """
import os, runpy, signal, sys, threading, time

asked = {number}
until = time.monotonic() + 3.0
sent = []

def inside(frame, event, argument):
    held = event == "line" and frame.f_locals["self"]._lock.locked()
    if held and not sent and time.monotonic() > until:
        sent.append(asked)
        os.kill(os.getpid(), asked)
    return inside

def tracer(frame, event, argument):
    code = frame.f_code
    if code.co_filename == threading.__file__ and code.co_qualname == "Condition.wait":
        return inside
    return None

sys.settrace(tracer)
runpy.run_module("carobspool_platform", run_name="__main__", alter_sys=True)
"""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_is_handled_while_the_main_task_holds_a_lock(
    system: Deployment, number: signal.Signals
) -> None:
    """SIGTERM must lead to an exit in time. SIGHUP must lead to a check of the settings, and the
    entry must still exit on a later SIGTERM."""
    program = ("-c", SIGNAL_WHILE_A_LOCK_IS_HELD.format(number=int(number)))
    entry = system.start_entry("e1", program=program)
    time.sleep(3.5)
    # If the traced code never held the lock, no signal has been sent yet.
    entry.send_signal(number)
    if number is signal.SIGHUP:
        eventually(lambda: entry.log_lines_containing("event=reload"), 3)
        entry.send_signal(signal.SIGTERM)
    assert entry.process.wait(timeout=EXIT_S) == 0
