"""A coordinator's view of the suspected requests of the whole site.

Coordinators receive the upstreams' heartbeats, so they also retract crashes of instances that turn
out to be alive.
"""

from collections.abc import Callable, Iterable

import anyio

from daleroad.defaults import LOOP_STALL_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.fleet import Fleet
from daleroad.lifesigns import LifeSigns
from daleroad.notices import SuspectsAnswer
from daleroad.suspects import Standing, Suspects, Trials
from daleroad.suspicions import Suspicion

UNCONFIRMED_SECONDS = 10.0
"""How long after a cut an instance is checked for heartbeats; many heartbeat intervals."""


class SharedSuspects:
    """The suspected requests, with the checks that retract crashes.

    :param fleet: the upstreams that this coordinator hears from.
    :param wake: called when watching gateways have changes to fetch.
    """

    def __init__(self, fleet: Fleet, wake: Callable[[], None]) -> None:
        self.suspects = Suspects()
        self._life_signs = LifeSigns(fleet)
        self._wake = wake
        self._trials = Trials()
        self._unconfirmed: dict[str, float] = {}
        self._last_turn_at = float("inf")
        self._stalled_at = float("-inf")

    def merge_reports(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Merge reports from other processes.

        :param suspicions: the reports.
        :param now: the time.
        """
        before = self.suspects.flagged_revision
        for report in suspicions:
            if self.suspects.merge(report, now):
                self._unconfirmed.update(report.list_times(now))
        # A single crash adds every request that ran there; only flagged ones concern the gateways.
        if self.suspects.flagged_revision != before:
            self._wake()

    def tick(self, now: float) -> None:
        """Prune old suspects and retract crashes of live instances; called each control-loop turn.

        :param now: the time.
        """
        self.suspects.prune(now)
        if now - self._last_turn_at > LOOP_STALL_SECONDS:
            self._stalled_at = now
        self._last_turn_at = now
        for instance, cut_at in list(self._unconfirmed.items()):
            if self._is_alive(instance, cut_at, now):
                del self._unconfirmed[instance]
                if self.suspects.record_alive(instance, now):
                    self._wake()
            elif now - cut_at > UNCONFIRMED_SECONDS:
                del self._unconfirmed[instance]
        self._life_signs.keep_only(self._unconfirmed)

    def _is_alive(self, instance: str, cut_at: float, now: float) -> bool:
        """Return whether an instance turned out to be alive after its reported crash.

        To the sender of a request, a cut, a reset and a lost response all look like a crash. After
        a stall of this process, only heartbeats well after it count, since those that were queued
        meanwhile look new.
        """
        return self._life_signs.prove_alive(instance, max(cut_at, self._stalled_at), now)

    def list_all(self) -> SuspectsAnswer:
        """Return all suspected requests and parts, and which of them are held."""
        now = anyio.current_time()
        known = self.suspects.list_changed(now)
        standings = ((r.fingerprint, self.suspects.get_standing(r.fingerprint, now)) for r in known)
        held = tuple(f for f, standing in standings if standing is Standing.HELD)
        return SuspectsAnswer(known, held)

    def release(self, fingerprint: str, instances: Iterable[str]) -> Failure | None:
        """Retract crashes of a request; return a failure if none of them is recorded.

        :param fingerprint: the request.
        :param instances: the instances that crashed, as the operator was told.
        """
        released = self.suspects.release(fingerprint, instances, anyio.current_time())
        if released is None:
            reason = f"none of these crashes is recorded for {fingerprint}"
            return Failure(FailureKind.NOT_FOUND, reason)
        ended = list(released.cleared)
        log_event(Event.REQUEST_RELEASED, fingerprint=fingerprint, ended=ended)
        self._wake()
        return None

    def grant_trial(self, fingerprint: str) -> bool:
        """Give the caller the trial of a request; return whether it was free and the hold is over.

        :param fingerprint: the request.
        """
        now = anyio.current_time()
        if self.suspects.get_standing(fingerprint, now) is Standing.HELD:
            return False
        return self._trials.claim(fingerprint, now)
