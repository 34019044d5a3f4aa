"""The central object of a gateway: what it believes, and the parts that act on it."""

from collections.abc import Awaitable, Callable, Collection, Container, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from daleroad.candidates import Judge
from daleroad.coldlimits import GRANT_SECONDS
from daleroad.defaults import (
    BACKUP_ROOM,
    BACKUP_WORTH_SECONDS,
    LAST_ANSWER_SECONDS,
)
from daleroad.dispatch import Dispatcher, Prompt
from daleroad.evacuations import EvacuatedZones
from daleroad.events import Event, log_event
from daleroad.fleet import GONE_KEPT_SECONDS, Fleet, Instance, InstanceState
from daleroad.guarding import Guard, GuardedDispatcher
from daleroad.health import Ejector
from daleroad.notices import GatewayNotice, Load, PlaceAnswer, PlaceRequest
from daleroad.outbox import Outbox
from daleroad.picking import (
    Candidate,
    draw_sample,
    make_spread,
    pick_upstream,
)
from daleroad.retries import WindowBudget
from daleroad.routing import RoutingConfig, RoutingTable, ServiceRule
from daleroad.suspects import Suspects, Suspicion
from daleroad.unreached import Unreached

AskPlace = Callable[[PlaceRequest], Awaitable[PlaceAnswer | None]]
"""Asks another process for an engine; returns what it names, or nothing where it names none."""


AskTrial = Callable[[str], Awaitable[bool]]
"""Asks another process whether a request that was held for long may be tried here."""


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


