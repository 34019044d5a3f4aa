"""The leader's record of entries' leases and applied revisions.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True)
class _EntryStatus:
    revision: int
    renewed_at: float


class Roster:
    """Leases that this leader has granted to entries since its election.

    :param lease_seconds: how long an entry may serve after the leader's answer.
    :param since: when this leader took over; for the length of a lease from then on, entries may
        still hold leases from its predecessor.
    """

    def __init__(self, lease_seconds: float, since: float) -> None:
        self.lease_seconds = lease_seconds
        self.since = since
        self._statuses: dict[str, _EntryStatus] = {}

    def follow(self, name: str, revision: int, now: float) -> None:
        """Renew an entry's lease on its follow request.

        :param name: the entry.
        :param revision: the revision that the entry has applied.
        :param now: the time of the answer, so that the lease does not end sooner on the leader
            than on the entry.
        """
        self._statuses[name] = _EntryStatus(revision, now)

    def note_applied(self, name: str, revision: int) -> None:
        """Record the revision that an entry has applied, without renewing its lease.

        :param name: the entry.
        :param revision: the revision.
        """
        status = self._statuses.get(name)
        self._statuses[name] = _EntryStatus(revision, status.renewed_at if status else self.since)

    def forget(self, name: str) -> None:
        """Remove an entry that left.

        :param name: the entry.
        """
        self._statuses.pop(name, None)

    def list_expired(self, names: Iterable[str], now: float) -> Iterator[str]:
        """Yield the entries whose lease has expired.

        :param names: all entries in the membership.
        :param now: the current time.
        """
        return (name for name in names if self._get_expiry(name) <= now)

    def is_in_force(self, revision: int, names: Iterable[str], now: float) -> bool:
        """Return whether each entry has applied a revision or has no valid lease any more.

        :param revision: the revision.
        :param names: all entries in the membership.
        :param now: the current time.
        """
        known = set(names) | set(self._statuses)
        return all(self._has_applied(name, revision, now) for name in known)

    def _has_applied(self, name: str, revision: int, now: float) -> bool:
        status = self._statuses.get(name)
        if status is not None and status.revision >= revision:
            return True
        return self._get_expiry(name) <= now

    def _get_expiry(self, name: str) -> float:
        status = self._statuses.get(name)
        return (status.renewed_at if status else self.since) + self.lease_seconds
