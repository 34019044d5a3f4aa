"""Backpressure that upstreams report in their answers, and the backoff that they ask for.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Backpressure:
    """What the head of one answer reports about the upstream that sent it.

    :param max_requests_per_second: requests a second that it takes from all gateways together,
        or None if it advertises no limit.
    :param backoff_seconds: seconds for which the gateway must not send to it, or 0.
    :param leaving: whether it is leaving.
    :param cold_seconds: seconds for which it is still cold, or None if it does not say.
    """

    max_requests_per_second: float | None = None
    backoff_seconds: float = 0.0
    leaving: bool = False
    cold_seconds: float | None = None


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
