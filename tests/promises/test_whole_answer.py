"""Promise: each caller receives the complete answer to its own request.

An answer may also end with an error event or a broken connection, but an incomplete answer never
ends cleanly. The engines' answers are a pure function of the request, so each answer is compared
with the one expected for its request.
"""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from frame_proxy import FrameProxy, Tampering
from harness import Site, SitePlan, chat_body, run_concurrently, running_site, stream_text
from history import History, wrong_answers

from carobspool_standins._client import IncompleteResponseError

pytestmark = pytest.mark.promise("whole answer to its own caller")
STREAMS = 30
TOKENS = 60


def _expected_texts(site: Site, texts: list[str], *, stream: bool = True) -> dict[str, str]:
    """Request each answer directly from an engine; return the texts by request digest."""
    found = {}
    client = site.process_client("engine-1")
    for text in texts:
        body = json.dumps(chat_body(text, stream=stream, tokens=TOKENS)).encode()
        reply = client.call("POST", "/v1/chat/completions", body=body)
        found[hashlib.sha256(body).hexdigest()] = stream_text(reply.body)
    return found


def _stream_calls(site: Site, history: History, texts: list[str]) -> list[Callable[[], Any]]:
    return [
        lambda number=number, text=text: history.chat(  # type: ignore[misc]
            site,
            text,
            entry=site.entries[number % len(site.entries)],
            stream=True,
            tokens=TOKENS,
        )
        for number, text in enumerate(texts)
    ]


@pytest.mark.parametrize(
    ("tampering", "seed"),
    [
        (Tampering(repeat=0.2, hold_back=0.1, delay=0.005), 1),
        (Tampering(hold_back=0.3), 2),
        (Tampering(drop=0.03, repeat=0.1), 3),
    ],
)
def test_frames_delayed_reordered_repeated_and_lost(
    tmp_path: Path, tampering: Tampering, seed: int
) -> None:
    """Every answer is complete although messages of thirty streams are tampered with.

    Messages of interleaved streams are reordered, repeated, delayed or lost. The entry restores the
    order by sequence number and requests missing messages again.
    """
    with running_site(tmp_path, SitePlan(engines=1)) as site:
        proxy = FrameProxy(site.cluster.member("sidecar-1").address, tampering, seed=seed)
        upstream = {**site.cluster.upstreams[0], "address": proxy.address}
        site.apply_state(upstreams=[upstream])
        site.wait_ready()
        time.sleep(1.0)
        texts = [f"stream {number}" for number in range(STREAMS)]
        expected = _expected_texts(site, texts)
        history = History()
        run_concurrently(_stream_calls(site, history, texts))
        proxy.close()
        assert proxy.tampered_messages > STREAMS
        assert wrong_answers(history.calls, expected) == []
        broken = [
            (call.status, call.code, call.body[-200:])
            for call in history.calls
            if not call.is_complete
        ]
        assert broken == []


def test_a_cut_in_mid_stream(tmp_path: Path) -> None:
    """Every answer is complete although the connection between entry and sidecar is cut.

    The connection is cut twice while streams run. The entry reconnects and gets the missed messages
    from the sidecar's buffer.
    """
    with running_site(tmp_path, SitePlan(engines=1, engine={"step_base_ms": 20.0})) as site:
        proxy = FrameProxy(site.cluster.member("sidecar-1").address, Tampering(), seed=1)
        upstream = {**site.cluster.upstreams[0], "address": proxy.address}
        site.apply_state(upstreams=[upstream])
        site.wait_ready()
        time.sleep(1.0)
        texts = [f"cut {number}" for number in range(12)]
        expected = _expected_texts(site, texts)
        history = History()

        def cut() -> None:
            for _ in range(2):
                time.sleep(0.5)
                proxy.cut()

        run_concurrently([*_stream_calls(site, history, texts), cut])
        proxy.close()
        assert wrong_answers(history.calls, expected) == []
        assert sum(call.is_complete for call in history.calls) == len(texts)


def test_a_slow_reader_harms_nobody(tmp_path: Path) -> None:
    """A slow reader gets its complete answer late and does not delay the other callers."""
    with running_site(tmp_path, SitePlan(entries=1, engines=1)) as site:
        texts = [f"reader {number}" for number in range(8)]
        expected = _expected_texts(site, texts)
        history = History()
        slow: list[bytes] = []

        def read_slowly() -> None:
            def on_data(data: bytes) -> None:
                slow.append(data)
                time.sleep(0.2)

            site.chat(texts[0], stream=True, tokens=TOKENS, on_data=on_data)

        run_concurrently([read_slowly, *_stream_calls(site, history, texts[1:])])
        assert wrong_answers(history.calls, expected) == []
        assert all(call.is_complete for call in history.calls)
        assert max(call.duration_s for call in history.calls) < 5.0
        body = json.dumps(chat_body(texts[0], stream=True, tokens=TOKENS)).encode()
        assert stream_text(b"".join(slow)) == expected[hashlib.sha256(body).hexdigest()]


@pytest.mark.parametrize(("process", "seconds"), [("entry-1", 2.0), ("sidecar-1", 2.0)])
def test_a_process_frozen_in_mid_stream(tmp_path: Path, process: str, seconds: float) -> None:
    """Every answer is complete, if late, when a process on its path is frozen and thawed."""
    with running_site(
        tmp_path, SitePlan(entries=1, engines=1, engine={"step_base_ms": 15.0})
    ) as site:
        texts = [f"frozen {number}" for number in range(10)]
        expected = _expected_texts(site, texts)
        history = History()

        def freeze() -> None:
            time.sleep(0.4)
            site.cluster.suspend(process)
            time.sleep(seconds)
            site.cluster.resume(process)

        run_concurrently([*_stream_calls(site, history, texts), freeze])
        assert len(history.calls) == len(texts)
        assert wrong_answers(history.calls, expected) == []
        assert sum(call.is_complete for call in history.calls) == len(texts)


@pytest.mark.parametrize("victim", ["engine-1", "sidecar-1", "entry-1"])
def test_a_process_killed_in_mid_stream(tmp_path: Path, victim: str) -> None:
    """The caller gets an error event or a broken connection, never a clean end of a partial answer.

    An engine, its sidecar or the entry is killed while streams run. A stream that has begun cannot
    be retried, because its caller has received a part of it.
    """
    with running_site(
        tmp_path, SitePlan(entries=1, engines=1, engine={"step_base_ms": 15.0})
    ) as site:
        texts = [f"killed {number}" for number in range(10)]
        expected = _expected_texts(site, texts)
        history = History()

        def kill() -> None:
            time.sleep(0.5)
            site.cluster.kill(victim)

        run_concurrently([*_stream_calls(site, history, texts), kill])
        assert len(history.calls) == len(texts)
        assert wrong_answers(history.calls, expected) == []
        assert not any(call.is_complete for call in history.calls)


def test_a_truncated_plain_answer_is_an_error(tmp_path: Path) -> None:
    """A truncated answer of a plain service becomes a typed failure and is not forwarded."""
    with running_site(tmp_path, SitePlan(entries=1, engines=0, plain_services=1)) as site:
        site.cluster.set_faults("plain-1", half_answer=True)
        try:
            reply = site.caller().call("GET", "/services/orders/x")
        except IncompleteResponseError:
            return
        assert reply.status == 502
        assert reply.headers["carobspool-outcome"] == "unknown"
