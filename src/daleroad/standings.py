"""Marks by which a group finds out a disk that went back to an older state. Pure.

Each member shows a mark that grows with its starts and its log; the others remember on their disks
the newest one they saw. A member that shows less than was seen of it has lost what it promised.
"""

from collections.abc import Iterable
from random import Random

from daleroad.defaults import MARK_ENTRIES, RUNS_KEPT
from daleroad.logtypes import Durable, Run, Standing


class Standings:
    """A member's own standing, and the newest ones seen of others.

    :param durable: what the disk held.
    :param last_index: index of the last entry of its log.
    :param random: names this run.
    """

    def __init__(self, durable: Durable, last_index: int, random: Random) -> None:
        own = Run(f"{random.getrandbits(24):06x}", 0)
        self._runs = (*durable.runs, own)[-RUNS_KEPT:]
        self._seen = {standing.incarnation: standing for standing in durable.seen}
        self._marked_at = 0
        self.raise_mark(last_index)

    def get_own(self, incarnation: str) -> Standing:
        """Return how this member identifies itself.

        :param incarnation: of its disk.
        """
        return Standing(incarnation, self._runs)

    def get_seen(self) -> dict[str, Standing]:
        """Return the newest standing seen of each other disk, by incarnation."""
        return dict(self._seen)

    def list_seen(self) -> tuple[Standing, ...]:
        """Return the newest standing seen of each other disk."""
        return tuple(self._seen.values())

    def raise_mark(self, last_index: int) -> None:
        """Show a higher mark from now on.

        :param last_index: index of the last entry.
        """
        mark = max(run.mark for run in self._runs) + 1
        self._runs = (*self._runs[:-1], Run(self._runs[-1].name, mark))
        self._marked_at = last_index // MARK_ENTRIES

    def needs_mark(self, last_index: int) -> bool:
        """Return whether the log grew past another MARK_ENTRIES entries.

        :param last_index: index of the last entry.
        """
        return last_index // MARK_ENTRIES > self._marked_at

    def find_newer(self, standing: Standing) -> Standing | None:
        """Return what was seen of a disk that has gone back since, or nothing.

        :param standing: how the member identifies itself.
        """
        seen = self._seen.get(standing.incarnation)
        return None if seen is None or standing.includes(seen) else seen

    def note(self, standing: Standing) -> bool:
        """Remember a member's standing; return whether it is news.

        :param standing: how the member identifies itself.
        """
        if self._seen.get(standing.incarnation) == standing:
            return False
        self._seen[standing.incarnation] = standing
        return True

    def learn(self, seen: Iterable[Standing], own: str) -> bool:
        """Take over what the leader has seen of other disks; return whether any is news.

        :param seen: what it has seen.
        :param own: incarnation of this member's disk, of which others know nothing better.
        """
        newer = [
            standing
            for standing in seen
            if standing.incarnation != own and self.find_newer(standing) is None
        ]
        # Each one is noted, so this must not stop at the first that is news.
        return sum(self.note(standing) for standing in newer) > 0
