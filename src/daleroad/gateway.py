"""The shared state of one gateway: routing table, known upstreams and retry budget.

Request handling is in :mod:`daleroad.forwarding`, stream delivery in :mod:`daleroad.runs`.
"""

from collections.abc import Awaitable, Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from daleroad.backpressure import Backpressure
from daleroad.choosing import GatewayOptions, UpstreamSelector
from daleroad.contention import NO_CONTENTION, Contention, find_contentions
from daleroad.crashevidence import CrashEvidence
from daleroad.defaults import LAST_ANSWER_SECONDS, LATE_HEARTBEATS
from daleroad.dispatch import Dispatcher
from daleroad.durations import RecentDurations
from daleroad.evacuations import EvacuatedZones
from daleroad.events import Event, log_event
from daleroad.fleet import BRITTLE_KEPT_SECONDS, Fleet
from daleroad.guarding import Guard, GuardedDispatcher
from daleroad.instances import Instance, InstanceState
from daleroad.leavenotices import LeaveNotices
from daleroad.limitedsends import list_upstream_notices
from daleroad.loads import GatewayLoads
from daleroad.notices import GatewayNotice, Pace, UpstreamNotice
from daleroad.outbox import Outbox
from daleroad.paces import GatewayPaces
from daleroad.paths import Reach
from daleroad.ratelimits import RateLimit
from daleroad.retries import WindowBudget
from daleroad.routing import RoutingConfig, RoutingTable, ServiceRule
from daleroad.suspects import Suspects, Trials
from daleroad.suspicions import Suspicion
from daleroad.tunnelpeers import TunnelPeers

TrialCallback = Callable[[str], Awaitable[bool | None]]
"""Asks the leader whether this gateway may try what was held; None if no leader answers."""


