"""Signals that reach an entry while its main task holds a lock.

What callers saw once, in a random schedule of faults: an entry was asked to stop, went on as ready
for 18 s, and would have been killed with everything that it served. No line of its log told of the
signal. The handler runs on the main task, wherever that stands; if it asks for the lock of the
event on which the main task waits, in the few instructions in which the main task holds that lock,
both wait for ever. Here the signal comes in exactly those instructions.
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
    """Stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_is_never_lost_in_a_lock(system: Deployment, number: signal.Signals) -> None:
    """SIGTERM must be followed by an exit in time, SIGHUP by a look at the settings; after it the
    entry must still stop when asked."""
    program = ("-c", SIGNAL_WHILE_A_LOCK_IS_HELD.format(number=int(number)))
    entry = system.entry("e1", program=program)
    time.sleep(3.5)
    # Where nothing holds a lock, no signal has come yet.
    entry.signal(number)
    if number is signal.SIGHUP:
        eventually(lambda: entry.logged("event=reload"), 3)
        entry.signal(signal.SIGTERM)
    assert entry.process.wait(timeout=EXIT_S) == 0
