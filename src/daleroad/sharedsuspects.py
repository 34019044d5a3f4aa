"""The suspected requests of a whole site, as one coordinator knows them.

Coordinators hear the upstreams themselves, so they also take back ends of instances that live.
"""

from collections.abc import Callable, Iterable

import anyio

from daleroad.defaults import LOOP_STALL_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.fleet import Fleet
from daleroad.notices import SuspectsAnswer
from daleroad.suspects import Standing, Suspects, Suspicion, Trials

ALIVE_AFTER_SECONDS = 1.0
"""An instance that is heard so long after a cut has not ended. A heartbeat sent before an end is
mostly here within a tenth of that; one that is later costs one end that does not count."""

DOUBTED_SECONDS = 10.0
"""How long after a cut an instance that is silent may still turn out to live: many heartbeats."""


class SharedSuspects:
    """What is held against requests, with the means to take it back.

    :param fleet: the upstreams, as they are heard here.
    :param wake: called when there is news for those who watch.
    """

    def __init__(self, fleet: Fleet, wake: Callable[[], None]) -> None:
        self.suspects = Suspects()
        self._fleet = fleet
        self._wake = wake
        self._trials = Trials()
        self._doubted: dict[str, float] = {}
        self._turned_at = float("inf")
        self._stalled_at = float("-inf")

    def note(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Take in what others hold against requests.

        :param suspicions: what they hold.
        :param now: the time.
        """
        before = self.suspects.marked_revision
        for told in suspicions:
            if self.suspects.merge(told, now):
                self._doubted.update(dict.fromkeys(told.crashes, now - told.age))
        # One end makes a suspect of all that ran there; most matter to nobody.
        if self.suspects.marked_revision != before:
            self._wake()

    def turn(self, now: float) -> None:
        """Forget what is old, and take back ends of instances that live; called each turn.

        :param now: the time.
        """
        self.suspects.prune(now)
        if now - self._turned_at > LOOP_STALL_SECONDS:
            self._stalled_at = now
        self._turned_at = now
        for instance, ended_at in list(self._doubted.items()):
            if self._is_alive(instance, ended_at, now):
                del self._doubted[instance]
                if self.suspects.note_alive(instance, now):
                    self._wake()
            elif now - ended_at > DOUBTED_SECONDS:
                del self._doubted[instance]

    def _is_alive(self, instance: str, ended_at: float, now: float) -> bool:
        """Return whether an instance was heard from well after its end was told.

        A cut, a reset and a lost answer look like an end to who waits for the answer. After a
        stall, heartbeats that waited for this process pass for new ones.
        """
        heard_at = now - self._fleet.get_age(instance, now)
        return heard_at >= max(ended_at, self._stalled_at) + ALIVE_AFTER_SECONDS

    def list_all(self) -> SuspectsAnswer:
        """Return the requests that are suspected, as operators see them."""
        now = anyio.current_time()
        known = self.suspects.list_changed(now)
        standings = ((t.fingerprint, self.suspects.get_standing(t.fingerprint, now)) for t in known)
        held = tuple(name for name, standing in standings if standing is Standing.HELD)
        return SuspectsAnswer(known, held)

    def release(self, fingerprint: str) -> Failure | None:
        """Take back what is held against a request; return why that can't be done, if so.

        :param fingerprint: the request.
        """
        released = self.suspects.release(fingerprint, anyio.current_time())
        if released is None:
            return Failure(FailureKind.NOT_FOUND, f"nothing is held against {fingerprint}")
        ended = list(released.cleared)
        log_event(Event.REQUEST_RELEASED, fingerprint=fingerprint, ended=ended)
        self._wake()
        return None

    def give_trial(self, fingerprint: str) -> bool:
        """Return whether who asks, and nobody else for a while, may try a request now.

        :param fingerprint: the request.
        """
        now = anyio.current_time()
        if self.suspects.get_standing(fingerprint, now) is Standing.HELD:
            return False
        return self._trials.take(fingerprint, now)
