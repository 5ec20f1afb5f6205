"""Signals that reach a process while its main task holds a lock."""

from __future__ import annotations

import subprocess
import sys

import pytest

SIGNAL_WHILE_A_LOCK_IS_HELD = """
import os, signal, sys, threading
from carobspool_node.process._shutdown import ShutdownRequest

request = ShutdownRequest()
sent = []

def inside(frame, event, argument):
    if event == "line" and not sent and frame.f_locals["self"]._lock.locked():
        sent.append(True)
        for _ in range({count}):
            os.kill(os.getpid(), signal.SIGTERM)
    return inside

def tracer(frame, event, argument):
    code = frame.f_code
    if code.co_filename == threading.__file__ and code.co_qualname == "Condition.wait":
        return inside
    return None

sys.settrace(tracer)
request.wait()
sys.settrace(None)
if {count} > 1:
    assert request.hurried.wait(2.0)
print("stopped")
"""


@pytest.mark.parametrize("count", [1, 2])
def test_a_signal_is_never_lost_in_a_lock(count: int) -> None:
    """The handler runs on the main task, in the few instructions in which that holds the lock of
    the event on which it waits. A handler that asks for that lock, too, or for one of the log, ends
    neither: the process is killed at the end of its grace, with all that it serves."""
    script = SIGNAL_WHILE_A_LOCK_IS_HELD.format(count=count)
    command = [sys.executable, "-c", script]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=8, check=False)
    assert ended.stdout.strip() == "stopped", ended.stderr
