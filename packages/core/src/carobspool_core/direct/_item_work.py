"""One item of a batch job: as submitted, and with the events that its runs have brought."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from carobspool_core._clock import Millis
from carobspool_core.direct._upstreams import UNKNOWN_VERSION, Upstream


class JobItem(Struct, frozen=True, kw_only=True):
    """One request of a batch job, as submitted."""

    item_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int


class PartialItem(Struct, frozen=True, kw_only=True):
    """The received events of an unfinished item.

    Attributes:
        last_event: Id of the last received event.
        text: Data of the events in order, separated by line feeds.
        version: Software version of the upstream that sent them; `UNKNOWN_VERSION` if the entry
            that committed them did not record it.
    """

    last_event: int
    text: str
    version: str = UNKNOWN_VERSION


class ItemWork(Struct):
    """An unfinished item with its received events and failed runs.

    The task that runs the item appends events while another task reads them for a commit. The
    number of events is derived from the list, so that text and number are always consistent.

    Attributes:
        item: The item as submitted.
        failures: Number of failed runs.
        committed_part: Events that an earlier owner committed.
        received_texts: Data of the events after the committed ones, in order.
        running: Whether a run is in progress.
        not_before: Earliest time at which the next run may start.
        version: Software version of the upstream that sent the received events.
        waits_since: Since when the item waits for its next event from an upstream of that version,
            ``None`` while it does not.
    """

    item: JobItem
    failures: int = 0
    committed_part: PartialItem | None = None
    received_texts: list[str] = field(default_factory=list)
    running: bool = False
    not_before: Millis = 0.0
    version: str = UNKNOWN_VERSION
    waits_since: Millis | None = None

    @property
    def last_event(self) -> int:
        """Id of the last received event, 0 if there is none; ids begin at 1."""
        return len(self.received_texts) + (
            self.committed_part.last_event if self.committed_part is not None else 0
        )

    @property
    def text(self) -> str:
        """The data of all events, separated by line feeds."""
        return _join_texts(self.committed_part, self.received_texts)

    def partial_item(self) -> PartialItem | None:
        """Return the events received so far, ``None`` if there are none."""
        texts = list(self.received_texts)
        if not texts:
            return self.committed_part
        committed = self.committed_part.last_event if self.committed_part is not None else 0
        return PartialItem(
            last_event=committed + len(texts),
            text=_join_texts(self.committed_part, texts),
            version=self.version,
        )

    def may_resume_at(self, upstream: Upstream) -> bool:
        """Whether the next run may resume at an upstream, or has nothing to resume."""
        return not self.last_event or upstream.runs_version(self.version)

    def may_start_over(self, now: Millis, *, repeated: Millis) -> bool:
        """Whether starting over is better than waiting longer for an upstream of the version.

        Args:
            now: Current time.
            repeated: Time that the received events take again. Once the item has waited for as
                long, waiting may cost more.
        """
        return self.waits_since is not None and now - self.waits_since >= repeated

    def discard_received(self) -> None:
        """Discard all received events; the next run starts from the beginning."""
        self.committed_part = None
        self.received_texts = []
        self.version = UNKNOWN_VERSION


def _join_texts(committed_part: PartialItem | None, texts: Sequence[str]) -> str:
    parts = list(texts) if committed_part is None else [committed_part.text, *texts]
    return "\n".join(parts)
