"""How one gateway chooses upstreams: what it asks for, and what it decides by itself."""

from collections.abc import Awaitable, Callable, Collection, Container, Iterator
from dataclasses import dataclass
from random import Random

import anyio

from daleroad.candidates import Judge
from daleroad.defaults import BACKUP_ROOM, BACKUP_WORTH_SECONDS
from daleroad.dispatch import Attempt, Prompt
from daleroad.fleet import Fleet
from daleroad.guarding import Guard
from daleroad.health import Ejector
from daleroad.instances import Instance
from daleroad.limitedsends import LimitedSends, list_limits
from daleroad.loads import GatewayLoads
from daleroad.notices import PlaceAnswer, PlaceRequest
from daleroad.picking import Candidate, draw_sample, make_spread, pick_upstream
from daleroad.routing import ServiceRule
from daleroad.unreached import Unreached

AskPlace = Callable[[PlaceRequest], Awaitable[PlaceAnswer | None]]
"""Asks another process for an engine; returns what it names, or nothing where it names none."""


@dataclass(frozen=True)
class Crowded:
    """Stands for an engine where there are some, but a prompt fits into none for now."""


@dataclass(frozen=True)
class GatewayOptions:
    """What a gateway is told at its start. Times are in seconds.

    :param address: IP:PORT for clients.
    :param seeds: addresses of coordinators to begin with.
    :param heartbeat: interval of upstreams' heartbeats.
    :param retry_ratio: repeats to a service for each request, over all gateways.
    :param retry_slack: repeats beyond that in a window, over all gateways.
    :param retry_window: length of that window.
    :param outdated_after: a gateway that heard no coordinator for so long refuses new work, or
        nothing where it may serve by what it has.
    """

    address: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    heartbeat: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    outdated_after: float | None = None


