"""Central placement of requests for all gateways, run by the leading coordinator.

Each of many gateways places few of the requests and learns of the others' late: of 200 gateways
with 31 engines and 28 prompts per second, each places one prompt in seven seconds and learns of the
others' a second late. The placer records the load of each request when it chooses its upstream, so
that the next choice takes it into account. ``tests/test_placing.py`` simulates central placement,
and compares it with gateways that choose by themselves.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Container, Iterator
from dataclasses import replace
from random import Random

from daleroad.candidates import CandidateEvaluator
from daleroad.contention import NO_CONTENTION, Contention
from daleroad.fleet import Fleet
from daleroad.guardedstreams import ReadingRates, StreamGuard
from daleroad.limitprobes import LimitProber
from daleroad.loads import LoadTotals
from daleroad.notices import Load, PlaceAnswer, PlaceRequest
from daleroad.paces import GetPace
from daleroad.picking import Candidate, pick_upstream
from daleroad.reserves import Reserve, apply_reserve
from daleroad.routing import ServiceRule
from daleroad.sendlimits import ColdRule, GrantLimiter, WindowLimit, make_window_limits
from daleroad.unreached import UnreachableUpstreams


class Placer:
    """Chooses an upstream for each request.

    :param fleet: the live upstreams.
    :param loads: the load that all gateways put on them.
    :param heartbeat_seconds: interval of the upstreams' heartbeats.
    :param random: source of randomness.
    :param limits: counts the grants for each upstream; by default, a new one that knows none.
    :param get_pace: returns the pace of an engine, or nothing if it is unknown.
    """

    def __init__(
        self,
        fleet: Fleet,
        loads: LoadTotals,
        heartbeat_seconds: float,
        random: Random,
        limits: GrantLimiter | None = None,
        get_pace: GetPace = lambda instance_id: None,
    ) -> None:
        self._limits = limits or GrantLimiter(ColdRule())
        self._prober = LimitProber(fleet, self._limits)
        self._fleet = fleet
        self._unreached = UnreachableUpstreams(fleet)
        self._loads = loads
        self._heartbeat_seconds = heartbeat_seconds
        self._random = random
        self._reading_rates = ReadingRates()
        self._stream_guard = StreamGuard(fleet, loads.get_total, get_pace, self._reading_rates)

    def place(
        self,
        request: PlaceRequest,
        service: ServiceRule,
        now: float,
        evacuated_zones: Container[str] = (),
        contention: Contention = NO_CONTENTION,
        reserve: Reserve | None = None,
    ) -> PlaceAnswer:
        """Choose an upstream for a request, and record the load that it adds there and any grant.

        Also records the upstreams that the gateway could not reach, and the rate limits that it
        knows.

        :param request: the gateway's placement request.
        :param service: the service that the request is for.
        :param now: the time.
        :param evacuated_zones: availability zones whose upstreams get no requests.
        :param contention: how the service's routes compete.
        :param reserve: room that a patient request must leave free for more urgent ones. Where
            there is none, a ``crowded`` answer names the engine that comes closest to having it.
        """
        self._note_unreached(request, now)
        for notice in request.limits:
            if notice.limit is not None:
                self._fleet.note_limit(notice.instance, notice.limit, now)
            if notice.brittle:
                self._fleet.note_brittle(notice.instance, True, now)
        failing = frozenset(request.failing)

        def is_failing(instance_id: str) -> bool:
            unreachable = self._unreached.is_unreachable(instance_id, request.zone, now)
            return unreachable or instance_id in failing

        judge = CandidateEvaluator(
            self._fleet,
            self._heartbeat_seconds,
            self._loads.get_total,
            is_failing,
            evacuated_zones,
            self._stream_guard.make_penalty(
                service, contention, request.demand, request.unread, now
            ),
        )
        candidates = judge.list_candidates(service, request.tokens, request.excluded, now)
        if request.only:
            candidates = (c for c in candidates if c.instance.id == request.only)
        candidates = self._apply_limits(candidates, service, now)
        if reserve is not None and service.engine is not None:
            load, memory = Load("", 1, request.tokens, request.unread), service.engine.memory_tokens
            candidates = apply_reserve(candidates, reserve, load, memory, self._loads.get_total)
        preferred = self._prober.narrow(candidates, now)
        chosen = pick_upstream(preferred, request.zone, self._random)
        if chosen is None:
            return PlaceAnswer("")
        if chosen.lacks_memory and request.patient:
            closest = chosen.instance.id if contention.is_ordered() else ""
            return PlaceAnswer(closest, crowded=True)
        # With a cold rate, requests to warm upstreams count too: one may be cold without its being
        # known here yet.
        granted = bool(service.cold_rate) or chosen.rate_limited
        if granted:
            self._limits.record_grant(chosen.instance.id, now)
        guarded = int(request.demand is not None and request.demand.guarded)
        load = Load(chosen.instance.id, 1, request.tokens, request.unread, guarded)
        self._loads.add_load(request.gateway, load, now)
        if contention.guards_streams():
            self._reading_rates.record(chosen.instance.id, request.unread, now)
        return PlaceAnswer(chosen.instance.id, granted)

    def _note_unreached(self, request: PlaceRequest, now: float) -> None:
        """Record the upstreams that a gateway could not reach, for choices for all gateways."""
        if request.unreached:
            self._unreached.prune()
        for instance_id in request.unreached:
            self._unreached.record_failure(instance_id, request.zone, now)

    def _apply_limits(
        self, candidates: Iterator[Candidate], service: ServiceRule, now: float
    ) -> Iterator[Candidate]:
        """Leave out upstreams whose limits allow no other request now, and mark some as unhealthy.

        An upstream may be cold without its being known here yet. If the service has a cold rate,
        one with as many recent grants as a cold upstream may have is therefore marked as unhealthy:
        it is chosen only when all others are unhealthy too.
        """
        cold_limit = self._limits.rule.make_window_limit(service.cold_rate)
        for candidate in candidates:
            instance_id = candidate.instance.id
            bounds = tuple(self._list_bounds(candidate, service, cold_limit))
            if bounds and not self._limits.may_grant(instance_id, bounds, now):
                continue
            if service.cold_rate and self._limits.is_at_limit(instance_id, (cold_limit,), now):
                yield replace(candidate, unhealthy=True)
            else:
                yield candidate

    def _list_bounds(
        self, candidate: Candidate, service: ServiceRule, cold_limit: WindowLimit
    ) -> Iterator[WindowLimit]:
        """Yield the limits of an upstream: if it is cold, and if it advertises a rate limit.

        :param candidate: the upstream.
        :param service: its service.
        :param cold_limit: the limit on a cold upstream of a service with a cold rate.
        """
        if candidate.cold and service.cold_rate:
            yield cold_limit
        rate_limit = self._fleet.get_rate_limit(candidate.instance.id)
        if rate_limit is not None:
            yield from make_window_limits(rate_limit)
