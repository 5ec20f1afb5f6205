"""Tests of the limits that entries share by hints."""

from __future__ import annotations

from returns.pipeline import is_successful

from carobspool_core import (
    Caller,
    Hint,
    HintKind,
    Limits,
    ManualClock,
    Organisation,
    make_limiter,
)
from carobspool_node.callers._shared_limits import SharedLimits

_LIMIT = 600.0
_CALLER = Caller(id="c", organisation="o", key_hashes=(), limits=Limits(requests_per_minute=_LIMIT))
_ORGANISATION = Organisation(name="o")
ENTRIES = ["e1", "e2", "e3"]
SECONDS = 120


def _admitted(loads: list[int], *, lost: bool = False) -> float:
    """Return the requests admitted a minute when each entry gets ``loads`` a second."""
    clock = ManualClock()
    shared: dict[str, SharedLimits] = {}
    sequence = 0

    def teller(entry: str):  # type: ignore[no-untyped-def]
        def tell(kind: HintKind, subject: str, values: dict[str, str]) -> None:
            nonlocal sequence
            sequence += 1
            hint = Hint(kind=kind, subject=subject, origin=entry, sequence=sequence, values=values)
            for name, other in shared.items():
                if name != entry and not lost:
                    other.merge(hint)

        return tell

    for entry in ENTRIES:
        shared[entry] = SharedLimits(make_limiter(clock, entry), clock, tell=teller(entry))
        shared[entry].exchange(ENTRIES)
    admitted = 0
    for second in range(SECONDS):
        for _ in range(10):
            for entry, load in zip(ENTRIES, loads, strict=True):
                for _ in range(load // 10):
                    granted = shared[entry].admit(_CALLER, _ORGANISATION, 1)
                    if not is_successful(granted):
                        continue
                    shared[entry].release(granted.unwrap(), 1)
                    admitted += second >= SECONDS // 2
            clock.advance(100.0)
        for entry in ENTRIES:
            shared[entry].exchange(ENTRIES)
    return admitted * 60.0 / (SECONDS - SECONDS // 2)


def test_one_caller_hammers_a_single_entry() -> None:
    """The caller gets its declared limit, within a tenth, though it asks one entry only."""
    assert abs(_admitted([100, 0, 0]) - _LIMIT) <= 0.1 * _LIMIT


def test_one_caller_spreads_over_all() -> None:
    """The caller gets its declared limit, within a tenth, and not once for each entry."""
    assert abs(_admitted([40, 40, 40]) - _LIMIT) <= 0.1 * _LIMIT


def test_lost_reports_never_admit_more() -> None:
    """When entries do not hear each other, their equal parts sum up to the limit at most."""
    assert _admitted([100, 100, 100], lost=True) <= 1.1 * _LIMIT


def test_a_malformed_report_is_dropped() -> None:
    """A hint that holds no report changes nothing and raises nothing."""
    clock = ManualClock()
    shared = SharedLimits(make_limiter(clock, "e1"), clock, tell=lambda *_: None)
    for values in ({"caller:c": "x"}, {"nobody:c": "1 1 1 1"}):
        shared.merge(
            Hint(kind=HintKind.USAGE, subject="e2", origin="e2", sequence=1, values=values)
        )
    assert is_successful(shared.admit(_CALLER, _ORGANISATION, 1))
