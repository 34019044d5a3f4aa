"""How many requests a cold upstream may get: granted one by one, by one process. Pure.

An upstream that is cold bears so many requests a second and ends under many more. Shares that each
gateway keeps by itself can't hold a bound that is below the number of gateways: one request each,
at the same moment, is too much already (1.6 to 2.3 times the bound at 71 and 200 gateways, cold
engines that bear 27, three times the load; 1.0 with grants: ``daleroad cold``). So the process that
places prompts for all gateways counts what it lets go to each upstream, and a gateway sends to one
that it knows to be cold only what was granted a moment ago. What the gateways don't know to be cold
yet is counted all the same.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from daleroad.defaults import CONNECT_SECONDS

GRANT_SECONDS = 0.2
"""How long a grant holds, from when its gateway asked for it: the answer is waited for 0.08 s, and
what is granted is sent at once."""

COUNTED_SECONDS = 1.0 + GRANT_SECONDS + CONNECT_SECONDS
"""Span in which grants are counted. The bound is for any second in which requests arrive; one
arrives as late after its grant as the grant holds and its connection takes."""


@dataclass(frozen=True)
class ColdRule:
    """What upstreams bear while they are cold.

    :param overage: requests in a second at most, as a multiple of what a service's upstreams bear.
    :param tolerance: requests in a second beyond that.
    """

    overage: float = 1.0
    tolerance: float = 0.0

    def find_most(self, rate: float) -> int:
        """Return how many requests one upstream may get in any second.

        :param rate: requests a second that a cold upstream of the service bears.
        """
        return math.floor(rate * self.overage + self.tolerance)


@dataclass
class SendLimits:
    """Counts what goes to each upstream of services that have such a bound.

    What another process granted before this one began to is not known here, so upstreams that are
    cold get nothing until that can't arrive any more.

    :param rule: the bound.
    """

    rule: ColdRule
    _term: int = -1
    _begun_at: float = float("inf")
    _granted: dict[str, deque[float]] = field(default_factory=dict)

    def begin(self, term: int, now: float) -> None:
        """Note that this process grants in some term; the same one may be noted again and again.

        :param term: the term.
        :param now: the time.
        """
        if term != self._term:
            self._term = term
            self._begun_at = now

    def is_full(self, instance_id: str, rate: float, now: float) -> bool:
        """Return whether an upstream has had as many requests as it may.

        :param instance_id: the upstream.
        :param rate: requests a second that a cold upstream of its service bears.
        :param now: the time.
        """
        granted = self._granted.get(instance_id)
        if granted is None:
            return self.rule.find_most(rate) < 1
        _drop_old(granted, now)
        return len(granted) >= self.rule.find_most(rate)

    def may_get(self, instance_id: str, rate: float, now: float) -> bool:
        """Return whether an upstream that is cold may get another request now.

        :param instance_id: the upstream.
        :param rate: requests a second that a cold upstream of its service bears.
        :param now: the time.
        """
        known_all = now >= self._begun_at + COUNTED_SECONDS
        return known_all and not self.is_full(instance_id, rate, now)

    def grant(self, instance_id: str, now: float) -> None:
        """Count a request that goes to an upstream.

        :param instance_id: the upstream.
        :param now: the time.
        """
        self._granted.setdefault(instance_id, deque()).append(now)

    def prune(self, now: float) -> None:
        """Forget upstreams that got nothing of late.

        :param now: the time.
        """
        for instance_id, granted in list(self._granted.items()):
            _drop_old(granted, now)
            if not granted:
                del self._granted[instance_id]


def _drop_old(granted: deque[float], now: float) -> None:
    """Drop the times of grants that don't count any more."""
    while granted and granted[0] <= now - COUNTED_SECONDS:
        granted.popleft()


@dataclass
class Grants:
    """The grants that one gateway holds; each serves one request."""

    _until: dict[str, list[float]] = field(default_factory=dict)

    def add(self, instance_id: str, until: float, now: float) -> None:
        """Keep a grant.

        :param instance_id: the upstream that it is for.
        :param until: when it ends.
        :param now: the time.
        """
        kept = ((name, [t for t in times if t > now]) for name, times in self._until.items())
        self._until = {name: times for name, times in kept if times}
        self._until.setdefault(instance_id, []).append(until)

    def take(self, instance_id: str, now: float) -> bool:
        """Use a grant up; return whether there was one.

        :param instance_id: the upstream that a request goes to.
        :param now: the time.
        """
        times = self._until.get(instance_id, [])
        while times:
            if times.pop(0) > now:
                return True
        return False
