"""The organisations that the operator declares, and the look-up of an organisation by its key."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct


class RateLimit(Struct, frozen=True, kw_only=True):
    """Limit of an organisation's admitted requests, over all entries together.

    Attributes:
        per_second: Sustained rate in requests per second.
        burst: Requests that are admitted at once after a pause.
    """

    per_second: float
    burst: float


class Organisation(Struct, frozen=True, kw_only=True):
    """A customer that sends requests and owns jobs.

    Attributes:
        name: The name that the operator gives the organisation.
        key_digests: Digests of its valid keys.
        priority: Takes precedence over the priority of a route; 0 is the most urgent, ``None``
            leaves the route's priority in place.
        limit: Limit of its requests, ``None`` for no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    limit: RateLimit | None = None


class OrganisationDirectory:
    """The organisations of one version of the configuration; immutable.

    Args:
        organisations: All organisations. If two hold the same key, the key belongs to the first.
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
        """Return the number of organisations."""
        return len(self._by_name)

    def __iter__(self) -> Iterator[Organisation]:
        """Iterate over the organisations."""
        return iter(self._by_name.values())

    def find_by_key_digest(self, digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key, by the key's digest."""
        return self._by_digest.get(digest)

    def find_by_name(self, name: str) -> Organisation | None:
        """Return the organisation of a name."""
        return self._by_name.get(name)

    def limits(self) -> Mapping[str, RateLimit]:
        """Return the limits by name, of the organisations that have one."""
        return {each.name: each.limit for each in self if each.limit is not None}
