"""Tests keys, the directory of organisations, internal job names and the denial of unknown keys."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobspool_core.organisations import (
    Organisation,
    OrganisationDirectory,
    RateLimit,
    UnknownKeys,
    key_digest,
    qualified_job_id,
    read_bearer,
    waiting_tokens_key,
)
from carobspool_core.organisations._unknown_keys import CONFIRMED_FOR


@pytest.mark.parametrize("value", ["Bearer abc", "bearer abc", "BEARER  abc", " Bearer abc "])
def test_a_key_is_read_whatever_the_case_and_spacing_of_the_scheme(value: str) -> None:
    assert read_bearer(value) == "abc"


@pytest.mark.parametrize("value", ["", "Bearer", "Bearer ", "abc", "Basic abc", "Bearer a b"])
def test_no_key_is_read_from_a_header_without_exactly_one(value: str) -> None:
    assert read_bearer(value) is None


def test_the_holder_of_a_key_is_found_by_its_digest() -> None:
    acme = Organisation(name="acme", key_digests=(key_digest("k1"), key_digest("k2")))
    directory = OrganisationDirectory([acme, Organisation(name="other")])
    assert directory.find_by_key_digest(key_digest("k2")) is acme
    assert directory.find_by_key_digest(key_digest("k3")) is None
    assert len(directory) == 2


def test_a_key_of_two_organisations_belongs_to_the_first() -> None:
    digest = key_digest("shared")
    first = Organisation(name="first", key_digests=(digest,))
    second = Organisation(name="second", key_digests=(digest,))
    assert OrganisationDirectory([first, second]).find_by_key_digest(digest) is first


def test_only_limited_organisations_have_limits() -> None:
    limit = RateLimit(per_second=2.0, burst=3.0)
    directory = OrganisationDirectory([Organisation(name="a", limit=limit), Organisation(name="b")])
    assert directory.limits() == {"a": limit}


_IDS = st.text(alphabet="ab~0123456789", max_size=20)
_OWNERS = st.sampled_from(["", "a", "b", "a~b"])


@given(first=st.tuples(_IDS, _OWNERS), second=st.tuples(_IDS, _OWNERS))
def test_no_id_reaches_the_job_of_another_organisation(
    first: tuple[str, str], second: tuple[str, str]
) -> None:
    """An id equal to the internal name of another organisation's job must not give access to it."""
    assert (qualified_job_id(*first) == qualified_job_id(*second)) == (first == second)


@given(_IDS)
def test_jobs_without_an_owner_keep_their_ids(job_id: str) -> None:
    """Records that the previous version stored are found under these ids."""
    assert qualified_job_id(job_id, None) == qualified_job_id(job_id, "")
    if "~" not in job_id:
        assert qualified_job_id(job_id, None) == job_id


def test_waiting_tokens_are_counted_by_organisation() -> None:
    assert len({waiting_tokens_key("r", each) for each in (None, "a", "b")}) == 3
    assert waiting_tokens_key("r", "") == waiting_tokens_key("r", None)


def test_an_unknown_key_is_denied_only_while_the_configuration_is_confirmed() -> None:
    """The caller takes a denial as final, and its key may be newer than the local configuration."""
    unknown = UnknownKeys()
    assert not unknown.may_deny(1_000.0)
    unknown.confirm(1_000.0)
    assert unknown.may_deny(1_000.0 + CONFIRMED_FOR / 2)
    assert not unknown.may_deny(1_000.0 + CONFIRMED_FOR)
