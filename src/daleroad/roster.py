"""The leader's view of the entries: their leases and what each has applied. Pure."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True)
class _Seen:
    revision: int
    at: float


class Roster:
    """Leases that this leader gave, since it began to lead.

    :param lease_seconds: how long an entry may serve after an answer.
    :param since: when this leader began; until a lease later, entries may hold leases of its
        predecessor.
    """

    def __init__(self, lease_seconds: float, since: float) -> None:
        self.lease_seconds = lease_seconds
        self.since = since
        self._seen: dict[str, _Seen] = {}

    def follow(self, name: str, revision: int, now: float) -> None:
        """Note that an entry asked, and so renew its lease.

        :param name: the entry.
        :param revision: what it has applied.
        :param now: the time of the answer, so that the lease ends here no sooner than there.
        """
        self._seen[name] = _Seen(revision, now)

    def note_applied(self, name: str, revision: int) -> None:
        """Note what an entry says it has applied, without renewing its lease.

        :param name: the entry.
        :param revision: what it has applied.
        """
        seen = self._seen.get(name)
        self._seen[name] = _Seen(revision, seen.at if seen else self.since)

    def forget(self, name: str) -> None:
        """Forget an entry that left.

        :param name: the entry.
        """
        self._seen.pop(name, None)

    def list_expired(self, names: Iterable[str], now: float) -> Iterator[str]:
        """Yield the entries whose lease has run out.

        :param names: all entries in the membership.
        :param now: the time.
        """
        return (name for name in names if self._get_expiry(name) <= now)

    def is_in_force(self, revision: int, names: Iterable[str], now: float) -> bool:
        """Return whether each entry applied a revision or can't serve without it.

        :param revision: the revision.
        :param names: all entries in the membership.
        :param now: the time.
        """
        known = set(names) | set(self._seen)
        return all(self._has_applied(name, revision, now) for name in known)

    def _has_applied(self, name: str, revision: int, now: float) -> bool:
        seen = self._seen.get(name)
        if seen is not None and seen.revision >= revision:
            return True
        return self._get_expiry(name) <= now

    def _get_expiry(self, name: str) -> float:
        seen = self._seen.get(name)
        return (seen.at if seen else self.since) + self.lease_seconds
