"""Sliding-window limits on requests to upstreams, enforced by grants of the leading coordinator.

Two kinds of upstreams are limited: cold ones of a service with a cold rate, and those that
advertise in their answers how many requests a second they take from all gateways together. Shares
that each gateway enforces by itself can't hold a limit below the number of gateways: one request
from each at the same moment exceeds it. With 71 and 200 gateways, 20 cold engines that can handle
27 requests per second each, and three times the load, shares led to peaks of 1.6 and 2.3 times the
limit, and grants to 1.0 (``daleroad cold`` compares them). So the leading coordinator, which places
requests for all gateways, counts what it grants for each upstream, and a gateway sends to an
upstream that it knows to be limited only with a recent grant.
If a service has a cold rate, requests to all its upstreams are granted and counted, since one may
be cold without its being known yet.

Without a leading coordinator nothing is sent to cold upstreams with a cold rate, since they could
crash under the load. Other upstreams that advertise a limit then get :class:`FallbackShare`: a
fraction of the limit, in time slots that each gateway draws by hash.

Does no I/O; the caller passes in the time.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from daleroad.defaults import CONNECT_SECONDS

GRANT_LIFETIME_SECONDS = 0.2
"""Lifetime of a grant. That of the placer's grants begins when the gateway asks for them; it waits
PLACER_TIMEOUT_SECONDS at most for the answer."""

MAX_ARRIVAL_DELAY_SECONDS = GRANT_LIFETIME_SECONDS + CONNECT_SECONDS
"""Longest time from a grant to the arrival of its request: its lifetime, and the longest time that
connecting may take. Limits hold for arrivals, not for grants."""

LOOKBACK_SECONDS = 1.0 + MAX_ARRIVAL_DELAY_SECONDS
"""How far back grants count towards a limit on one second."""

SMOOTHING_WINDOW_SECONDS = 4.0
"""Window over which an advertised limit holds. Any one second within it may get the limit of one
second, rounded up. A limit of less than one request in this window has a longer window."""

PROBE_INTERVAL_SECONDS = 10.0
"""Longest window of a limit: an upstream gets one request in it even if it advertises a lower rate,
down to 0, since only an answer tells that the limit is lifted."""

MAX_LOOKBACK_SECONDS = PROBE_INTERVAL_SECONDS + MAX_ARRIVAL_DELAY_SECONDS
"""How long a grant is remembered; no limit looks further back."""

FALLBACK_FRACTION = 0.5
"""Fraction of a limit that gateways use without a leading coordinator. They draw their slots
independently, so slots may coincide, and requests that were granted before may still arrive."""


@dataclass(frozen=True)
class WindowLimit:
    """A limit on the requests that arrive in any window of some length.

    :param window_seconds: length of the window.
    """

    max_requests: int
    window_seconds: float


@dataclass(frozen=True)
class ColdRule:
    """What cold upstreams may get.

    :param overage: allowed requests a second, as a multiple of the service's cold rate.
    :param tolerance: requests a second that are allowed in addition to that multiple.
    """

    overage: float = 1.0
    tolerance: float = 0.0

    def compute_max_requests(self, rate: float) -> int:
        """Return how many requests one cold upstream may get in any second.

        :param rate: the service's cold rate, in requests a second.
        """
        return math.floor(rate * self.overage + self.tolerance)

    def make_window_limit(self, rate: float) -> WindowLimit:
        """Return the limit on what one upstream may get while it is cold.

        :param rate: the service's cold rate, in requests a second.
        """
        return WindowLimit(self.compute_max_requests(rate), 1.0)


def make_window_limits(rate: float) -> tuple[WindowLimit, ...]:
    """Return the limits for an upstream that advertises a rate: on one second and a longer window.

    The one on a second spreads the grants over the longer window. So two successive leaders, which
    don't know each other's grants, exceed the rate by less together.

    :param rate: requests a second that the upstream takes.
    """
    window = SMOOTHING_WINDOW_SECONDS
    if rate * window < 1:
        window = PROBE_INTERVAL_SECONDS if rate * PROBE_INTERVAL_SECONDS < 1 else 1 / rate
    return (
        WindowLimit(max(1, math.ceil(rate)), 1.0),
        WindowLimit(max(1, math.floor(rate * window)), window),
    )


@dataclass
class GrantLimiter:
    """Counts grants per upstream, for upstreams that have a limit or may soon have one.

    Grants of a former leader are not known here. So upstreams with a limit get nothing in the first
    LOOKBACK_SECONDS of a term; after that, none of those grants counts towards a limit on one
    second. Limits on longer windows may be exceeded after a change of leader.

    :param rule: what cold upstreams may get.
    """

    rule: ColdRule
    _term: int = -1
    _term_started_at: float = float("inf")
    _grant_times: dict[str, deque[float]] = field(default_factory=dict)

    def start_term(self, term: int, now: float) -> None:
        """Note that this process leads in a term; repeated calls for one term have no effect.

        :param term: the term.
        :param now: the time.
        """
        if term != self._term:
            self._term = term
            self._term_started_at = now

    def is_at_limit(self, instance_id: str, bounds: Sequence[WindowLimit], now: float) -> bool:
        """Return whether the grants for an upstream have reached one of its limits.

        :param instance_id: the upstream.
        :param bounds: the limits, all of which hold.
        :param now: the time.
        """
        grant_times = self._grant_times.get(instance_id, deque())
        return any(_count_recent(grant_times, bound, now) >= bound.max_requests for bound in bounds)

    def may_grant(self, instance_id: str, bounds: Sequence[WindowLimit], now: float) -> bool:
        """Return whether an upstream with limits may get another request now.

        :param instance_id: the upstream.
        :param bounds: the limits, all of which hold.
        :param now: the time.
        """
        knows_recent_grants = now >= self._term_started_at + LOOKBACK_SECONDS
        return knows_recent_grants and not self.is_at_limit(instance_id, bounds, now)

    def record_grant(self, instance_id: str, now: float) -> None:
        """Record a grant for one request to an upstream.

        :param instance_id: the upstream.
        :param now: the time.
        """
        grant_times = self._grant_times.setdefault(instance_id, deque())
        _drop_old(grant_times, now)
        grant_times.append(now)

    def prune(self, now: float) -> None:
        """Forget upstreams without recent grants.

        :param now: the time.
        """
        for instance_id, grant_times in list(self._grant_times.items()):
            _drop_old(grant_times, now)
            if not grant_times:
                del self._grant_times[instance_id]


def _count_recent(grant_times: deque[float], bound: WindowLimit, now: float) -> int:
    """Return how many granted requests may arrive in one window with one that is granted now.

    Returns the limit's number of requests if there are more.
    """
    oldest = now - bound.window_seconds - MAX_ARRIVAL_DELAY_SECONDS
    count = 0
    for at in reversed(grant_times):
        if at <= oldest or count >= bound.max_requests:
            break
        count += 1
    return count


def _drop_old(grant_times: deque[float], now: float) -> None:
    """Drop grants that are older than any limit looks back."""
    while grant_times and grant_times[0] <= now - MAX_LOOKBACK_SECONDS:
        grant_times.popleft()


@dataclass
class FallbackShare:
    """What one gateway sends to upstreams with an advertised limit without a leading coordinator.

    Time is divided into slots, one for each request that FALLBACK_FRACTION of the limit allows, and
    at least one in PROBE_INTERVAL_SECONDS. For each slot, a hash decides whether the gateway owns
    it, with a probability of one over the number of gateways; several or none may own a slot.
    Unused slots are not saved up, or idle gateways could send their shares all at once.

    :param gateway_id: the gateway.
    """

    gateway_id: str
    _last_used_slots: dict[str, int] = field(default_factory=dict)

    def try_acquire(self, instance_id: str, rate: float, gateways: int, now: float) -> bool:
        """Use the current slot if this gateway owns it and hasn't used it; return whether it did.

        :param instance_id: the upstream.
        :param rate: requests a second that the upstream takes from all gateways.
        :param gateways: the number of gateways.
        :param now: the time.
        """
        slot = math.floor(now * max(FALLBACK_FRACTION * rate, 1 / PROBE_INTERVAL_SECONDS))
        slot_hash = xxh3_64_intdigest(f"{self.gateway_id} {instance_id} {slot}".encode())
        if slot_hash % max(1, gateways) or self._last_used_slots.get(instance_id) == slot:
            return False
        self._last_used_slots[instance_id] = slot
        return True

    def forget(self, instance_id: str) -> None:
        """Forget an upstream that left.

        :param instance_id: the upstream.
        """
        self._last_used_slots.pop(instance_id, None)


def find_slot_share(gateway_id: str, instance_id: str, slots: int, gateways: int) -> int:
    """Return how many requests a gateway may have at an upstream whose load it can't know.

    The shares of all gateways add up to the upstream's slots on average. Where there are fewer
    slots than gateways, a hash decides which of them have one.

    :param gateway_id: the gateway.
    :param instance_id: the upstream.
    :param slots: requests that the upstream runs concurrently.
    :param gateways: the number of gateways.
    """
    whole, rest = divmod(slots, max(1, gateways))
    drawn = xxh3_64_intdigest(f"{gateway_id} {instance_id} slot".encode()) % max(1, gateways)
    return whole + (drawn < rest)


@dataclass
class Grants:
    """The unused grants of one gateway; each allows one request."""

    _expiry_times: dict[str, list[float]] = field(default_factory=dict)

    def add(self, instance_id: str, expires_at: float, now: float) -> None:
        """Store a grant, and drop those of all upstreams that have expired.

        :param instance_id: the upstream that the grant is for.
        :param expires_at: when it expires.
        :param now: the time.
        """
        valid = (
            (name, [t for t in times if t > now]) for name, times in self._expiry_times.items()
        )
        self._expiry_times = {name: times for name, times in valid if times}
        self._expiry_times.setdefault(instance_id, []).append(expires_at)

    def consume(self, instance_id: str, now: float) -> bool:
        """Consume a valid grant; return whether there was one.

        :param instance_id: the upstream that a request goes to.
        :param now: the time.
        """
        times = self._expiry_times.get(instance_id, [])
        while times:
            if times.pop(0) > now:
                return True
        return False
