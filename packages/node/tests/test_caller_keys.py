"""Tests of finding callers by their keys."""

from __future__ import annotations

import hashlib

import pytest
from returns.pipeline import is_successful

from carobspool_core import Caller, CallerRole, DesiredState, Organisation
from carobspool_node.callers._caller_keys import CallerKeys


def _hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _keys() -> CallerKeys:
    keys = CallerKeys(_hash("first"))
    keys.replace(
        DesiredState(
            revision=1,
            organisations={"o": Organisation(name="o")},
            callers={
                "c": Caller(id="c", organisation="o", key_hashes=(_hash("one"), _hash("two"))),
                "op": Caller(
                    id="op",
                    organisation="o",
                    key_hashes=(_hash("op"),),
                    role=CallerRole.OPERATOR,
                ),
            },
        )
    )
    return keys


@pytest.mark.parametrize("key", ["one", "two"])
def test_each_valid_key_is_found(key: str) -> None:
    """While a key is rotated both of a caller's keys are good."""
    assert _keys().identify(f"Bearer {key}").unwrap().caller.id == "c"


@pytest.mark.parametrize("header", [None, "", "Bearer wrong", "Basic one", "Bearer first"])
def test_other_keys_are_refused(header: str | None) -> None:
    """A missing or unknown key gets 401, and the first operator's is good no more."""
    refused = _keys().identify(header)
    assert not is_successful(refused)
    assert refused.failure().status == 401


def test_a_callers_key_is_no_operators() -> None:
    """A caller's key gets 403 where an operator's is needed."""
    assert _keys().operator("Bearer one").failure().status == 403
    assert is_successful(_keys().operator("Bearer op"))


def test_the_first_operator_may_apply_the_first_configuration() -> None:
    """Before any configuration is in force, the key named in the settings is an operator's."""
    assert is_successful(CallerKeys(_hash("first")).operator("Bearer first"))
