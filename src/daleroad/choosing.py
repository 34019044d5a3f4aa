"""Selects upstreams for one gateway, by asking the central placer or from local state."""

from collections.abc import Awaitable, Callable, Collection, Container, Iterable, Iterator
from dataclasses import dataclass
from random import Random

import anyio

from daleroad.candidates import CandidateEvaluator
from daleroad.contention import NO_CONTENTION, Contention
from daleroad.defaults import MAX_BACKUP_LOAD, MIN_BACKUP_SECONDS
from daleroad.dispatch import Attempt, Prompt
from daleroad.fleet import Fleet
from daleroad.guardedstreams import ReadingRates, StreamGuard
from daleroad.guarding import Guard
from daleroad.health import Ejector
from daleroad.instances import Instance
from daleroad.limitedsends import GrantClient, list_limit_notices
from daleroad.limitprobes import RecentFailures, is_suitable
from daleroad.loads import GatewayLoads
from daleroad.notices import Demand, Load, PlaceAnswer, PlaceRequest, WithdrawRequest
from daleroad.paces import GetPace
from daleroad.paths import Reach
from daleroad.picking import Candidate, make_preference_order, pick_upstream, sample_candidates
from daleroad.promptwaits import PromptWaits
from daleroad.reserves import Reserve, apply_reserve
from daleroad.routing import ServiceRule
from daleroad.sendlimits import find_slot_share
from daleroad.unreached import UnreachableUpstreams

PlacementCall = Callable[[PlaceRequest], Awaitable[PlaceAnswer | None]]
"""Asks the placer, which runs in another process, for an upstream; returns nothing if there is no
answer."""

WithdrawalCall = Callable[[WithdrawRequest], Awaitable[None]]
"""Tells the placer that a request waits no longer."""


@dataclass(frozen=True)
class InsufficientMemory:
    """Returned instead of an engine when no engine has enough free memory for the prompt now."""


@dataclass(frozen=True)
class Refused:
    """Returned instead of an engine when the request can't start before its client gives up.

    :param retry_after: seconds after which there will be room.
    """

    retry_after: float


@dataclass(frozen=True)
class UpstreamQuery:
    """What a request needs of the upstream that it is sent to.

    :param service: the service that it is for.
    :param tokens: tokens of memory that it may use.
    :param excluded: instances not to use.
    :param prompt: its prompt, if it has one.
    :param may_wait: whether it waits rather than go to an engine that lacks memory.
    :param demand: what it demands, if requests to the service compete.
    :param ticket: identifies it while it waits for room, for which it needs a demand, too.
    :param is_waiting: whether the last answer was ``InsufficientMemory``, so that it waits in a
        queue now.
    :param repeatable: whether it may be sent elsewhere if it fails.
    """

    service: ServiceRule
    tokens: int = 0
    excluded: Collection[str] = ()
    prompt: Prompt | None = None
    may_wait: bool = False
    demand: Demand | None = None
    ticket: str = ""
    is_waiting: bool = False
    repeatable: bool = True

    def count_unread(self) -> int:
        """Return the tokens of its prompt."""
        return self.prompt.tokens if self.prompt is not None else 0


@dataclass(frozen=True)
class GatewayOptions:
    """Startup options of a gateway. Times are in seconds.

    :param address: IP:PORT for clients.
    :param seeds: addresses of the coordinators to contact first.
    :param heartbeat: interval of upstreams' heartbeats.
    :param retry_ratio: retries to a service per request, over all gateways.
    :param retry_slack: additional retries per window, over all gateways.
    :param retry_window: length of that window.
    :param coordinator_timeout: time without news from a coordinator after which the gateway refuses
        new work; nothing if it may go on with its last known state.
    """

    address: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    heartbeat: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    coordinator_timeout: float | None = None


