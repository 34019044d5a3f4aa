"""Ejection of bad upstreams on evidence, and their way back. Pure.

Two detectors can be compared on the same traces: a count of consecutive failures, and Wald's
sequential probability ratio test of a failure rate.
"""

import math
from dataclasses import dataclass, field

from daleroad.defaults import EJECT_SECONDS, EJECT_SHARE

_EJECT_MOST_SECONDS = 60.0


@dataclass(frozen=True)
class Consecutive:
    """Eject after so many failures in a row."""

    most: int = 5


@dataclass(frozen=True)
class Sequential:
    """Eject when the evidence for the bad failure rate is strong enough.

    :param good: failure rate of a good upstream.
    :param bad: failure rate of one to eject.
    :param false_alarm: accepted probability to eject a good one.
    :param missed: accepted probability to call a bad one good.
    """

    good: float = 0.02
    bad: float = 0.4
    false_alarm: float = 1e-6
    missed: float = 1e-2


Detector = Consecutive | Sequential


@dataclass
class Evidence:
    """What is known against one upstream."""

    detector: Detector
    score: float = 0.0

    def note(self, ok: bool) -> bool:
        """Take one result; return whether the upstream should be ejected.

        :param ok: whether the request went well.
        """
        match self.detector:
            case Consecutive(most):
                self.score = 0.0 if ok else self.score + 1
                return self.score >= most
            case Sequential(good, bad, false_alarm, missed):
                likelier = (1 - bad) / (1 - good) if ok else bad / good
                self.score += math.log(likelier)
                # At the lower boundary the upstream is taken as good, and the test starts anew.
                if self.score <= math.log(missed / (1 - false_alarm)):
                    self.score = 0.0
                self.score = max(self.score, 0.0)
                return self.score >= math.log((1 - missed) / false_alarm)


@dataclass
class _Ejected:
    until: float
    seconds: float
    trial: bool = False


@dataclass
class Ejector:
    """Keeps bad upstreams out of the choice, but never more than a share of a service's.

    :param detector: how evidence is weighed.
    """

    detector: Detector = field(default_factory=Sequential)
    _evidence: dict[str, Evidence] = field(default_factory=dict)
    _ejected: dict[str, _Ejected] = field(default_factory=dict)

    def note(self, upstream: str, ok: bool, among: int, now: float) -> bool:
        """Take one result; return whether it led to an ejection.

        :param upstream: the upstream.
        :param ok: whether the request went well.
        :param among: upstreams of the service.
        :param now: the time.
        """
        ejected = self._ejected.get(upstream)
        if ejected is not None:
            return self._note_trial(upstream, ejected, ok, now)
        evidence = self._evidence.setdefault(upstream, Evidence(self.detector))
        if not evidence.note(ok):
            return False
        if len(self._ejected) + 1 > among * EJECT_SHARE:
            return False
        del self._evidence[upstream]
        self._ejected[upstream] = _Ejected(now + EJECT_SECONDS, EJECT_SECONDS)
        return True

    def is_open(self, upstream: str, now: float) -> bool:
        """Return whether an upstream may get work; an ejected one gets one trial at a time.

        :param upstream: the upstream.
        :param now: the time.
        """
        ejected = self._ejected.get(upstream)
        return ejected is None or now >= ejected.until

    def take_trial(self, upstream: str, now: float) -> None:
        """Note that work is sent to an upstream; for an ejected one this is its trial.

        :param upstream: the upstream.
        :param now: the time.
        """
        ejected = self._ejected.get(upstream)
        if ejected is not None:
            ejected.until = now + ejected.seconds
            ejected.trial = True

    def forget(self, upstream: str) -> None:
        """Forget an upstream that left.

        :param upstream: the upstream.
        """
        self._ejected.pop(upstream, None)
        self._evidence.pop(upstream, None)

    def _note_trial(self, upstream: str, ejected: _Ejected, ok: bool, now: float) -> bool:
        # Results of work that was sent before the ejection are no news.
        if not ejected.trial:
            return False
        if ok:
            self.forget(upstream)
            return False
        ejected.trial = False
        ejected.seconds = min(_EJECT_MOST_SECONDS, 2 * ejected.seconds)
        ejected.until = now + ejected.seconds
        return False
