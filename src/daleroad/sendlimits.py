"""How many requests upstreams get that bear only so many: granted one by one, by one process. Pure.

An upstream that is cold bears so many requests a second and ends under many more; one in need names
in its answers how many it takes from all gateways together. Shares that each gateway keeps by
itself can't hold a bound that is below the number of gateways: one request each, at the same
moment, is too much already (1.6 to 2.3 times the bound at 71 and 200 gateways, cold engines that
bear 27, three times the load; 1.0 with grants: ``daleroad cold``). So the process that places
requests for all gateways counts what it lets go to each upstream, and a gateway sends to one that
it knows to be limited only what was granted a moment ago. What the gateways don't know to be cold
yet is counted all the same.

Where no process grants, nothing goes to what is cold, which would end. What named a limit gets
:class:`OwnShare`: little, at moments that the gateways draw by lot.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from daleroad.defaults import CONNECT_SECONDS

GRANT_SECONDS = 0.2
"""How long a grant holds, from when its gateway asked for it: the answer is waited for 0.08 s, and
what is granted is sent at once."""

LATE_SECONDS = GRANT_SECONDS + CONNECT_SECONDS
"""How long after its grant a request arrives at the latest: as late as the grant holds and its
connection takes. Bounds are for any span in which requests arrive."""

COUNTED_SECONDS = 1.0 + LATE_SECONDS
"""Span in which grants are counted for a bound on one second."""

EVEN_SECONDS = 4.0
"""Span over which a named limit is kept; in each second of it no more than its part, rounded up."""

PROBE_SECONDS = 10.0
"""An upstream with a limit near 0 gets one request in so long: only an answer tells that it has
lifted it."""

KEPT_SECONDS = PROBE_SECONDS + LATE_SECONDS
"""How long a grant is remembered; no bound looks further back."""

OWN_SHARE = 0.5
"""Part of a limit that gateways use where no process grants. Each draws its moments alone, so now
and then more of them coincide; what others were granted before is still on its way, too."""


@dataclass(frozen=True)
class Bound:
    """How many requests may arrive in any span.

    :param seconds: length of the span.
    """

    most: int
    seconds: float


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

    def make_bound(self, rate: float) -> Bound:
        """Return the bound on what one upstream may get while it is cold.

        :param rate: requests a second that a cold upstream of the service bears.
        """
        return Bound(self.find_most(rate), 1.0)


def make_limit_bounds(rate: float) -> tuple[Bound, ...]:
    """Return the bounds on what an upstream may get that named a limit.

    The first keeps what is granted even, so that two leaders, one after the other, which don't know
    of each other's grants, add up to little more than the limit.

    :param rate: requests a second that it takes.
    """
    span = EVEN_SECONDS
    if rate * span < 1:
        span = PROBE_SECONDS if rate * PROBE_SECONDS < 1 else 1 / rate
    return (Bound(max(1, math.ceil(rate)), 1.0), Bound(max(1, math.floor(rate * span)), span))


@dataclass
class SendLimits:
    """Counts what goes to upstreams that have a bound, or may soon have one.

    What another process granted before this one began to is not known here, so upstreams with a
    bound get nothing until what counts of it for any second can't arrive any more.

    :param rule: what upstreams bear while they are cold.
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

    def is_full(self, instance_id: str, bounds: Sequence[Bound], now: float) -> bool:
        """Return whether an upstream has had as many requests as it may.

        :param instance_id: the upstream.
        :param bounds: all of these hold.
        :param now: the time.
        """
        granted = self._granted.get(instance_id, deque())
        return any(_count_late(granted, bound, now) >= bound.most for bound in bounds)

    def may_get(self, instance_id: str, bounds: Sequence[Bound], now: float) -> bool:
        """Return whether an upstream that has bounds may get another request now.

        :param instance_id: the upstream.
        :param bounds: all of these hold.
        :param now: the time.
        """
        known_all = now >= self._begun_at + COUNTED_SECONDS
        return known_all and not self.is_full(instance_id, bounds, now)

    def grant(self, instance_id: str, now: float) -> None:
        """Count a request that goes to an upstream.

        :param instance_id: the upstream.
        :param now: the time.
        """
        granted = self._granted.setdefault(instance_id, deque())
        _drop_old(granted, now)
        granted.append(now)

    def prune(self, now: float) -> None:
        """Forget upstreams that got nothing of late.

        :param now: the time.
        """
        for instance_id, granted in list(self._granted.items()):
            _drop_old(granted, now)
            if not granted:
                del self._granted[instance_id]


def _count_late(granted: deque[float], bound: Bound, now: float) -> int:
    """Return how many grants may arrive in one span with a request that is granted now."""
    oldest = now - bound.seconds - LATE_SECONDS
    count = 0
    for at in reversed(granted):
        if at <= oldest or count >= bound.most:
            break
        count += 1
    return count


def _drop_old(granted: deque[float], now: float) -> None:
    """Drop the times of grants that no bound counts any more."""
    while granted and granted[0] <= now - KEPT_SECONDS:
        granted.popleft()


@dataclass
class OwnShare:
    """What one gateway sends to upstreams with a limit where no process grants.

    Time is cut into slots in each of which one request goes there, if the limit were all used. A
    gateway owns a slot with a chance of one over the number of gateways, drawn by hash, and what
    it does not use of it is gone: saved up, the shares of idle gateways would be sent at once.

    :param owner: the gateway.
    """

    owner: str
    _used: dict[str, int] = field(default_factory=dict)

    def take(self, instance_id: str, rate: float, gateways: int, now: float) -> bool:
        """Use the present slot, if it is this gateway's and still unused; return whether it was.

        :param instance_id: the upstream.
        :param rate: requests a second that it takes from all gateways.
        :param gateways: how many there are.
        :param now: the time.
        """
        slot = math.floor(now * max(OWN_SHARE * rate, 1 / PROBE_SECONDS))
        drawn = xxh3_64_intdigest(f"{self.owner} {instance_id} {slot}".encode())
        if drawn % max(1, gateways) or self._used.get(instance_id) == slot:
            return False
        self._used[instance_id] = slot
        return True

    def forget(self, instance_id: str) -> None:
        """Forget an upstream that left.

        :param instance_id: the upstream.
        """
        self._used.pop(instance_id, None)


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
