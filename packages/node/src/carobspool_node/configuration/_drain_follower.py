"""Which hosts get nothing new: drain orders in the store, and the platform's list of hosts.

The platform's list lags, so it only ever adds to what sidecars and drain orders say.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Callable

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import Millis, ObjectStore
from carobspool_node.configuration._drains import drained_hosts
from carobspool_node.upstreams import CallEnd, UpstreamCall, call_whole

POLL_INTERVAL: Millis = 1_000.0
LIST_TIMEOUT: Millis = 1_000.0
_LEAVING = "leaving"


class DrainFollower:
    """Follows drain orders and the platform's list of hosts. Since 0.1.

    Args:
        store: Object store.
        host_list: Base URL of the platform's list, or ``None``.
        on_change: Receives all hosts that get nothing new, on each change.
    """

    def __init__(
        self,
        store: ObjectStore,
        host_list: str | None,
        *,
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        self._store = store
        self._host_list = host_list
        self._on_change = on_change
        self._ordered: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._hosts: frozenset[str] = frozenset()
        self._poke = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="drains", daemon=True)

    @property
    def hosts(self) -> frozenset[str]:
        """Hosts that get nothing new."""
        return self._hosts

    def start(self) -> None:
        """Follow in a task of its own."""
        self._thread.start()

    def stop(self) -> None:
        """End the task."""
        self._stopped = True
        self._poke.set()

    def refresh(self) -> None:
        """Read again now, because an order was given."""
        self._poke.set()

    def _run(self) -> None:
        while not self._stopped:
            self._read()
            self._poke.wait(POLL_INTERVAL / 1000.0)
            self._poke.clear()

    def _read(self) -> None:
        ordered = drained_hosts(self._store)
        if is_successful(ordered):
            # When the store is down, what was ordered before stays in force.
            self._ordered = ordered.unwrap()
        listed = self._read_list()
        if listed is not None:
            self._listed = listed
        hosts = self._ordered | self._listed
        if hosts == self._hosts:
            return
        logging.info("event=drained_hosts hosts=%s", ",".join(sorted(hosts)) or "none")
        self._hosts = hosts
        self._on_change(hosts)

    def _read_list(self) -> frozenset[str] | None:
        if self._host_list is None:
            return None
        call = UpstreamCall(
            method="GET", url=f"{self._host_list}/hosts", headers={}, timeout=LIST_TIMEOUT
        )
        result, body = call_whole(call)
        if result.end is not CallEnd.COMPLETE or result.status != 200:
            return None
        try:
            hosts = json.loads(body)["hosts"]
            return frozenset(each["host"] for each in hosts if each["state"] == _LEAVING)
        except (ValueError, KeyError, TypeError) as error:
            logging.warning("event=host_list_unreadable error=%r", error)
            return None
