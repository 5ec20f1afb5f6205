"""Open bundles, and give the relays the hints that they have to pass on."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from carobspool_core.hint_relays import WaitingHint
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._load_hint import (
    CountsHint,
    LoadHint,
    read_counts_hint,
    read_load_hint,
)
from carobspool_node.direct._peer_messages import decode_cbor
from carobspool_node.direct._peer_table import PeerTable
from carobspool_node.hint_relays import HintRelays


class RelayedHints:
    """Connects received hints with the relays.

    Args:
        table: The other entries.
        relays: Passes hints on.
        bad_hints: Logs and counts invalid hints of bundles.
    """

    def __init__(self, table: PeerTable, relays: HintRelays, bad_hints: BadRecords) -> None:
        self._table = table
        self._relays = relays
        self._bad_hints = bad_hints

    def collect(self, hint: LoadHint | CountsHint, data: bytes) -> None:
        """Let the relays keep a hint that an entry of the own domain has sent to this entry."""
        if not data or not self._relays.is_relay:
            return
        if self._table.domain_of(hint.name, hint.incarnation) == self._relays.domain:
            self._relays.collect(_waiting_hint(hint, data))

    def open_bundle(
        self, relay: str, incarnation: str, hints: Sequence[bytes]
    ) -> Iterator[LoadHint | CountsHint]:
        """Yield the valid hints of a bundle; those of another domain are also distributed.

        Bundles of unknown processes are ignored.
        """
        domain = self._table.domain_of(relay, incarnation)
        if domain is None:
            return
        self._relays.record_bundle(relay, is_empty=not hints)
        for data in hints:
            try:
                hint = _read_hint(data)
            except UnusableRecordError as error:
                self._bad_hints.report(relay, error)
                continue
            if (
                domain != self._relays.domain
                and self._table.domain_of(hint.name, hint.incarnation) == domain
                # Its entry sends directly, to the other entries of this domain too.
                and not self._table.has_direct_hint(hint)
            ):
                self._relays.distribute(_waiting_hint(hint, data))
            yield hint


def _read_hint(data: bytes) -> LoadHint | CountsHint:
    """Read a hint of a bundle.

    Raises:
        UnusableRecordError: It is neither a load hint nor a counts hint.
    """
    message = decode_cbor(data)
    hint = read_load_hint(message) or read_counts_hint(message)
    if hint is not None:
        return hint
    problem = Problem(
        file="", path="bundle", found=repr(message)[:80], allowed="load hints and counts hints"
    )
    raise UnusableRecordError([problem])


def _waiting_hint(hint: LoadHint | CountsHint, data: bytes) -> WaitingHint:
    return WaitingHint(
        name=hint.name,
        incarnation=hint.incarnation,
        sequence=hint.sequence,
        kind="load" if isinstance(hint, LoadHint) else "counts",
        data=data,
    )
