"""The platform's object store.

The HTTP adapter of the `ObjectStore` port belongs here, the small steps on it that several rooms
need (listing, following, packing, calls beside a loop), and the reservations of idempotency keys.
"""

from carobspool_node.store._follow import WATCH_TIMEOUT, Followed, follow
from carobspool_node.store._object_api import http_object_store
from carobspool_node.store._packing import MAX_PACKED_CHARACTERS, pack, unpack
from carobspool_node.store._reservation_objects import Reservation, StoredAnswer
from carobspool_node.store._reservations import Reservations, make_reservations
from carobspool_node.store._store_access import (
    create_immutable,
    iterate_objects,
    list_all,
    request_failure,
)
from carobspool_node.store._store_calls import StoreCalls

__all__ = [
    "Followed",
    "MAX_PACKED_CHARACTERS",
    "Reservation",
    "Reservations",
    "StoreCalls",
    "StoredAnswer",
    "WATCH_TIMEOUT",
    "create_immutable",
    "follow",
    "http_object_store",
    "iterate_objects",
    "list_all",
    "make_reservations",
    "pack",
    "request_failure",
    "unpack",
]
