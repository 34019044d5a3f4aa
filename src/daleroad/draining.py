"""Which requests a process that will soon end still takes.

A request that is taken is answered whole, or told truthfully what became of it. Where the process
ends at a known time, that holds only for work that is over by then; everything else is better off
elsewhere, and at once.
"""

from dataclasses import dataclass

from daleroad.defaults import (
    CLIENT_RETURN_SHARE,
    DRAIN_OBJECTIVES,
    DRAIN_RETRY_SECONDS,
    DRAIN_TOKEN_SECONDS,
    GATEWAY_RESTART_SECONDS,
    LOOKUP_KEPT_SECONDS,
)
from daleroad.dispatch import Prompt
from daleroad.routing import Repeat, RouteRule

_CAUTION = 2.0
"""By how much a need is above what requests take mostly, at the least; both of its parts are."""


@dataclass(frozen=True)
class Need:
    """Time that a request may need, in seconds.

    :param begin: until its answer begins.
    :param finish: from then until the answer's end.
    """

    begin: float
    finish: float

    def fits(self, left: float, allowed: float) -> bool:
        """Return whether a request is over before the process is, also if it takes long.

        :param left: seconds until the process ends.
        :param allowed: seconds until the request's client or route ends it.
        """
        return min(self.begin + self.finish, allowed) <= left

    def may_fit(self, left: float) -> bool:
        """Return whether a request that takes no longer than most is over before the process is.

        :param left: seconds until the process ends.
        """
        return (self.begin + self.finish) / _CAUTION <= left

    def find_latest_begin(self, ends_at: float) -> float:
        """Return when an answer must have begun at the latest to be whole, mostly.

        :param ends_at: when the process ends.
        """
        return ends_at - self.finish / _CAUTION


def estimate_need(route: RouteRule, prompt: Prompt | None, event_tokens: int) -> Need:
    """Return the time that a request may need; without end where nothing is known of it.

    A stream may pause before each event for as long as its route allows. A fixed time for a token
    fits some engines only: at 18 ms streams of 20 to 50 ms a token were taken and cut.

    :param route: its route.
    :param prompt: what it says of its prompt and output, if anything.
    :param event_tokens: tokens in one event of a stream.
    """
    begin = DRAIN_OBJECTIVES * route.objective if route.objective else float("inf")
    if route.repeat is not Repeat.STREAM:
        return Need(begin, 0.0)
    if prompt is None:
        return Need(begin, float("inf"))
    token = route.pause / event_tokens if route.pause else DRAIN_TOKEN_SECONDS
    return Need(begin, prompt.most_output * token)


def find_return(left: float, others: int, gateways: int) -> float:
    """Return when a client that a stopping gateway refuses should come back, in seconds.

    :param left: seconds until the process ends.
    :param others: other gateways that take clients.
    :param gateways: all gateways that are alive.
    """
    if not others:
        return round(max(0.0, left) + GATEWAY_RESTART_SECONDS, 2)
    # A client tries an address that it knows. Where most of those stop, it had better ask anew.
    return DRAIN_RETRY_SECONDS if 2 * others >= gateways else LOOKUP_KEPT_SECONDS


def takes(need: Need, left: float, allowed: float, back: float) -> bool:
    """Return whether a stopping gateway should take a request.

    What may be over in time is taken also where it is not sure, if its client can't come back:
    clients wait only for a part of their time.

    :param need: time that it may need.
    :param left: seconds until the process ends.
    :param allowed: seconds until the request's client or route ends it.
    :param back: seconds after which its client could come back.
    """
    if need.fits(left, allowed):
        return True
    return back > CLIENT_RETURN_SHARE * allowed and need.may_fit(left)
