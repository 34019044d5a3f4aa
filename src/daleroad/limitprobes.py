"""Decides when a request should go to an upstream with a limit although others have room.

Others with room are preferred to an upstream that advertises a limit, and only its answers tell
that the limit has changed. Without requests, one that named a limit once would never be found
again. So it gets a part of what it names in any case, and a single request now and then if its
answers fail to come. These are requests that callers sent, never additional ones.

This only changes which upstream is preferred. What an upstream may get is still decided by the
grants and shares of :mod:`daleroad.sendlimits`.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from daleroad.fleet import Fleet
from daleroad.picking import Candidate
from daleroad.sendlimits import (
    MAX_ARRIVAL_DELAY_SECONDS,
    GrantLimiter,
    WindowLimit,
    make_window_limits,
)

PREFERRED_FRACTION = 0.8
"""Part of a limit that goes to an upstream while others have room. The upstream works at what it
says it can, and the rest is free for streams that can only go on there."""

UNCERTAIN_SECONDS = 4.0
"""Time after the last answer that named a limit, after which the limit is uncertain. Callers should
have an upstream back within 5 s of the end of its limit; the rest is for the next request to
arrive and be answered."""

FAILURE_SECONDS = 10.0
"""Time after a failure at a limited upstream in which a gateway prefers others for requests that
may run once only. Other gateways and requests find out meanwhile whether it still fails."""

MAX_PREFERRED_LOAD = 1.0
"""Load up to which a request may be sent to a limited upstream rather than to another: at 1 it is
full, and the request would wait."""

_PROBE_LIMIT = WindowLimit(1, UNCERTAIN_SECONDS - MAX_ARRIVAL_DELAY_SECONDS)
"""What an upstream with an uncertain limit gets while others have room. It may not answer at all,
so it should cost few callers a retry."""


def is_suitable(candidate: Candidate) -> bool:
    """Return whether a request may be sent to a limited upstream although others have room.

    It must not be worse off there, so the upstream must be healthy, warm and not full.

    :param candidate: the upstream, with the load of the request.
    """
    is_impaired = candidate.unhealthy or candidate.cold or candidate.overdue
    has_room = candidate.load + candidate.penalty <= MAX_PREFERRED_LOAD
    return candidate.rate_limited and not is_impaired and not candidate.lacks_memory and has_room


@dataclass(frozen=True)
class LimitProber:
    """Prefers limited upstreams that have had too few requests, for the leading coordinator.

    :param fleet: the upstreams and their limits.
    :param limits: the grants for each upstream.
    """

    fleet: Fleet
    limits: GrantLimiter

    def narrow(self, candidates: Iterable[Candidate], now: float) -> list[Candidate]:
        """Return the limited upstreams that are due for a request, or all candidates if none is.

        :param candidates: upstreams that may get the request by their limits.
        :param now: the time.
        """
        listed = list(candidates)
        return [c for c in listed if is_suitable(c) and self._is_due(c.instance.id, now)] or listed

    def _is_due(self, instance_id: str, now: float) -> bool:
        """Return whether a limited upstream has had too few requests."""
        report = self.fleet.make_limit_report(instance_id, now)
        if report is None or report.rate is None:
            return False
        if report.age >= UNCERTAIN_SECONDS:
            return not self.limits.is_at_limit(instance_id, (_PROBE_LIMIT,), now)
        preferred = make_window_limits(PREFERRED_FRACTION * report.rate)
        return not self.limits.is_at_limit(instance_id, preferred, now)


@dataclass
class RecentFailures:
    """When upstreams last failed a request of one gateway, unless they succeeded since."""

    _failed_at: dict[str, float] = field(default_factory=dict)

    def note(self, instance_id: str, ok: bool, now: float) -> None:
        """Record the result of a request.

        :param instance_id: the upstream.
        :param ok: whether the request succeeded.
        :param now: the time.
        """
        self.forget(instance_id)
        if not ok:
            self._failed_at[instance_id] = now

    def has_failed(self, instance_id: str, now: float) -> bool:
        """Return whether an upstream has failed lately.

        :param instance_id: the upstream.
        :param now: the time.
        """
        return now < self._failed_at.get(instance_id, float("-inf")) + FAILURE_SECONDS

    def forget(self, instance_id: str) -> None:
        """Forget an upstream that left.

        :param instance_id: the upstream.
        """
        self._failed_at.pop(instance_id, None)
