"""Backpressure that upstreams report in their answers, and the backoff that they ask for.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, field

REJECTION_SHARE = 0.5
"""Part of the rejections that a brittle upstream bears to which gateways keep. They don't hear each
other, so several may be rejected in the same moment."""

MAX_BRITTLE_BACKOFF_SECONDS = 10.0
"""Longest backoff of a gateway from a brittle upstream that rejected it. By then the load there is
another, and a longer one leaves room unused on a large site."""


@dataclass(frozen=True)
class Backpressure:
    """What the head of one answer reports about the upstream that sent it.

    :param max_requests_per_second: requests a second that it takes from all gateways together,
        or None if it advertises no limit.
    :param backoff_seconds: seconds for which the gateway must not send to it, or 0.
    :param leaving: whether it is leaving.
    :param cold_seconds: seconds for which it is still cold, or None if it does not say.
    :param max_rejections_per_second: rejections for want of room, over all gateways, from which on
        it crashes; None if it bears any number.
    :param rejected: whether this answer is such a rejection; not so where any number is borne.
    """

    max_requests_per_second: float | None = None
    backoff_seconds: float = 0.0
    leaving: bool = False
    cold_seconds: float | None = None
    max_rejections_per_second: float | None = None
    rejected: bool = False

    def find_backoff_seconds(self, gateways: int) -> float:
        """Return the seconds for which the gateway must not send to the upstream.

        After a rejection by a brittle upstream, one that crashes under many of them, these are so
        many that all gateways together cause at most REJECTION_SHARE of what it bears.

        :param gateways: number of gateways.
        """
        if not self.rejected or self.max_rejections_per_second is None:
            return self.backoff_seconds
        rate = REJECTION_SHARE * self.max_rejections_per_second
        seconds = min(MAX_BRITTLE_BACKOFF_SECONDS, gateways / rate if rate else float("inf"))
        return max(self.backoff_seconds, seconds)


@dataclass
class UpstreamBackoffs:
    """The upstreams that asked this gateway to back off, and until when.

    An upstream that rejects all requests has no load, so load balancing would prefer it. The
    backoff is kept by the upstream's own name, not by the id of one start: a restarted upstream may
    ask for it before the gateway hears of the restart, which must not end the backoff.
    """

    _resume_times: dict[str, float] = field(default_factory=dict)

    def record(self, name: str, seconds: float, now: float) -> bool:
        """Record a backoff; return whether the upstream's backoff ends later by that.

        :param name: the upstream's own name.
        :param seconds: length of the backoff.
        :param now: the time.
        """
        if seconds <= 0:
            return False
        self._resume_times = {n: until for n, until in self._resume_times.items() if until > now}
        if now + seconds <= self._resume_times.get(name, now):
            return False
        self._resume_times[name] = now + seconds
        return True

    def count_active(self, now: float) -> int:
        """Return how many upstreams must get nothing now.

        :param now: the time.
        """
        return sum(until > now for until in self._resume_times.values())

    def is_backing_off(self, name: str, now: float) -> bool:
        """Return whether an upstream must get nothing now.

        :param name: the upstream's own name.
        :param now: the time.
        """
        return now < self._resume_times.get(name, now)
