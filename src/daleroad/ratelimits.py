"""Rate limits that upstreams advertise, as one process knows them.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass

MIN_LIFT_DELAY_SECONDS = 0.5
"""An answer without a limit lifts the limit only so long after the newest report. An earlier one
may have been on its way already, or the instance may advertise its limit in some answers only."""

MAX_IGNORED_CHANGE_FRACTION = 0.1
"""Change of a known limit, as a fraction of it, that is ignored. An instance that computes its
limit anew for each answer would wake all processes of a site with each otherwise."""


@dataclass(frozen=True)
class RateLimit:
    """The rate of requests that an instance takes from all gateways together, as it reported.

    :param rate: requests a second, or None if the instance advertises no limit any more.
    :param age: seconds since the report.
    """

    rate: float | None
    age: float = 0.0


@dataclass
class KnownLimit:
    """The newest known limit of one upstream.

    :param rate: requests a second, or None without a limit.
    """

    rate: float | None = None
    _reported_at: float = float("-inf")
    _was_advertised: bool = False

    def apply_report(self, limit: RateLimit, now: float) -> bool:
        """Take in a report, unless a newer one is known; return whether it changes the limit.

        :param limit: the report.
        :param now: the time.
        """
        reported_at = now - limit.age
        lifts = limit.rate is None and self.rate is not None
        if reported_at < self._reported_at + (MIN_LIFT_DELAY_SECONDS if lifts else 0):
            return False
        self._reported_at = reported_at
        if not _differs(self.rate, limit.rate):
            return False
        self.rate = limit.rate
        self._was_advertised = True
        return True

    def make_report(self, now: float) -> RateLimit | None:
        """Return the limit as a report to other processes, or None if there never was one.

        :param now: the time.
        """
        return RateLimit(self.rate, now - self._reported_at) if self._was_advertised else None


def _differs(known: float | None, reported: float | None) -> bool:
    """Return whether a reported limit differs enough from the known one to replace it."""
    if known is None or reported is None:
        return known is not reported
    return abs(reported - known) > MAX_IGNORED_CHANGE_FRACTION * known
