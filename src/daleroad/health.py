"""Ejection of failing upstreams, and their return after a successful trial.

There are two detectors: a count of consecutive failures, and Wald's sequential probability ratio
test of the failure rate. :mod:`daleroad.detection` compares them.

Does no I/O; the caller passes in the time.
"""

import math
from dataclasses import dataclass, field

from daleroad.defaults import EJECT_SECONDS, EJECT_SHARE

_MAX_EJECT_SECONDS = 60.0


@dataclass(frozen=True)
class Consecutive:
    """Ejects after a number of consecutive failures.

    :param most: the number of failures.
    """

    most: int = 5


@dataclass(frozen=True)
class Sequential:
    """Ejects by Wald's sequential probability ratio test of the failure rate.

    :param good: failure rate of a healthy upstream.
    :param bad: failure rate of an upstream that should be ejected.
    :param false_alarm: accepted probability of ejecting a healthy upstream.
    :param missed: accepted probability of regarding a failing upstream as healthy.
    """

    good: float = 0.02
    bad: float = 0.4
    false_alarm: float = 1e-6
    missed: float = 1e-2


Detector = Consecutive | Sequential


@dataclass
class Evidence:
    """State of a detector for one upstream.

    :param score: number of consecutive failures, or the log-likelihood ratio of the test.
    """

    detector: Detector
    score: float = 0.0

    def note(self, ok: bool) -> bool:
        """Update the score with a result; return whether the upstream should be ejected.

        :param ok: whether the request succeeded.
        """
        match self.detector:
            case Consecutive(most):
                self.score = 0.0 if ok else self.score + 1
                return self.score >= most
            case Sequential(good, bad, false_alarm, missed):
                likelihood_ratio = (1 - bad) / (1 - good) if ok else bad / good
                self.score += math.log(likelihood_ratio)
                # At the lower boundary the upstream is accepted as healthy; the test restarts.
                if self.score <= math.log(missed / (1 - false_alarm)):
                    self.score = 0.0
                self.score = max(self.score, 0.0)
                return self.score >= math.log((1 - missed) / false_alarm)


@dataclass
class _Ejection:
    retry_at: float
    seconds: float
    is_trial_sent: bool = False


@dataclass
class Ejector:
    """Ejects failing upstreams, up to EJECT_SHARE of a service's upstreams.

    :param detector: decides from an upstream's results whether to eject it.
    """

    detector: Detector = field(default_factory=Sequential)
    _evidence: dict[str, Evidence] = field(default_factory=dict)
    _ejections: dict[str, _Ejection] = field(default_factory=dict)

    def note(self, upstream: str, ok: bool, among: int, now: float) -> bool:
        """Record the result of a request; return whether it led to an ejection.

        :param upstream: the upstream.
        :param ok: whether the request succeeded.
        :param among: number of upstreams of the service.
        :param now: the current time.
        """
        ejected = self._ejections.get(upstream)
        if ejected is not None:
            return self._note_trial(upstream, ejected, ok, now)
        evidence = self._evidence.setdefault(upstream, Evidence(self.detector))
        if not evidence.note(ok):
            return False
        if len(self._ejections) + 1 > among * EJECT_SHARE:
            return False
        del self._evidence[upstream]
        self._ejections[upstream] = _Ejection(now + EJECT_SECONDS, EJECT_SECONDS)
        return True

    def is_open(self, upstream: str, now: float) -> bool:
        """Return whether an upstream may get a request; an ejected one gets one trial at a time.

        :param upstream: the upstream.
        :param now: the current time.
        """
        ejected = self._ejections.get(upstream)
        return ejected is None or now >= ejected.retry_at

    def take_trial(self, upstream: str, now: float) -> None:
        """Record that a request is sent to an upstream; for an ejected one it is the trial.

        :param upstream: the upstream.
        :param now: the current time.
        """
        ejected = self._ejections.get(upstream)
        if ejected is not None:
            ejected.retry_at = now + ejected.seconds
            ejected.is_trial_sent = True

    def forget(self, upstream: str) -> None:
        """Remove all state of an upstream that left.

        :param upstream: the upstream.
        """
        self._ejections.pop(upstream, None)
        self._evidence.pop(upstream, None)

    def _note_trial(self, upstream: str, ejected: _Ejection, ok: bool, now: float) -> bool:
        # Results of requests sent before the ejection are ignored.
        if not ejected.is_trial_sent:
            return False
        if ok:
            self.forget(upstream)
            return False
        ejected.is_trial_sent = False
        ejected.seconds = min(_MAX_EJECT_SECONDS, 2 * ejected.seconds)
        ejected.retry_at = now + ejected.seconds
        return False
