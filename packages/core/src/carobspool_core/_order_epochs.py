"""The exclusive right to send orders to an engine: an epoch for each holder, and a lease.

For engines that refuse an old fencing token, the epoch is sufficient. For other engines the lease
ensures that two holders never send orders at the same time. A holder sends orders only within its
lease, and the lease starts before the conditional write that confirms it. Once a successor has
written its own record, the previous holder cannot confirm its lease any more. When the previous
lease and the longest order have run out, no order sent within that lease can still be in progress.
"""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import Field
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core._clock import Millis
from carobspool_core._ports import Json
from carobspool_core.border import BorderModel, validate


@dataclass(frozen=True, slots=True, kw_only=True)
class EpochRecord:
    """The holder of the right to send orders to an upstream, as stored in the object store.

    Attributes:
        epoch: Increases with each holder.
        holder: Node name of the holder.
        incarnation: Random id of the holder's process.
        lease_ttl: How long the holder's lease lasts after a confirmation, in milliseconds.
        order_timeout: Longest duration of one of the holder's orders, in milliseconds.
        released: Whether the holder released the right while none of its orders was in progress.

    Since 0.1.
    """

    epoch: int
    holder: str
    incarnation: str
    lease_ttl: Millis
    order_timeout: Millis
    released: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EpochError:
    """A stored epoch record that cannot be read."""

    detail: str


class _EpochModel(BorderModel):
    epoch: int = Field(ge=0)
    holder: str
    incarnation: str
    lease_ttl_ms: float = Field(ge=0)
    order_timeout_ms: float = Field(ge=0)
    released: bool = False


def epoch_to_json(record: EpochRecord) -> Json:
    """Return the JSON value in which an epoch record is stored."""
    return {
        "epoch": record.epoch,
        "holder": record.holder,
        "incarnation": record.incarnation,
        "lease_ttl_ms": record.lease_ttl,
        "order_timeout_ms": record.order_timeout,
        "released": record.released,
    }


def epoch_from_json(value: Json) -> Result[EpochRecord, EpochError]:
    """Read a stored epoch record."""
    model = validate(_EpochModel, value)
    if not is_successful(model):
        return Failure(EpochError(detail="; ".join(str(each) for each in model.failure())))
    found = model.unwrap()
    return Success(
        EpochRecord(
            epoch=found.epoch,
            holder=found.holder,
            incarnation=found.incarnation,
            lease_ttl=found.lease_ttl_ms,
            order_timeout=found.order_timeout_ms,
            released=found.released,
        )
    )


def takeover_delay(previous: EpochRecord | None) -> Millis:
    """Return how long a new holder waits before it sends orders to an engine without fencing.

    Args:
        previous: The record that the new holder replaced; ``None`` if there was none.

    Returns:
        Milliseconds from the new holder's own conditional write.

    Since 0.1.
    """
    if previous is None or previous.released:
        return 0.0
    return previous.lease_ttl + previous.order_timeout
