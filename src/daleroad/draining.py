"""Which requests a process that will soon end still takes.

A request that is taken is answered whole, or told truthfully what became of it. Where the process
ends at a known time, that holds only for work that is over by then; everything else is better off
elsewhere, and at once.
"""

from dataclasses import dataclass

from daleroad.defaults import DRAIN_OBJECTIVES, DRAIN_TOKEN_SECONDS
from daleroad.dispatch import Prompt
from daleroad.routing import Repeat, RouteRule


@dataclass(frozen=True)
class Need:
    """Time that a request may need, in seconds.

    :param begin: until its answer begins.
    :param finish: from then until the answer's end.
    """

    begin: float
    finish: float

    def fits(self, left: float) -> bool:
        """Return whether a request can be over within some seconds.

        :param left: seconds until the process ends.
        """
        return self.begin + self.finish <= left


def estimate_need(route: RouteRule, prompt: Prompt | None, limit: float) -> Need:
    """Return the time that a request may need; more than its own limit it never does.

    :param route: its route.
    :param prompt: what it says of its prompt and output, if anything.
    :param limit: seconds until its client or its route's timeout ends it.
    """
    begin = DRAIN_OBJECTIVES * route.objective or limit
    if route.repeat is not Repeat.STREAM:
        return Need(min(begin, limit), 0.0)
    finish = prompt.most_output * DRAIN_TOKEN_SECONDS if prompt else limit
    return Need(min(begin, limit), max(0.0, min(finish, limit - begin)))
