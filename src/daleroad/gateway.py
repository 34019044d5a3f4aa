"""The central object of a gateway: what it believes, and the parts that act on it."""

from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from daleroad.backpressure import Backpressure
from daleroad.choosing import Chooser, GatewayOptions
from daleroad.defaults import LAST_ANSWER_SECONDS
from daleroad.dispatch import Dispatcher
from daleroad.evacuations import EvacuatedZones
from daleroad.events import Event, log_event
from daleroad.fleet import GONE_KEPT_SECONDS, Fleet
from daleroad.guarding import Guard, GuardedDispatcher
from daleroad.instances import Instance, InstanceState
from daleroad.limitedsends import list_notices
from daleroad.loads import GatewayLoads
from daleroad.notices import GatewayNotice, UpstreamNotice
from daleroad.outbox import Outbox
from daleroad.ratelimits import RateLimit
from daleroad.retries import WindowBudget
from daleroad.routing import RoutingConfig, RoutingTable, ServiceRule
from daleroad.suspects import Suspects, Suspicion

AskTrial = Callable[[str], Awaitable[bool]]
"""Asks another process whether a request that was held for long may be tried here."""


@dataclass
class Gateway:
    """One gateway.

    :param options: what it is told.
    :param dispatcher: carries requests to upstreams.
    :param random: source of choices between equals.
    :param others: how many others take clients.
    :param ends_at: when the process ends at the earliest, on the runtime's clock; known once it was
        told to stop.
    """

    options: GatewayOptions
    dispatcher: Dispatcher
    random: Random
    fleet: Fleet = field(init=False)
    table: RoutingTable | None = None
    others: int = 1
    heard_at: float = float("-inf")
    serving: bool = True
    ends_at: float = float("inf")
    open_requests: int = 0
    on_leaving: Callable[[Instance], None] = lambda instance: None
    on_news: Callable[[], None] = lambda: None
    ask_trial: AskTrial | None = None
    _waits: set[anyio.CancelScope] = field(default_factory=set)
    _leaving_since: dict[str, float] = field(default_factory=dict)
    _tasks: TaskGroup | None = None

    def __post_init__(self) -> None:
        options = self.options
        self.fleet = Fleet(options.heartbeat)
        self.suspects = Suspects()
        self.news: Outbox[Suspicion] = Outbox()
        self.upstream_news: Outbox[str] = Outbox()
        self.guard = Guard(self.suspects, self.fleet, self.tell)
        self.dispatcher = GuardedDispatcher(self.dispatcher, self.guard)
        self.budget = WindowBudget(options.retry_ratio, options.retry_slack, options.retry_window)
        self.configured = anyio.Event()
        self.loads = GatewayLoads()
        self.chooser = Chooser(
            options, self.fleet, self.guard, self.loads, self.random, self.get_service
        )
        self.guard.ask_grant = self.chooser.ask_grant

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

    def count_limited(self) -> int:
        """Return how many upstreams name a limit on their requests."""
        return self.fleet.count_limited()

    def count_resting(self) -> int:
        """Return how many upstreams want nothing from this gateway for now."""
        return self.guard.rests.count(anyio.current_time())

    def get_service(self, name: str) -> ServiceRule | None:
        """Return a service of the present configuration.

        :param name: its name.
        """
        return self.table.services.get(name) if self.table else None

    def get_leaving_since(self, instance: Instance) -> float:
        """Return when this gateway heard that an instance leaves, or now.

        :param instance: the instance.
        """
        return self._leaving_since.get(instance.id, anyio.current_time())

    async def may_try(self, fingerprint: str) -> bool:
        """Return whether a request that was held for long may be tried by this gateway now.

        :param fingerprint: the request.
        """
        return self.ask_trial is not None and await self.ask_trial(fingerprint)

    def note_backpressure(self, instance: Instance, told: Backpressure) -> None:
        """Take in what an upstream says of itself in an answer.

        :param instance: the upstream.
        :param told: what it says.
        """
        now = anyio.current_time()
        if told.cold is not None:
            self.fleet.note_cold(instance.id, told.cold, now)
        if self.fleet.note_limit(instance.id, RateLimit(told.limit), now):
            log_event(Event.UPSTREAM_LIMITED, id=instance.id, rate=told.limit, by="its answer")
            self._tell_of(instance)
        if self.guard.rests.note(instance.get_name(), told.rest, now):
            log_event(Event.UPSTREAM_RESTS, id=instance.id, seconds=told.rest)
        leaving = self.fleet.note_leaving(instance.id) if told.leaving else []
        if leaving:
            log_event(Event.UPSTREAM_SAYS_LEAVING, id=instance.id)
            self.note_changes(leaving)
            self._tell_of(instance)

    def _tell_of(self, instance: Instance) -> None:
        """Let the coordinators know at once what an upstream said of itself."""
        self.upstream_news.add(instance.id)
        self.on_news()

    def list_upstream_news(self, after: int) -> tuple[UpstreamNotice, ...]:
        """Return what upstreams said of themselves, where that is news.

        :param after: number of the last piece of such news that is known.
        """
        names = dict.fromkeys(self.upstream_news.list_after(after))
        return tuple(list_notices(self.fleet, names, anyio.current_time()))

    def take_repeat(self, service: str) -> bool:
        """Take one repeat of the budget that all gateways share; return whether it is allowed.

        :param service: where the request goes.
        """
        return self.budget.take(service, self.chooser.gateways, anyio.current_time())

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
        self.chooser.forget(instance.id)
        self.dispatcher.forget(instance)

    def _note_leaving(self, instance: Instance) -> None:
        now = anyio.current_time()
        old = [i for i, at in self._leaving_since.items() if now - at > GONE_KEPT_SECONDS]
        for instance_id in old:
            del self._leaving_since[instance_id]
        self._leaving_since.setdefault(instance.id, now)
        self.on_leaving(instance)
