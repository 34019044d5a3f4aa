"""Signs that an upstream outlived what looked like its crash.

A heartbeat may be seconds late, and arrive after its sender has crashed. A late one comes alone:
an upstream sends the next one once the last was answered or has failed. So it takes two.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Container

from daleroad.fleet import Fleet

ALIVE_AFTER_SECONDS = 1.0
"""Time after a supposed crash from which on heartbeats count. One sent before a crash mostly
arrives within a tenth of this."""

MIN_GAP_HEARTBEATS = 0.5
"""Least gap between two heartbeats, in heartbeat intervals. Other processes report when they heard
one, and their reports on the same one differ by much less."""


class LifeSigns:
    """The first heartbeats of upstreams since they are supposed to have crashed.

    :param fleet: the known upstreams.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._first_heard_at: dict[str, float] = {}

    def prove_alive(self, instance: str, crashed_at: float, now: float) -> bool:
        """Return whether two heartbeats prove that an upstream did not crash at a time.

        Notes the first one, so it must be called again while others may arrive.

        :param instance: its id.
        :param crashed_at: when it is supposed to have crashed.
        :param now: the time.
        """
        since = crashed_at + ALIVE_AFTER_SECONDS
        heard_at = now - self._fleet.get_age(instance, now)
        if heard_at < since:
            return False
        first_heard_at = self._first_heard_at.get(instance, float("-inf"))
        if first_heard_at < since:
            self._first_heard_at[instance] = heard_at
            return False
        return heard_at - first_heard_at >= MIN_GAP_HEARTBEATS * self._fleet.heartbeat

    def keep_only(self, instances: Container[str]) -> None:
        """Forget the heartbeats of all but some upstreams.

        :param instances: the ids of these.
        """
        self._first_heard_at = {
            instance: at for instance, at in self._first_heard_at.items() if instance in instances
        }
