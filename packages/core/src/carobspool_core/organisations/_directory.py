"""The organisations that the operator declares, and whose key is whose."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct


class RateLimit(Struct, frozen=True, kw_only=True):
    """How many requests an organisation may have run, over all entries together.

    Attributes:
        per_second: Requests a second.
        burst: Requests that may come at once after a pause.
    """

    per_second: float
    burst: float


class Organisation(Struct, frozen=True, kw_only=True):
    """A customer that sends requests and owns jobs.

    Attributes:
        name: The operator's name for it.
        key_digests: Digests of its valid keys.
        priority: Goes before the priority of a route; 0 is the most urgent, ``None`` is none.
        limit: Of its requests, ``None`` is no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    limit: RateLimit | None = None


class OrganisationDirectory:
    """The organisations of one version of the configuration; it never changes.

    Args:
        organisations: All of them. Of two that hold the same key the first keeps it.
    """

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for each in organisations:
            self._by_name.setdefault(each.name, each)
            for digest in each.key_digests:
                self._by_digest.setdefault(digest, each)

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._by_name)

    def __iter__(self) -> Iterator[Organisation]:
        """Yield each of them."""
        return iter(self._by_name.values())

    def holder_of(self, digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key, by the key's digest."""
        return self._by_digest.get(digest)

    def limits(self) -> Mapping[str, RateLimit]:
        """Return the limits of those that have one, by name."""
        return {each.name: each.limit for each in self if each.limit is not None}
