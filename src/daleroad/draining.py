"""Admission while draining: which requests a gateway still accepts before it exits.

The exit time is known, so a request is accepted only if it should be complete by then. Others are
refused at once, so that their clients can go elsewhere.
"""

from dataclasses import dataclass

from daleroad.defaults import (
    CLIENT_RETURN_SHARE,
    DRAIN_OBJECTIVES,
    DRAIN_RETRY_SECONDS,
    DRAIN_SECONDS_PER_TOKEN,
    GATEWAY_RESTART_SECONDS,
    LOOKUP_TTL_SECONDS,
)
from daleroad.dispatch import Prompt
from daleroad.durations import RecentDuration
from daleroad.routing import Repeat, RouteRule

NO_DURATION = RecentDuration(0, 0.0)
"""Nothing is known of the answers on a route."""

_MIN_ESTIMATE_RATIO = 2.0
"""Both parts of an estimate are at least so many times what most requests take."""


@dataclass(frozen=True)
class DurationEstimate:
    """Upper estimate of a request's duration, in seconds.

    :param to_start: time to the start of the response.
    :param to_end: time from the start to the end of the response.
    """

    to_start: float
    to_end: float

    def fits(self, left: float, allowed: float) -> bool:
        """Return whether a request ends before the process does, even at the full estimate.

        :param left: seconds until the process exits.
        :param allowed: seconds until the request's deadline.
        """
        return min(self.to_start + self.to_end, allowed) <= left

    def may_fit(self, left: float) -> bool:
        """Return whether a request of typical duration ends before the process does.

        :param left: seconds until the process exits.
        """
        return (self.to_start + self.to_end) / _MIN_ESTIMATE_RATIO <= left

    def find_latest_start(self, ends_at: float) -> float:
        """Return the latest start of a response that typically ends before the process does.

        :param ends_at: when the process exits.
        """
        return ends_at - self.to_end / _MIN_ESTIMATE_RATIO


def estimate_duration(
    route: RouteRule,
    prompt: Prompt | None,
    event_tokens: int,
    recent: RecentDuration = NO_DURATION,
) -> DurationEstimate:
    """Return the estimated duration of a request; a part without any basis is infinite.

    It is what answers have taken lately, for a stream up to its start. Before there were many, and
    for a stream, the start takes DRAIN_OBJECTIVES at least.

    A stream may pause before each event for as long as its route allows. A fixed time per token is
    used only without such a limit, because engines differ in speed: at 18 ms per token, streams of
    20 to 50 ms per token were accepted and then cut.

    :param route: the request's route.
    :param prompt: the request's prompt and output limit, if it states them.
    :param event_tokens: tokens in one event of a stream.
    :param recent: how long answers on the route have taken lately.
    """
    begin = DRAIN_OBJECTIVES * route.objective if route.objective else float("inf")
    if route.repeat is not Repeat.STREAM:
        known = recent.seconds if recent.is_certain() else max(begin, recent.seconds)
        return DurationEstimate(known, 0.0)
    begin = max(begin, recent.seconds)
    if prompt is None:
        return DurationEstimate(begin, float("inf"))
    token_seconds = route.pause / event_tokens if route.pause else DRAIN_SECONDS_PER_TOKEN
    return DurationEstimate(begin, prompt.max_output_tokens * token_seconds)


def find_retry_after(left: float, others: int, gateways: int) -> float:
    """Return the Retry-After time in seconds for a request that a draining gateway refuses.

    :param left: seconds until the process exits.
    :param others: number of other gateways that accept clients.
    :param gateways: number of all gateways that are alive.
    """
    if not others:
        return round(max(0.0, left) + GATEWAY_RESTART_SECONDS, 2)
    # Clients retry an address from their last lookup. If most gateways are draining, they should
    # wait until that lookup has expired.
    return DRAIN_RETRY_SECONDS if 2 * others >= gateways else LOOKUP_TTL_SECONDS


def should_accept(need: DurationEstimate, left: float, allowed: float, retry_after: float) -> bool:
    """Return whether a draining gateway should accept a request.

    One that ends in time only if its duration is typical is accepted if its client could not retry:
    clients wait for CLIENT_RETURN_SHARE of their remaining time at most.

    :param need: estimated duration of the request.
    :param left: seconds until the process exits.
    :param allowed: seconds until the request's deadline.
    :param retry_after: Retry-After time in seconds.
    """
    if need.fits(left, allowed):
        return True
    return retry_after > CLIENT_RETURN_SHARE * allowed and need.may_fit(left)