@dataclass
class Gateway:
    """The state of one gateway, and updates to it.

    :param options: start-up options.
    :param dispatcher: sends requests to upstreams.
    :param random: random source for choosing between equal upstreams.
    :param other_gateways: number of other gateways that accept clients.
    :param tunnel_address: IP:PORT of its tunnels for other gateways; empty if it offers none.
    :param get_reach: returns which upstreams this gateway reaches itself.
    :param exits_at: earliest time at which the process exits, on the runtime's clock; infinite
        until a drain begins.
    """

    options: GatewayOptions
    dispatcher: Dispatcher
    random: Random
    fleet: Fleet = field(init=False)
    table: RoutingTable | None = None
    other_gateways: int = 1
    last_heard_at: float = float("-inf")
    serving: bool = True
    exits_at: float = float("inf")
    open_requests: int = 0
    on_leaving: Callable[[Instance], None] = lambda instance: None
    on_update: Callable[[], None] = lambda: None
    on_peer_withdrawn: Callable[[str], None] = lambda peer: None
    tunnel_address: str = ""
    get_reach: Callable[[], Reach] = lambda: Reach.FULL
    tunnel_peers: TunnelPeers = field(default_factory=TunnelPeers)
    leave_notices: LeaveNotices = field(default_factory=LeaveNotices)
    request_trial: TrialCallback | None = None
    _attempt_scopes: set[anyio.CancelScope] = field(default_factory=set)
    _tasks: TaskGroup | None = None
    _contentions: Mapping[str, Contention] = field(default_factory=dict)

    def __post_init__(self) -> None:
        options = self.options
        self.fleet = Fleet(options.heartbeat)
        self.suspects = Suspects()
        self._own_trials = Trials()
        self.suspicion_outbox: Outbox[Suspicion] = Outbox()
        self.upstream_outbox: Outbox[str] = Outbox()
        evidence = CrashEvidence(self.suspects, self.fleet, self.publish_suspicion)
        self.guard = Guard(evidence, self.fleet, self.leave_notices)
        self.dispatcher = GuardedDispatcher(self.dispatcher, self.guard)
        self.budget = WindowBudget(options.retry_ratio, options.retry_slack, options.retry_window)
        self.configured = anyio.Event()
        self.loads = GatewayLoads()
        self.durations = RecentDurations()
        self.selector = UpstreamSelector(
            options, self.fleet, self.guard, self.loads, self.random, self.get_service
        )
        self.selector.get_contention = self.get_contention
        self.guard.request_grant_callback = self.selector.request_grant
        self.selector.get_reach = lambda: self.get_reach()
        self.paces = GatewayPaces()
        self.selector.get_pace = self.paces.get

    def publish_suspicion(self, suspicion: Suspicion) -> None:
        """Queue an update about a suspected request for the coordinators and trigger sending.

        :param suspicion: the update.
        """
        self.suspicion_outbox.add(suspicion)
        self.on_update()

    def start(self, tasks: TaskGroup) -> None:
        """Set the task group in which :meth:`spawn` starts background tasks.

        :param tasks: the task group.
        """
        self._tasks = tasks

    def spawn(self, func: Callable[..., Coroutine[Any, Any, Any]], *args: Any) -> None:
        """Start a background task; does nothing before :meth:`start`.

        :param func: the coroutine function.
        :param args: its arguments.
        """
        if self._tasks is not None:
            self._tasks.start_soon(func, *args)

    def make_notice(self) -> GatewayNotice:
        """Return this gateway's announcement to the coordinators."""
        options = self.options
        return GatewayNotice(
            options.address,
            options.zone,
            options.region,
            self.is_ready(),
            tunnel=self.tunnel_address,
            reach=self.get_reach(),
        )

    def begin_drain(self, ends_at: float) -> None:
        """Stop accepting new clients, and bound the attempts in progress by the process exit.

        Attempts still waiting LAST_ANSWER_SECONDS before the exit are cancelled, so that their
        clients can be told that the request may have run.

        :param ends_at: earliest time at which the process exits, on the runtime's clock.
        """
        self.serving = False
        self.exits_at = ends_at
        for scope in self._attempt_scopes:
            scope.deadline = min(scope.deadline, ends_at - LAST_ANSWER_SECONDS)

    def end_drain(self) -> None:
        """Set the exit time to now, possibly earlier than announced; new requests are refused."""
        self.exits_at = anyio.current_time()

    @contextmanager
    def limit_attempt(self, time: float) -> Iterator[anyio.CancelScope]:
        """Yield a cancel scope with a deadline, which a drain can move earlier.

        :param time: the deadline, on the runtime's clock.
        """
        with anyio.CancelScope(deadline=time) as scope:
            self._attempt_scopes.add(scope)
            try:
                yield scope
            finally:
                self._attempt_scopes.discard(scope)

    def is_ready(self) -> bool:
        """Return whether the gateway accepts new clients: not draining, and configured."""
        return self.serving and self.table is not None

    def is_outdated(self) -> bool:
        """Return whether no coordinator was heard for longer than ``coordinator_timeout``."""
        limit = self.options.coordinator_timeout
        return limit is not None and self.get_heard_age() > limit

    def replace_config(self, config: RoutingConfig) -> None:
        """Apply a routing configuration if it is newer than the current one.

        :param config: the configuration.
        """
        if self.table is None or config.version > self.table.config.version:
            self.table = RoutingTable(config)
            self._contentions = find_contentions(config)
            self.durations.retain({route.name for route in config.routes})
            self.guard.cold_limited_services = frozenset(
                s.name for s in config.services if s.cold_rate
            )
            self.configured.set()

    def replace_zones(self, zones: EvacuatedZones) -> bool:
        """Apply a state of the evacuated zones if it is newer; return whether it was applied.

        :param zones: the state.
        """
        if zones.version <= self.guard.zones.version:
            return False
        self.guard.zones = zones
        return True

    def is_evacuated(self, service: ServiceRule) -> bool:
        """Return whether a service has ready upstreams, all of them in evacuated zones.

        :param service: the service.
        """
        ready = self.fleet.list_ready(service.name)
        return bool(ready) and all(self.guard.is_evacuated(instance) for instance in ready)

    def get_version(self) -> int:
        """Return the version of the current configuration, 0 for none."""
        return self.table.config.version if self.table else 0

    def get_heard_age(self) -> float:
        """Return the seconds since the last answer from a coordinator."""
        return anyio.current_time() - self.last_heard_at

    def count_held(self) -> int:
        """Return how many requests and parts are held because upstreams crashed on them."""
        return self.suspects.count_held(anyio.current_time())

    def count_held_parts(self) -> int:
        """Return how many parts of prompts are held because upstreams crashed on them."""
        return self.suspects.count_held_parts(anyio.current_time())

    def count_limited(self) -> int:
        """Return how many upstreams have announced a request rate limit."""
        return self.fleet.count_limited()

    def count_guarded(self) -> int:
        """Return how many of this gateway's running streams are guarded."""
        return sum(load.guarded for load in self.loads.list_own_loads())

    def count_resting(self) -> int:
        """Return how many upstreams have asked this gateway to pause requests."""
        return self.guard.backoffs.count_active(anyio.current_time())

    def get_service(self, name: str) -> ServiceRule | None:
        """Return a service of the current configuration.

        :param name: its name.
        """
        return self.table.services.get(name) if self.table else None

    def get_leave_noticed_at(self, instance: Instance) -> float:
        """Return when this gateway learnt that an instance is leaving; now if it has not.

        :param instance: the instance.
        """
        noticed_at = self.leave_notices.get_noticed_at(instance.id)
        return anyio.current_time() if noticed_at is None else noticed_at

    def get_leave_age(self, instance: Instance) -> float | None:
        """Return the seconds since this gateway learnt that an instance is leaving, if it has.

        :param instance: the instance.
        """
        age = self.leave_notices.get_age(instance.id, anyio.current_time())
        return None if age is None else round(age, 3)

    def get_contention(self, service: str) -> Contention:
        """Return how the prompt routes of a service compete in the current configuration.

        :param service: the service's name.
        """
        return self._contentions.get(service, NO_CONTENTION)

    def learns_paces(self, service: str) -> bool:
        """Return whether the pace of a service's engines matters, as it has guarded streams.

        :param service: the service's name.
        """
        return self.get_contention(service).guards_streams()

    def list_paces(self, now: float) -> list[Pace]:
        """Return the paces that this gateway has learnt of engines, for the coordinators.

        :param now: the current time.
        """
        return [p for p in self.paces.own.list_paces(now) if self._is_pace_wanted(p.instance)]

    def prune_paces(self, now: float) -> None:
        """Drop the paces that are old, and those of engines that left or no longer matter.

        :param now: the current time.
        """
        self.paces.prune(now, self._is_pace_wanted)

    def _is_pace_wanted(self, instance_id: str) -> bool:
        instance = self.fleet.get_live(instance_id)
        return instance is not None and self.learns_paces(instance.service)

    async def acquire_trial(self, fingerprint: str) -> bool:
        """Return whether this gateway may try a request or part whose hold is over.

        The leader grants it to one gateway. Without a leader each gateway tries by itself what had
        an answer before: a sound part would stay held for as long.

        :param fingerprint: the request or part.
        """
        granted = None
        if self.request_trial is not None:
            granted = await self.request_trial(fingerprint)
        if granted is None and self.suspects.has_succeeded(fingerprint):
            return self._own_trials.claim(fingerprint, anyio.current_time())
        return bool(granted)

    def apply_backpressure(self, instance: Instance, signals: Backpressure) -> None:
        """Apply the backpressure signals that an upstream sent with a response.

        :param instance: the upstream.
        :param signals: the signals.
        """
        now = anyio.current_time()
        if signals.cold_seconds is not None:
            self.fleet.note_cold(instance.id, signals.cold_seconds, now)
        if self.fleet.note_limit(instance.id, RateLimit(signals.max_requests_per_second), now):
            log_event(
                Event.UPSTREAM_LIMITED,
                id=instance.id,
                rate=signals.max_requests_per_second,
                by="its answer",
            )
            self._queue_upstream_notice(instance)
        brittle = signals.max_rejections_per_second is not None
        self.fleet.note_brittle(instance.id, brittle, now)
        if brittle:
            self.loads.report_runs_until = now + BRITTLE_KEPT_SECONDS
        backoff_seconds = signals.find_backoff_seconds(self.selector.gateways)
        if self.guard.backoffs.record(instance.get_name(), backoff_seconds, now):
            log_event(
                Event.UPSTREAM_RESTS,
                id=instance.id,
                seconds=round(backoff_seconds, 3),
                bears=signals.max_rejections_per_second,
            )
        leaving = self.fleet.note_leaving(instance.id) if signals.leaving else []
        if leaving:
            log_event(Event.UPSTREAM_SAYS_LEAVING, id=instance.id)
            self.apply_instance_changes(leaving)
            self._queue_upstream_notice(instance)

    def _queue_upstream_notice(self, instance: Instance) -> None:
        """Queue an upstream's changed state for the coordinators and trigger sending."""
        self.upstream_outbox.add(instance.id)
        self.on_update()

    def list_upstream_notices(self, after: int) -> tuple[UpstreamNotice, ...]:
        """Return notices of the upstreams whose announced state changed after a sequence number.

        :param after: sequence number of the last change that the receiver has.
        """
        names = dict.fromkeys(self.upstream_outbox.list_after(after))
        return tuple(list_upstream_notices(self.fleet, names, anyio.current_time()))

    def take_retry(self, service: str) -> bool:
        """Take one retry from the budget that all gateways share; return whether it was granted.

        :param service: the service that the request is for.
        """
        return self.budget.try_acquire(service, self.selector.gateways, anyio.current_time())

    def update_tunnel_peers(self, tunnels: tuple[str, ...]) -> None:
        """Use other gateways for tunnels from now on.

        :param tunnels: IP:PORT of their tunnels, the preferred ones first.
        """
        for peer in self.tunnel_peers.replace(tunnels):
            self.on_peer_withdrawn(peer)

    def is_heard(self, address: str) -> bool:
        """Return whether a live upstream at an address was not late with its heartbeat.

        The time in which this gateway heard no coordinator doesn't count.

        :param address: its IP:PORT.
        """
        now = anyio.current_time()
        limit = LATE_HEARTBEATS * self.options.heartbeat + self.get_heard_age()
        return any(self.fleet.get_age(i.id, now) <= limit for i in self.fleet.list_at(address))

    def find_tunnel_refusal(self, address: str) -> str:
        """Return why this gateway opens no tunnel to an address, or an empty string.

        :param address: its IP:PORT.
        """
        if not self.serving:
            return "the gateway is shutting down"
        return "" if self.fleet.list_at(address) else "no upstream is known at this address"

    def mark_replaced(self, instance: Instance) -> None:
        """Mark an upstream as gone because another instance answered at its address.

        :param instance: the upstream.
        """
        if self.fleet.is_replaced(instance):
            # The fleet already lists the newer instance at this address, which must not be marked.
            return
        if self.fleet.leave(instance.get_name(), anyio.current_time(), instance.born):
            log_event(Event.UPSTREAM_LEFT, id=instance.id, service=instance.service, why="replaced")
            # Streams are not moved: the new instance at the address has none of their state.
            self._drop_upstream(instance)

    def apply_instance_changes(self, changed: list[Instance]) -> None:
        """Handle changes of instance state.

        :param changed: the instances with their new state.
        """
        for instance in changed:
            match instance.state:
                case InstanceState.READY:
                    pass
                case InstanceState.LEAVING:
                    self._handle_leaving(instance)
                case InstanceState.GONE:
                    # A restarted instance has no state of the streams that ran before.
                    if not self.fleet.is_replaced(instance):
                        self._handle_leaving(instance)
                    self._drop_upstream(instance)

    def _drop_upstream(self, instance: Instance) -> None:
        self.selector.forget(instance.id)
        self.dispatcher.forget(instance)
        self.paces.forget(instance.id)

    def _handle_leaving(self, instance: Instance) -> None:
        self.leave_notices.record(instance.id, anyio.current_time())
        self.on_leaving(instance)
