"""Answers of an entry that are cut after every byte."""

from __future__ import annotations

from pathlib import Path

import pytest
from returns.result import Failure, Success

from carobspool_cli._client import Call, Client
from carobspool_standins.cut_answers import CutAnswer, answer_forms, serve_cut_answers
from carobspool_standins.endless import (
    ENDLESS_ANSWERS,
    peak_memory_kb,
    reset_peak_memory_kb,
    serve_endless,
)

BODY = b'{"status": "done"}'
FORMS = answer_forms(BODY)


@pytest.mark.parametrize("name", sorted(FORMS))
def test_a_cut_answer_is_no_success(name: str) -> None:
    """Guards against an empty answer of a command that may not have taken effect."""
    form = FORMS[name]
    with serve_cut_answers(lambda head, number: CutAnswer(b"")) as server:
        client = Client(entries=(server.url,), key=None)
        for cut in form.cuts():
            server.choose = lambda head, number, cut=cut: cut
            found = client.call(Call(method="GET", path="/x"))
            assert isinstance(found, Failure), cut


@pytest.mark.parametrize("name", sorted(FORMS))
def test_a_cut_download_leaves_no_file(name: str, tmp_path: Path) -> None:
    """Guards against an empty or short file in the place of a job's results."""
    form = FORMS[name]
    target = tmp_path / "results"
    with serve_cut_answers(lambda head, number: CutAnswer(b"")) as server:
        client = Client(entries=(server.url,), key=None)
        for cut in form.cuts():
            if form.is_open and not cut.reset and (cut.sent or 0) >= form.head:
                continue
            server.choose = lambda head, number, cut=cut: cut
            assert isinstance(client.download("/x", target), Failure), cut
            assert not target.exists()
        server.choose = lambda head, number: CutAnswer(form.data, len(form.data))
        assert isinstance(client.download("/x", target), Success)
    assert target.read_bytes() == BODY


@pytest.mark.parametrize("name", ["body", "chunks", "header", "headers", "no HTTP"])
def test_an_answer_without_end_does_not_fill_the_memory(name: str) -> None:
    """Guards against an entry in trouble whose bytes end the command, or its machine."""
    with serve_endless(*ENDLESS_ANSWERS[name]) as server:
        client = Client(entries=("http://{}:{}".format(*server.address),), key=None)
        before = reset_peak_memory_kb()
        assert isinstance(client.call(Call(method="GET", path="/")), Failure)
        assert peak_memory_kb() - before < 100_000
