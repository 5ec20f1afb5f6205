"""Online requests that wait at an entry until a slot of an upstream is theirs.

The decisions are those of `carobspool_core.online_queue`; this package adds the clock, the lock,
the threads that wait, and the format in which entries report what waits.
"""

from carobspool_node.online_queue._queue import OnlineQueue
from carobspool_node.online_queue._reports import pack_keys, unpack_keys
from carobspool_node.online_queue._requests import QueueRefusedError, WaitingRequest

__all__ = ["OnlineQueue", "QueueRefusedError", "WaitingRequest", "pack_keys", "unpack_keys"]
