"""What an entry reports of its queue to the others, in the form in which hints carry it."""

from __future__ import annotations

from msgspec import Struct


class QueueReport(Struct, frozen=True):
    """What an entry reports of its queue.

    Attributes:
        waiting: Packed numbers of waiting requests.
        services: Packed keys of the services of these numbers.
        handovers: Packed handovers of this entry that last.
        version: Changes when other handovers last than before; their ages change all the time.
    """

    waiting: bytes = b""
    services: bytes = b""
    handovers: bytes = b""
    version: int = 0

    @property
    def is_reported(self) -> bool:
        """Whether there is anything to report."""
        return bool(self.waiting or self.handovers)

    @property
    def state(self) -> tuple[bytes, bytes, int]:
        """What must reach the peers when it changes."""
        return self.waiting, self.services, self.version


NOTHING_QUEUED = QueueReport()
