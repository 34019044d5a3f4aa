"""Detection of disks that were rolled back to an older state.

Each member reports a mark that grows with its starts and its log. The others persist the newest
mark that they saw. A member that reports a lower one has lost votes or entries that it had saved.

Does no I/O.
"""

from collections.abc import Iterable
from random import Random

from daleroad.defaults import MARK_ENTRIES, MAX_REMEMBERED_RUNS
from daleroad.logtypes import Durable, Run, Standing


class RollbackDetector:
    """A member's own standing and the newest standings seen of others.

    :param durable: the state loaded from disk.
    :param last_index: index of the last log entry.
    :param random: source of the identifier of this run.
    """

    def __init__(self, durable: Durable, last_index: int, random: Random) -> None:
        own = Run(f"{random.getrandbits(24):06x}", 0)
        self._runs = (*durable.runs, own)[-MAX_REMEMBERED_RUNS:]
        self._seen = {standing.incarnation: standing for standing in durable.seen}
        self._marked_at = 0
        self.raise_mark(last_index)

    def get_own(self, incarnation: str) -> Standing:
        """Return this member's own standing.

        :param incarnation: the incarnation of its disk.
        """
        return Standing(incarnation, self._runs)

    def get_seen(self) -> dict[str, Standing]:
        """Return the newest standing seen of each other disk, keyed by incarnation."""
        return dict(self._seen)

    def list_seen(self) -> tuple[Standing, ...]:
        """Return the newest standing seen of each other disk."""
        return tuple(self._seen.values())

    def raise_mark(self, last_index: int) -> None:
        """Raise this run's mark above those of all runs.

        :param last_index: index of the last log entry.
        """
        mark = max(run.mark for run in self._runs) + 1
        self._runs = (*self._runs[:-1], Run(self._runs[-1].name, mark))
        self._marked_at = last_index // MARK_ENTRIES

    def needs_mark(self, last_index: int) -> bool:
        """Return whether the log has passed another multiple of MARK_ENTRIES since the last mark.

        :param last_index: index of the last log entry.
        """
        return last_index // MARK_ENTRIES > self._marked_at

    def find_rollback(self, standing: Standing) -> Standing | None:
        """Return the current standing seen of a rolled-back disk, or ``None`` if it was not.

        :param standing: the standing that the member reports.
        """
        seen = self._seen.get(standing.incarnation)
        return None if seen is None or standing.includes(seen) else seen

    def record(self, standing: Standing) -> bool:
        """Record a member's standing; return whether it differs from the recorded one.

        :param standing: the standing that the member reports.
        """
        if self._seen.get(standing.incarnation) == standing:
            return False
        self._seen[standing.incarnation] = standing
        return True

    def merge(self, seen: Iterable[Standing], own: str) -> bool:
        """Merge the standings that the leader has seen; return whether any changed.

        :param seen: the leader's standings; older ones than those recorded are ignored.
        :param own: incarnation of this member's disk, whose standing is ignored.
        """
        current = [
            standing
            for standing in seen
            if standing.incarnation != own and self.find_rollback(standing) is None
        ]
        # Not any(): it would stop at the first change and leave the rest unrecorded.
        return sum(self.record(standing) for standing in current) > 0