class UpstreamSelector:
    """Selects upstreams for one gateway.

    :param options: the gateway's startup options.
    :param fleet: the upstreams that are alive.
    :param guard: checks that forbid sending to an upstream.
    :param loads: the load of each upstream.
    :param random: source of noise and samples.
    :param get_service: returns a service of the current configuration.
    :ivar gateways: number of live gateways, including this one.
    :ivar request_placement: asks the central placer; nothing where there is none.
    :ivar await_placement: waits at the central placer for room.
    :ivar send_withdrawal: tells the central placer that a request waits no longer.
    :ivar waits: the gateway's own waiting requests, while no central placer answers.
    :ivar get_pace: returns the pace of an engine, or nothing if it is unknown.
    :ivar get_reach: returns which upstreams the gateway reaches itself.
    :ivar get_contention: returns how the prompt routes of a service compete.
    """

    def __init__(
        self,
        options: GatewayOptions,
        fleet: Fleet,
        guard: Guard,
        loads: GatewayLoads,
        random: Random,
        get_service: Callable[[str], ServiceRule | None],
    ) -> None:
        self.gateways = 1
        self.request_placement: PlacementCall | None = None
        self.await_placement: PlacementCall | None = None
        self.send_withdrawal: WithdrawalCall | None = None
        self.waits = PromptWaits(self._place_alone)
        self._unsent_loads: dict[str, Load] = {}
        self.ejector = Ejector()
        self._limited_sends = GrantClient(options.address, fleet, guard)
        self._recent_failures = RecentFailures()
        self._unreached = UnreachableUpstreams(fleet)
        self._options = options
        self._fleet = fleet
        self._guard = guard
        self._loads = loads
        self._random = random
        self._get_service = get_service
        self.get_pace: GetPace = lambda instance_id: None
        self.get_reach: Callable[[], Reach] = lambda: Reach.FULL
        self.get_contention: Callable[[str], Contention] = lambda service: NO_CONTENTION
        self._reading_rates = ReadingRates()
        self._stream_guard = StreamGuard(
            fleet, loads.get_total, lambda name: self.get_pace(name), self._reading_rates
        )

    def pick(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Container[str],
        prompt: Prompt | None = None,
        demand: Demand | None = None,
    ) -> Instance | None:
        """Pick an upstream for a request from local state; return nothing if there is none.

        Prefilling a prompt takes longer than its load takes to reach the other gateways, so short
        generations use the gateway's preference order. Long ones don't: they should go where memory
        use is least, which changes slowly, since an engine that leaves can migrate only a limited
        amount. On a site with six engines, a preference order for all prompts cost 0.07 and 0.13 of
        worth on a calm day (2 seeds, paired). Requests to services without engines end before other
        gateways hear of them.

        :param service: the service.
        :param tokens: tokens of memory that the request may use.
        :param excluded: instances not to use.
        :param prompt: the request's prompt, if it has one.
        :param demand: what the request demands, if requests to the service compete.
        """
        unread = prompt.tokens if prompt is not None else 0
        candidates = self.list_candidates(service, tokens, excluded, demand, unread)
        is_short = service.engine is not None and prompt is not None and prompt.ends_soon()
        picked = self._pick_alone(candidates, is_short)
        if picked is not None:
            self._note_reading(service, picked.instance.id, unread)
        return picked.instance if picked else None

    def _pick_alone(self, candidates: Iterator[Candidate], is_short: bool) -> Candidate | None:
        """Return the candidate that a gateway picks without the central placer.

        :param candidates: the candidates.
        :param is_short: whether the request is a short generation.
        """
        zone = self._options.zone
        if is_short:
            spread = make_preference_order(self._options.address, self.gateways)
            return pick_upstream(candidates, zone, self._random, preference=spread)
        sample = sample_candidates(candidates, self.gateways, self._random)
        return pick_upstream(sample, zone, self._random)

    def _note_reading(self, service: ServiceRule, instance_id: str, unread: int) -> None:
        """Record the prompt of a request that an engine was picked for."""
        if self.get_contention(service.name).guards_streams():
            self._reading_rates.record(instance_id, unread, anyio.current_time())

    def pick_least_busy(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Instance | None:
        """Return the healthy upstream with the fewest requests, if there is a healthy one.

        Used for a request during which upstreams crashed: another crash loses the least work there.

        :param service: the service.
        :param tokens: tokens of memory that the request may use.
        :param excluded: instances not to use.
        """
        healthy = (c for c in self.list_candidates(service, tokens, excluded) if not c.unhealthy)
        picked = min(healthy, key=self._rank_by_work, default=None)
        return picked.instance if picked else None

    def _rank_by_work(self, candidate: Candidate) -> tuple[int, float]:
        return self._loads.get_total(candidate.instance.id).runs, candidate.load

    async def place(self, query: UpstreamQuery) -> Instance | InsufficientMemory | Refused | None:
        """Return the upstream that a request should go to, if there is one.

        Asks the central placer where one should place the request, and picks from local state if
        there is no answer or the answer is unusable.

        :param query: what the request needs.
        """
        asked_at = anyio.current_time()
        answer = request = None
        needs_placer = self._needs_placer(query.service, query.prompt)
        if needs_placer or query.demand is not None:
            request = self._make_place_request(query)
            call = self.await_placement if query.is_waiting else self.request_placement
            if needs_placer and call is not None:
                answer = await call(request)
        if answer is None and not query.is_waiting:
            preferred = self._pick_preferred(query)
            if preferred is not None:
                return preferred
        if answer is None and request is not None and request.ticket:
            answer = await self._wait_alone(request, query.is_waiting)
        if answer is None:
            return self._pick_for(query) or self._pick_within_share(query)
        if answer.refused:
            return Refused(answer.retry_after)
        if answer.crowded:
            return InsufficientMemory()
        if not answer.instance and self._has_brittle_upstreams(query.service.name):
            # They are full by the leader's count, which is newer than the one here.
            return None
        self._limited_sends.store_grant(answer, asked_at)
        return self._find_usable(answer.instance, query.excluded) or self._pick_for(query)

    def _pick_for(self, query: UpstreamQuery) -> Instance | None:
        """Pick an upstream from local state; return nothing if there is none."""
        return self.pick(query.service, query.tokens, query.excluded, query.prompt, query.demand)

    async def _wait_alone(self, request: PlaceRequest, is_waiting: bool) -> PlaceAnswer | None:
        """Return the place of a request among those of this gateway, if any upstream may get it."""
        try:
            answer = await self.waits.hold(request) if is_waiting else self.waits.submit(request)
        finally:
            # The caller adds the load before any other request is placed.
            self._unsent_loads.pop(request.ticket, None)
        has_answer = answer.instance or answer.crowded or answer.refused
        return answer if has_answer else None

    def _place_alone(
        self, request: PlaceRequest, reserve: Reserve | None, now: float
    ) -> PlaceAnswer:
        """Place a request from local state; its load counts from then on."""
        service = self._get_service(request.service)
        if service is None or service.engine is None or request.demand is None:
            return PlaceAnswer("")
        candidates = self.list_candidates(
            service, request.tokens, request.excluded, request.demand, request.unread
        )
        if reserve is not None:
            load = Load("", 1, request.tokens, request.unread)
            memory = service.engine.memory_tokens
            candidates = apply_reserve(candidates, reserve, load, memory, self._get_load)
        picked = self._pick_alone(candidates, not request.demand.long)
        if picked is None:
            return PlaceAnswer("")
        if picked.lacks_memory and request.patient:
            return PlaceAnswer(picked.instance.id, crowded=True)
        load = Load(picked.instance.id, 1, request.tokens, request.unread)
        self._unsent_loads[request.ticket] = load
        self._note_reading(service, picked.instance.id, request.unread)
        return PlaceAnswer(picked.instance.id)

    def _get_load(self, instance_id: str) -> Load:
        """Return the load of all gateways on an instance, with requests not yet sent there."""
        load = self._loads.get_total(instance_id)
        for unsent in self._unsent_loads.values():
            load = load.add(unsent) if unsent.instance == instance_id else load
        return load

    async def withdraw(self, service: str, ticket: str) -> None:
        """Let a request wait no longer.

        :param service: the service that it is for.
        :param ticket: its ticket.
        """
        request = WithdrawRequest(self._options.address, service, ticket)
        self.waits.withdraw(service, request.gateway, ticket)
        if self.send_withdrawal is not None:
            await self.send_withdrawal(request)

    def _needs_placer(self, service: ServiceRule, prompt: Prompt | None) -> bool:
        """Return whether the central placer should place a request."""
        if self._limited_sends.has_limited_upstreams(service.name):
            return True
        if self._has_brittle_upstreams(service.name):
            return True
        if service.engine is None or prompt is None:
            return False
        return self.gateways > 1 or bool(service.cold_rate)

    def _has_brittle_upstreams(self, service: str) -> bool:
        now = anyio.current_time()
        return any(self._fleet.is_brittle(i.id, now) for i in self._fleet.list_ready(service))

    def _make_place_request(self, query: UpstreamQuery, only: str = "") -> PlaceRequest:
        instances = self._fleet.list_ready(query.service.name)
        resting = (instance.id for instance in instances if self._guard.is_backing_off(instance))
        ready = [instance.id for instance in instances]
        options = self._options
        return PlaceRequest(
            options.address,
            options.zone,
            query.service.name,
            query.tokens,
            query.count_unread(),
            (*query.excluded, *resting),
            tuple(i for i in ready if self._is_failing(i) or self._is_risky(i, query.repeatable)),
            tuple(filter(self._is_unreachable, ready)) if self._is_reach_known() else (),
            query.may_wait,
            tuple(list_limit_notices(self._fleet, ready, anyio.current_time())),
            only,
            query.demand,
            query.ticket if query.demand is not None else "",
        )

    def _find_usable(self, instance_id: str, excluded: Container[str]) -> Instance | None:
        """Return the upstream that the placer named, if it may be used."""
        # It may have left during the call, or before it without the placer's knowledge.
        instance = self._fleet.get(instance_id)
        if instance is None or instance_id in excluded or self._guard.is_backing_off(instance):
            return None
        return instance if instance in self._fleet.list_ready(instance.service) else None

    async def request_grant(self, attempt: Attempt) -> bool:
        """Return whether a request may be sent to the upstream that was chosen for it.

        Asks the placer, or counts against the gateway's own share if there is no answer.

        :param attempt: the request, to an upstream that is cold or announced a rate limit.
        """
        instance = attempt.instance
        service = self._get_service(instance.service)
        if service is None:
            return False
        answer = None
        if self.request_placement is not None:
            answer = await self.request_placement(
                self._make_place_request(UpstreamQuery(service), only=instance.id)
            )
        if answer is None:
            return self._limited_sends.try_acquire_fallback(instance, self.gateways)
        return answer.granted and answer.instance == instance.id

    def _pick_preferred(self, query: UpstreamQuery) -> Instance | None:
        """Return a rate-limited upstream that should get a request although others have room.

        This gateway has a share of it left, and the request is not worse off there.
        """
        service, unread = query.service, query.count_unread()
        if not self._limited_sends.has_limited_upstreams(service.name):
            return None
        limited = self.list_rate_limited(
            service, query.tokens, query.excluded, query.demand, unread
        )
        picked = self._find_within_share(
            candidate
            for candidate in limited
            if is_suitable(candidate)
            and not self._is_risky(candidate.instance.id, query.repeatable)
        )
        if picked is not None:
            self._note_reading(service, picked.id, unread)
        return picked

    def _pick_within_share(self, query: UpstreamQuery) -> Instance | None:
        """Return a rate-limited upstream of which this gateway has a share left, if any."""
        return self._find_within_share(
            self.list_rate_limited(query.service, query.tokens, query.excluded)
        )

    def _find_within_share(self, limited: Iterable[Candidate]) -> Instance | None:
        instances = (candidate.instance for candidate in limited)
        sends = self._limited_sends
        return next(
            (i for i in instances if sends.try_store_fallback_grant(i, self.gateways)), None
        )

    def pick_rate_limited(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Instance | None:
        """Return an upstream that announced a rate limit, if any; sending there needs a grant.

        :param service: the service.
        :param tokens: tokens of memory that the request may use.
        :param excluded: instances not to use.
        """
        candidates = self.list_rate_limited(service, tokens, excluded)
        picked = pick_upstream(candidates, self._options.zone, self._random)
        return picked.instance if picked else None

    def forget(self, instance_id: str) -> None:
        """Remove the state kept for an upstream that left.

        :param instance_id: the upstream.
        """
        self.ejector.forget(instance_id)
        self._limited_sends.forget(instance_id)
        self._recent_failures.forget(instance_id)
        self._reading_rates.forget(instance_id)

    def pick_backup(
        self, instance: Instance, tokens: int, prompt: Prompt | None
    ) -> Instance | None:
        """Return an engine for a backup copy of a generation, or nothing without spare memory.

        Only long generations of services that enable backups get one.

        :param instance: the engine that runs the generation.
        :param tokens: tokens of memory that the generation may use.
        :param prompt: its prompt, which bounds its duration.
        """
        service = self._get_service(instance.service)
        if service is None or service.engine is None or not service.engine.backups:
            return None
        if prompt is None or prompt.estimate_seconds() < MIN_BACKUP_SECONDS:
            return None
        candidates = self.list_candidates(service, tokens, {instance.id})
        spare = (c for c in candidates if c.load <= MAX_BACKUP_LOAD and not c.unhealthy)
        picked = pick_upstream(spare, instance.zone, self._random)
        return picked.instance if picked else None

    def _is_failing(self, instance_id: str) -> bool:
        now = anyio.current_time()
        return not self.ejector.is_open(instance_id, now) or self._is_unreachable(instance_id)

    def _is_risky(self, instance_id: str, repeatable: bool) -> bool:
        """Return whether a request could fail for good at a limited upstream that failed lately."""
        if repeatable or self._fleet.get_rate_limit(instance_id) is None:
            return False
        return self._recent_failures.has_failed(instance_id, anyio.current_time())

    def _is_unreachable(self, instance_id: str) -> bool:
        now = anyio.current_time()
        return self._unreached.is_unreachable(instance_id, self._options.zone, now)

    def _is_reach_known(self) -> bool:
        """Return whether a failed connection tells something of the upstream.

        Not so while this gateway reaches none: other gateways must not avoid upstreams for that.
        """
        return self.get_reach() is not Reach.NONE

    def count_unreachable(self) -> int:
        """Return how many upstreams could not be connected to since they were last heard."""
        return sum(map(self._is_unreachable, self._unreached.list_failed()))

    def record_connect_failure(self, instance: Instance) -> None:
        """Record a failed connection attempt to an upstream.

        :param instance: the upstream.
        """
        self._unreached.prune()
        self._unreached.record_failure(instance.id, self._options.zone, anyio.current_time())
        self.record_result(instance, False)

    def list_candidates(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Container[str],
        demand: Demand | None = None,
        unread: int = 0,
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that may get a request without a grant.

        :param service: the service.
        :param tokens: tokens of memory that the request may use.
        :param excluded: instances not to use.
        :param demand: what the request demands, if requests to the service compete.
        :param unread: prompt tokens to read there; 0 for a stream that moves with its memory.
        """
        for candidate in self._list_all(service, tokens, excluded, demand, unread):
            if not self._guard.needs_grant(candidate.instance):
                yield candidate

    def list_rate_limited(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Container[str],
        demand: Demand | None = None,
        unread: int = 0,
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that announced a rate limit.

        Cold upstreams are left out where the service limits what cold upstreams get.

        :param service: the service.
        :param tokens: tokens of memory that the request may use.
        :param excluded: instances not to use.
        :param demand: what the request demands, if requests to the service compete.
        :param unread: prompt tokens to read there; 0 for a stream that moves with its memory.
        """
        for candidate in self._list_all(service, tokens, excluded, demand, unread):
            if candidate.rate_limited and not self._guard.is_cold_limited(candidate.instance):
                yield candidate

    def _list_all(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Container[str],
        demand: Demand | None = None,
        unread: int = 0,
    ) -> Iterator[Candidate]:
        """Yield the upstreams that accept requests from this gateway, limited ones included."""
        now = anyio.current_time()
        penalty = self._stream_guard.make_penalty(
            service, self.get_contention(service.name), demand, unread, now
        )
        judge = CandidateEvaluator(
            self._fleet,
            self._options.heartbeat,
            self._get_load,
            self._is_failing,
            self._guard.zones.zones,
            penalty,
        )
        candidates = judge.list_candidates(service, tokens, excluded, now)
        return (
            c
            for c in candidates
            if not self._guard.is_backing_off(c.instance) and self._may_add_run(c.instance, service)
        )

    def _may_add_run(self, instance: Instance, service: ServiceRule) -> bool:
        """Return whether this gateway may choose a brittle upstream without the leader.

        Requests to plain services end before other gateways hear of them, so each keeps to its
        share of the slots.
        """
        now = anyio.current_time()
        if service.engine is not None or not self._fleet.is_brittle(instance.id, now):
            return True
        address, gateways = self._options.address, self.gateways
        share = find_slot_share(address, instance.id, instance.slots, gateways)
        return self._loads.get_own(instance.id).runs < share

    def record_result(self, instance: Instance, ok: bool) -> None:
        """Record the result of a request for the ejection of failing upstreams.

        :param instance: the upstream.
        :param ok: whether the request succeeded.
        """
        upstreams = len(self._fleet.list_ready(instance.service))
        self.ejector.note(instance.id, ok, upstreams, anyio.current_time())
        if self._fleet.get_rate_limit(instance.id) is not None:
            self._recent_failures.note(instance.id, ok, anyio.current_time())