@dataclass
class Gateway:
    """One gateway.

    :param options: what it is told.
    :param dispatcher: carries requests to upstreams.
    :param random: source of choices between equals.
    :param gateways: how many gateways are alive, with this one.
    :param others: how many others take clients.
    :param ends_at: when the process ends at the earliest, on the runtime's clock; known once it was
        told to stop.
    """

    options: GatewayOptions
    dispatcher: Dispatcher
    random: Random
    fleet: Fleet = field(init=False)
    table: RoutingTable | None = None
    ejector: Ejector = field(default_factory=Ejector)
    gateways: int = 1
    others: int = 1
    heard_at: float = float("-inf")
    serving: bool = True
    ends_at: float = float("inf")
    open_requests: int = 0
    on_leaving: Callable[[Instance], None] = lambda instance: None
    on_news: Callable[[], None] = lambda: None
    ask_place: AskPlace | None = None
    ask_trial: AskTrial | None = None
    _waits: set[anyio.CancelScope] = field(default_factory=set)
    _own: dict[str, Load] = field(default_factory=dict)
    _leaving_since: dict[str, float] = field(default_factory=dict)
    _others: dict[str, Load] = field(default_factory=dict)
    _tasks: TaskGroup | None = None

    def __post_init__(self) -> None:
        options = self.options
        self.fleet = Fleet(options.heartbeat)
        self.unreached = Unreached(self.fleet)
        self.suspects = Suspects()
        self.news: Outbox[Suspicion] = Outbox()
        self.guard = Guard(self.suspects, self.fleet, self.tell)
        self.dispatcher = GuardedDispatcher(self.dispatcher, self.guard)
        self.budget = WindowBudget(options.retry_ratio, options.retry_slack, options.retry_window)
        self.configured = anyio.Event()
        self.loads_changed = anyio.Event()

    def tell(self, suspicion: Suspicion) -> None:
        """Let the coordinators know at once what this gateway knows of a suspected request.

        :param suspicion: what it knows.
        """
        self.news.add(suspicion)
        self.on_news()

    def start(self, tasks: TaskGroup) -> None:
        """Let parts run in the background.

        :param tasks: runs them.
        """
        self._tasks = tasks

    def spawn(self, func: Callable[..., Coroutine[Any, Any, Any]], *args: Any) -> None:
        """Run something in the background for as long as the gateway runs.

        :param func: the coroutine function.
        :param args: its arguments.
        """
        if self._tasks is not None:
            self._tasks.start_soon(func, *args)

    def make_notice(self) -> GatewayNotice:
        """Return this gateway as others should know it."""
        options = self.options
        return GatewayNotice(options.address, options.zone, options.region, self.is_ready())

    def begin_drain(self, ends_at: float) -> None:
        """Send new clients elsewhere; nothing waits for an upstream until the process ends.

        What waits until shortly before gets an answer, which says that it may have run.

        :param ends_at: when the process ends at the earliest, on the runtime's clock.
        """
        self.serving = False
        self.ends_at = ends_at
        for scope in self._waits:
            scope.deadline = min(scope.deadline, ends_at - LAST_ANSWER_SECONDS)

    def end_drain(self) -> None:
        """Take nothing more: the process ends now, maybe before its time."""
        self.ends_at = anyio.current_time()

    @contextmanager
    def give_up_at(self, time: float) -> Iterator[anyio.CancelScope]:
        """Give up what is done within at a time, or before the process ends; yield the scope.

        :param time: the time, on the runtime's clock.
        """
        with anyio.CancelScope(deadline=time) as scope:
            self._waits.add(scope)
            try:
                yield scope
            finally:
                self._waits.discard(scope)

    def is_ready(self) -> bool:
        """Return whether new clients should come here."""
        return self.serving and self.table is not None

    def is_outdated(self) -> bool:
        """Return whether the configuration may be too old to serve by."""
        limit = self.options.outdated_after
        return limit is not None and self.get_heard_age() > limit

    def replace_config(self, config: RoutingConfig) -> None:
        """Serve by a newer configuration; an older one changes nothing.

        :param config: the configuration.
        """
        if self.table is None or config.version > self.table.config.version:
            self.table = RoutingTable(config)
            self.guard.limited = frozenset(s.name for s in config.services if s.cold_rate)
            self.configured.set()

    def replace_zones(self, zones: EvacuatedZones) -> bool:
        """Go by a newer state of the evacuated zones; return whether it is newer.

        :param zones: the state.
        """
        if zones.version <= self.guard.zones.version:
            return False
        self.guard.zones = zones
        return True

    def is_evacuated(self, service: ServiceRule) -> bool:
        """Return whether a service has upstreams, but all of them in evacuated zones.

        :param service: the service.
        """
        ready = self.fleet.list_ready(service.name)
        return bool(ready) and all(self.guard.is_evacuated(instance) for instance in ready)

    def get_version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.table.config.version if self.table else 0

    def get_heard_age(self) -> float:
        """Return the seconds since a coordinator was heard."""
        return anyio.current_time() - self.heard_at

    def count_held(self) -> int:
        """Return how many requests reach no upstream, since upstreams ended while they ran them."""
        return self.suspects.count_held(anyio.current_time())

    # Load.

    def add_load(self, instance: Instance, runs: int, tokens: int, unread: int = 0) -> None:
        """Note work that begins at an instance, or with negative figures that it ended.

        :param instance: the instance.
        :param runs: requests; 0 for the backup of a run elsewhere.
        :param tokens: tokens of memory that it may take.
        :param unread: prompt tokens that it has yet to read before it answers.
        """
        fresh = Load(instance.id, runs, tokens, unread)
        known = self._own.get(instance.id)
        fresh = known.add(fresh) if known else fresh
        if fresh.runs or fresh.tokens or fresh.unread:
            self._own[instance.id] = fresh
        else:
            self._own.pop(instance.id, None)
        if tokens or unread:
            self.loads_changed.set()

    def list_loads(self) -> tuple[Load, ...]:
        """Return this gateway's own work at each instance."""
        return tuple(self._own.values())

    def replace_other_loads(self, loads: tuple[Load, ...]) -> None:
        """Take in the work of the other gateways.

        :param loads: their work at each instance.
        """
        self._others = {load.instance: load for load in loads}

    def get_load(self, instance_id: str) -> Load:
        """Return the work of all gateways at an instance.

        :param instance_id: the instance.
        """
        nothing = Load(instance_id)
        own = self._own.get(instance_id, nothing)
        return own.add(self._others.get(instance_id, nothing))

    # Candidates.

    def get_service(self, name: str) -> ServiceRule | None:
        """Return a service of the present configuration.

        :param name: its name.
        """
        return self.table.services.get(name) if self.table else None

    def pick_backup(
        self, instance: Instance, tokens: int, prompt: Prompt | None
    ) -> Instance | None:
        """Return an engine with room for a copy of a run, or nothing if there is none to spare.

        :param instance: where the run goes.
        :param tokens: memory that it may take.
        :param prompt: what tells how long it may go on.
        """
        service = self.get_service(instance.service)
        if service is None or service.engine is None or not service.engine.backups:
            return None
        if prompt is None or prompt.guess_seconds() < BACKUP_WORTH_SECONDS:
            return None
        candidates = self.list_candidates(service, tokens, {instance.id})
        room = (c for c in candidates if c.load <= BACKUP_ROOM and not c.doubtful)
        found = pick_upstream(room, instance.zone, self.random)
        return found.instance if found else None

    def get_leaving_since(self, instance: Instance) -> float:
        """Return when this gateway heard that an instance leaves, or now.

        :param instance: the instance.
        """
        return self._leaving_since.get(instance.id, anyio.current_time())

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
        zone = self.options.zone
        if service.engine is not None and prompt is not None and prompt.ends_soon():
            spread = make_spread(self.options.address, self.gateways)
            found = pick_upstream(candidates, zone, self.random, spread=spread)
        else:
            sample = draw_sample(candidates, self.gateways, self.random)
            found = pick_upstream(sample, zone, self.random)
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
        found = min(sound, key=lambda c: (self.get_load(c.instance.id).runs, c.load), default=None)
        return found.instance if found else None

    async def may_try(self, fingerprint: str) -> bool:
        """Return whether a request that was held for long may be tried by this gateway now.

        :param fingerprint: the request.
        """
        return self.ask_trial is not None and await self.ask_trial(fingerprint)

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
        if (service.engine is not None and prompt is not None) or self._has_limited(service):
            named = await self._place_remotely(service, tokens, excluded, prompt, patient)
            if named is not None:
                return named
        return self.pick(service, tokens, excluded, prompt)

    async def _place_remotely(
        self,
        service: ServiceRule,
        tokens: int,
        excluded: Collection[str],
        prompt: Prompt | None,
        patient: bool,
    ) -> Instance | Crowded | None:
        """Return the upstream that is named for a request, if one is that may be used."""
        if self.ask_place is None or (self.gateways <= 1 and not service.cold_rate):
            return None
        ready = self.fleet.list_ready(service.name)
        failing = tuple(instance.id for instance in ready if self._is_failing(instance.id))
        options = self.options
        asked = PlaceRequest(
            options.address,
            options.zone,
            service.name,
            tokens,
            prompt.tokens if prompt is not None else 0,
            tuple(excluded),
            failing,
            tuple(instance.id for instance in ready if self._is_out_of_reach(instance.id)),
            patient,
        )
        asked_at = anyio.current_time()
        answer = await self.ask_place(asked)
        if answer is None:
            return None
        if answer.crowded:
            return Crowded()
        named = answer.instance
        if answer.granted:
            self.guard.grants.add(named, asked_at + GRANT_SECONDS, anyio.current_time())
        # It may have left meanwhile, or the other side may not have heard that it did.
        ready = self.fleet.list_ready(service.name)
        return next((i for i in ready if i.id == named and i.id not in excluded), None)

    def _has_limited(self, service: ServiceRule) -> bool:
        """Return whether a service has upstreams that get only what is granted."""
        if not service.cold_rate:
            return False
        return any(map(self.guard.is_limited, self.fleet.list_ready(service.name)))

    def note_cold(self, instance: Instance, seconds: float) -> None:
        """Take in that an upstream said it is cold.

        :param instance: the upstream.
        :param seconds: how much longer it is so.
        """
        self.fleet.note_cold(instance.id, seconds, anyio.current_time())

    def _is_failing(self, instance_id: str) -> bool:
        now = anyio.current_time()
        return not self.ejector.is_open(instance_id, now) or self._is_out_of_reach(instance_id)

    def _is_out_of_reach(self, instance_id: str) -> bool:
        return self.unreached.is_out_of_reach(instance_id, self.options.zone, anyio.current_time())

    def note_unreached(self, instance: Instance) -> None:
        """Take in that no connection to an upstream could be made.

        :param instance: the upstream.
        """
        self.unreached.prune()
        self.unreached.note(instance.id, self.options.zone, anyio.current_time())
        self.note_result(instance, False)

    def list_candidates(
        self, service: ServiceRule, tokens: int, excluded: Container[str]
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that may get a request.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        """
        now = anyio.current_time()
        judge = Judge(
            self.fleet,
            self.options.heartbeat,
            self.get_load,
            self._is_failing,
            self.guard.zones.zones,
        )
        for candidate in judge.list_candidates(service, tokens, excluded, now):
            # What a cold one may get, the process that chooses for all gateways grants.
            if not (candidate.cold and service.cold_rate):
                yield candidate

    def take_repeat(self, service: str) -> bool:
        """Take one repeat of the budget that all gateways share; return whether it is allowed.

        :param service: where the request goes.
        """
        return self.budget.take(service, self.gateways, anyio.current_time())

    def note_result(self, instance: Instance, ok: bool) -> None:
        """Take a request's result as evidence for or against an upstream.

        :param instance: the upstream.
        :param ok: whether the request went well.
        """
        among = len(self.fleet.list_ready(instance.service))
        self.ejector.note(instance.id, ok, among, anyio.current_time())

    def note_replaced(self, instance: Instance) -> None:
        """Take in that another instance answered at an upstream's address.

        :param instance: the upstream, which has ended.
        """
        if self.fleet.is_replaced(instance):
            # Its next start is known by now, and that one has not ended.
            return
        if self.fleet.leave(instance.get_name(), anyio.current_time(), instance.born):
            log_event(Event.UPSTREAM_LEFT, id=instance.id, service=instance.service, why="replaced")
            # Its streams are not moved: who answers at its address knows nothing of them.
            self._forget(instance)

    def note_changes(self, changed: list[Instance]) -> None:
        """Act on instances that are not as they were.

        :param changed: the instances as they are now.
        """
        for instance in changed:
            match instance.state:
                case InstanceState.READY:
                    pass
                case InstanceState.LEAVING:
                    self._note_leaving(instance)
                case InstanceState.GONE:
                    # Who answers at the address of one that started again knows nothing of before.
                    if not self.fleet.is_replaced(instance):
                        self._note_leaving(instance)
                    self._forget(instance)

    def _forget(self, instance: Instance) -> None:
        self.ejector.forget(instance.id)
        self.dispatcher.forget(instance)

    def _note_leaving(self, instance: Instance) -> None:
        now = anyio.current_time()
        old = [i for i, at in self._leaving_since.items() if now - at > GONE_KEPT_SECONDS]
        for instance_id in old:
            del self._leaving_since[instance_id]
        self._leaving_since.setdefault(instance.id, now)
        self.on_leaving(instance)