class Chooser:
    """Chooses upstreams for one gateway.

    :param options: what the gateway is told.
    :param fleet: the upstreams that are alive.
    :param guard: what must not be sent.
    :param loads: the work at each upstream.
    :param random: source of choices between equals.
    :param get_service: returns a service of the present configuration.
    :ivar gateways: how many gateways are alive, with this one.
    :ivar ask_place: asks the process that chooses for all gateways.
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
        self.ask_place: AskPlace | None = None
        self.ejector = Ejector()
        self._limited = LimitedSends(options.address, fleet, guard)
        self._unreached = Unreached(fleet)
        self._options = options
        self._fleet = fleet
        self._guard = guard
        self._loads = loads
        self._random = random
        self._get_service = get_service

    def pick(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Container[str],
        prompt: Prompt | None = None,
    ) -> Instance | None:
        """Return the upstream that a request should go to, if there is one.

        Prompts are read for longer than news of them takes to reach the other gateways, so short
        generations follow the gateway's own order. Long ones go where memory is least, which
        changes slowly: engines that leave can move only so much. On a site with six engines an
        order for all cost 0.07 and 0.13 of worth on a calm day (2 seeds, paired). Requests of plain
        services are over before the news comes.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        :param prompt: the request's prompt, if it has one.
        """
        candidates = self.list_candidates(service, tokens, excluded)
        zone = self._options.zone
        if service.engine is not None and prompt is not None and prompt.ends_soon():
            spread = make_spread(self._options.address, self.gateways)
            found = pick_upstream(candidates, zone, self._random, spread=spread)
        else:
            sample = draw_sample(candidates, self.gateways, self._random)
            found = pick_upstream(sample, zone, self._random)
        return found.instance if found else None

    def pick_quiet(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Instance | None:
        """Return the upstream that is lost with the least work, if there is one that answers.

        For a request under which upstreams have ended: where it does so again, little goes with it.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        """
        sound = (c for c in self.list_candidates(service, tokens, excluded) if not c.doubtful)
        found = min(sound, key=self._rank_quiet, default=None)
        return found.instance if found else None

    def _rank_quiet(self, candidate: Candidate) -> tuple[int, float]:
        return self._loads.get_total(candidate.instance.id).runs, candidate.load

    async def place(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Collection[str],
        prompt: Prompt | None = None,
        patient: bool = False,
    ) -> Instance | Crowded | None:
        """Return the upstream that a request should go to, if there is one.

        For a prompt the process that chooses for all gateways is asked first.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        :param prompt: the request's prompt, if it has one.
        :param patient: whether it would rather wait a little than go where it does not fit.
        """
        asked_at = anyio.current_time()
        answer = None
        if self.ask_place is not None and self._is_placed_for_all(service, prompt):
            question = self._make_question(service, tokens, prompt, excluded, patient)
            answer = await self.ask_place(question)
        if answer is None:
            by_itself = self.pick(service, tokens, excluded, prompt)
            return by_itself or self._pick_by_share(service, tokens, excluded)
        if answer.crowded:
            return Crowded()
        self._limited.keep_grant(answer, asked_at)
        named = self._find_named(answer.instance, excluded)
        return named or self.pick(service, tokens, excluded, prompt)

    def _is_placed_for_all(self, service: ServiceRule, prompt: Prompt | None) -> bool:
        """Return whether one process should choose for all gateways."""
        if self._limited.are_among(service.name):
            return True
        if service.engine is None or prompt is None:
            return False
        return self.gateways > 1 or bool(service.cold_rate)

    def _make_question(
        self,
        service: ServiceRule,
        tokens: int,
        prompt: Prompt | None,
        excluded: Collection[str] = (),
        patient: bool = False,
        only: str = "",
    ) -> PlaceRequest:
        instances = self._fleet.list_ready(service.name)
        resting = (instance.id for instance in instances if self._guard.is_resting(instance))
        ready = [instance.id for instance in instances]
        options = self._options
        return PlaceRequest(
            options.address,
            options.zone,
            service.name,
            tokens,
            prompt.tokens if prompt is not None else 0,
            (*excluded, *resting),
            tuple(filter(self._is_failing, ready)),
            tuple(filter(self._is_out_of_reach, ready)),
            patient,
            tuple(list_limits(self._fleet, ready, anyio.current_time())),
            only,
        )

    def _find_named(self, named: str, excluded: Container[str]) -> Instance | None:
        """Return the upstream that was named for a request, if it may be used."""
        # It may have left meanwhile, or the other side may not have heard that it did.
        known = self._fleet.get(named)
        if known is None or named in excluded or self._guard.is_resting(known):
            return None
        return known if known in self._fleet.list_ready(known.service) else None

    async def ask_grant(self, attempt: Attempt) -> bool:
        """Return whether a request may go to the upstream that was chosen for it.

        :param attempt: the request, for an upstream that bears only so much.
        """
        instance = attempt.instance
        service = self._get_service(instance.service)
        if service is None:
            return False
        answer = None
        if self.ask_place is not None:
            answer = await self.ask_place(self._make_question(service, 0, None, only=instance.id))
        if answer is None:
            return self._limited.take_share(instance, self.gateways)
        return answer.granted and answer.instance == instance.id

    def _pick_by_share(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Instance | None:
        """Return an upstream with a limit of which this gateway has a share left, if any."""
        limited = (c.instance for c in self.list_limited(service, tokens, excluded))
        return next((i for i in limited if self._limited.grant_share(i, self.gateways)), None)

    def pick_limited(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Instance | None:
        """Return an upstream that names a limit; it gets the request if one is granted then.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        """
        candidates = self.list_limited(service, tokens, excluded)
        found = pick_upstream(candidates, self._options.zone, self._random)
        return found.instance if found else None

    def forget(self, instance_id: str) -> None:
        """Forget an upstream that left.

        :param instance_id: the upstream.
        """
        self.ejector.forget(instance_id)
        self._limited.forget(instance_id)

    def pick_backup(
        self, instance: Instance, tokens: int, prompt: Prompt | None
    ) -> Instance | None:
        """Return an engine with room for a copy of a run, or nothing if there is none to spare.

        :param instance: where the run goes.
        :param tokens: memory that it may take.
        :param prompt: what tells how long it may go on.
        """
        service = self._get_service(instance.service)
        if service is None or service.engine is None or not service.engine.backups:
            return None
        if prompt is None or prompt.guess_seconds() < BACKUP_WORTH_SECONDS:
            return None
        candidates = self.list_candidates(service, tokens, {instance.id})
        room = (c for c in candidates if c.load <= BACKUP_ROOM and not c.doubtful)
        found = pick_upstream(room, instance.zone, self._random)
        return found.instance if found else None

    def _is_failing(self, instance_id: str) -> bool:
        now = anyio.current_time()
        return not self.ejector.is_open(instance_id, now) or self._is_out_of_reach(instance_id)

    def _is_out_of_reach(self, instance_id: str) -> bool:
        now = anyio.current_time()
        return self._unreached.is_out_of_reach(instance_id, self._options.zone, now)

    def note_unreached(self, instance: Instance) -> None:
        """Take in that no connection to an upstream could be made.

        :param instance: the upstream.
        """
        self._unreached.prune()
        self._unreached.note(instance.id, self._options.zone, anyio.current_time())
        self.note_result(instance, False)

    def list_candidates(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that may get a request without a grant.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        """
        for candidate in self._judge(service, tokens, excluded):
            if not self._guard.is_limited(candidate.instance):
                yield candidate

    def list_limited(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that name a limit and aren't cold.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        """
        for candidate in self._judge(service, tokens, excluded):
            if candidate.limited and not self._guard.is_fragile(candidate.instance):
                yield candidate

    def _judge(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Iterator[Candidate]:
        judge = Judge(
            self._fleet,
            self._options.heartbeat,
            self._loads.get_total,
            self._is_failing,
            self._guard.zones.zones,
        )
        candidates = judge.list_candidates(service, tokens, excluded, anyio.current_time())
        return (c for c in candidates if not self._guard.is_resting(c.instance))

    def note_result(self, instance: Instance, ok: bool) -> None:
        """Take a request's result as evidence for or against an upstream.

        :param instance: the upstream.
        :param ok: whether the request went well.
        """
        among = len(self._fleet.list_ready(instance.service))
        self.ejector.note(instance.id, ok, among, anyio.current_time())
