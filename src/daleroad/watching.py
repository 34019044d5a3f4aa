"""Long polling of coordinators by a gateway: configuration, fleet and other gateways' loads.

A gateway watches several coordinators at a time, since one may be partitioned or fail silently.
Answers are merged monotonically: an older configuration version never replaces a newer one, and an
instance that left stays gone.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from daleroad.calls import Calls
from daleroad.codec import encode
from daleroad.crashevidence import log_suspect
from daleroad.defaults import (
    LEADER_RETRY_SECONDS,
    MIN_LOAD_EXCHANGE_SECONDS,
    WATCH_FAST_GATEWAYS,
    WATCH_FAST_GATHER_SECONDS,
    WATCH_PAUSE_SECONDS,
    WATCH_SLACK_SECONDS,
    WATCH_SLOW_GATHER_SECONDS,
    WATCH_SLOW_SECONDS,
    WATCHED_COORDINATORS,
)
from daleroad.errors import Failure
from daleroad.evacuations import EvacuatedZones
from daleroad.events import Event, log_event
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState
from daleroad.notices import Pace, WatchAnswer, WatchRequest
from daleroad.paces import ReportedPaces
from daleroad.patches import apply_patch
from daleroad.routing import RoutingConfig, RoutingTable
from daleroad.sitestate import Document

Parse = Callable[[bytes], RoutingConfig | Failure]


@dataclass(frozen=True)
class _WatchProgress:
    """How far a gateway and the coordinator that a slot watches have synchronised.

    :param epoch: identifies the process run of the coordinator.
    :param revision: newest revision of the fleet that was received from that run.
    :param suspects: newest revision of the suspected requests that was received from that run.
    :param last_suspicion: sequence number of the last suspicion that the coordinator received.
    :param last_upstream_change: sequence number of the last upstream change that it received.
    :param paces: paces of engines that it received.
    """

    epoch: str = ""
    revision: int = 0
    suspects: int = 0
    last_suspicion: int = 0
    last_upstream_change: int = 0
    paces: ReportedPaces = field(default_factory=ReportedPaces)


@dataclass(frozen=True)
class _SentWatch:
    """An encoded watch request.

    :param sent_at: when it was made, on the runtime's clock.
    :param last_suspicion: sequence number of the last suspicion in it.
    :param last_upstream_change: sequence number of the last upstream change in it.
    :param paces: paces of engines in it.
    """

    body: bytes
    sent_at: float
    last_suspicion: int
    last_upstream_change: int
    paces: tuple[Pace, ...]


class Watcher:
    """Watches coordinators and applies their answers to a gateway.

    :param gateway: the gateway.
    :param calls: client for calls to coordinators.
    :param parse: parses a committed routing configuration from its document.
    """

    def __init__(self, gateway: Gateway, calls: Calls, parse: Parse) -> None:
        self._gateway = gateway
        self._calls = calls
        self._parse = parse
        self._seeds = gateway.options.seeds
        self._coordinators: tuple[str, ...] = ()
        self._leader = ""
        self._watched: dict[int, str] = {}
        self._failed_at: dict[str, float] = {}
        self._report_needed = anyio.Event()
        self._document = Document(0, "")
        self._needs_full_document = False

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of coordinators to contact first.

        :param seeds: the addresses.
        """
        self._seeds = seeds

    def send_report_now(self) -> None:
        """Send new watch requests at once, because this gateway's notice or its reports changed."""
        self._report_needed.set()
        self._report_needed = anyio.Event()

    def get_leader(self) -> str | None:
        """Return the leading coordinator, if it is watched and its last watch didn't fail."""
        leader = self._leader
        heard = leader in self._watched.values() and leader not in self._failed_at
        return leader if heard else None

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            for slot in range(WATCHED_COORDINATORS):
                tasks.start_soon(self._watch_slot, slot)

    async def _watch_slot(self, slot: int) -> None:
        progress = _WatchProgress()
        while True:
            name = self._choose_coordinator(slot)
            if name is None:
                await anyio.sleep(WATCH_SLOW_SECONDS)
                continue
            if self._watched.get(slot) != name:
                progress = _WatchProgress()
                self._watched[slot] = name
            sent, answer = await self._send_watch(name, progress)
            if isinstance(answer, Failure):
                self._record_failure(name, answer)
                self._watched.pop(slot, None)
                await anyio.sleep(WATCH_PAUSE_SECONDS)
                continue
            if self._failed_at.pop(name, None) is not None:
                log_event(Event.COORDINATOR_REGAINED, name=name)
            # A coordinator that restarted has only the paces of this request.
            reported = progress.paces if answer.epoch == progress.epoch else ReportedPaces()
            progress = _WatchProgress(
                answer.epoch,
                answer.revision,
                answer.suspects,
                sent.last_suspicion,
                sent.last_upstream_change,
                reported.add(sent.paces, sent.sent_at),
            )
            self._apply_answer(answer, name, sent.sent_at + answer.held)

    def _choose_coordinator(self, slot: int) -> str | None:
        """Return the coordinator that a slot should watch, or None if there is none.

        The leader is preferred, unless another slot watches it or it failed recently.
        """
        taken = {name for other, name in self._watched.items() if other != slot}
        names = [n for n in dict.fromkeys([*self._coordinators, *self._seeds]) if n not in taken]
        if not names:
            return None
        if self._leader in names and self._can_retry_leader():
            return self._leader
        current = self._watched.get(slot)
        if current in names and current not in self._failed_at:
            return current
        # Prefers coordinators without a failure, at random to spread the gateways over them, then
        # the one whose failure is the longest ago.
        without_failure = [name for name in names if name not in self._failed_at]
        if without_failure:
            return self._gateway.random.choice(without_failure)
        return min(names, key=lambda name: self._failed_at[name])

    def _can_retry_leader(self) -> bool:
        """Return whether no watch of the leader failed recently.

        Other coordinators report that it leads, so it is retried after a pause. Otherwise a gateway
        that called it before it listened would never watch it, and the leader places requests only
        when it knows the loads of nearly all gateways. Of 71 gateways that started at the same time
        this happened to 23, and no request was placed centrally.
        """
        failed_at = self._failed_at.get(self._leader, float("-inf"))
        return anyio.current_time() - failed_at >= LEADER_RETRY_SECONDS

    def _is_load_exchange_peer(self, name: str) -> bool:
        if self._leader in self._watched.values():
            return name == self._leader
        return name == min(self._watched.values())

    async def _send_watch(
        self, name: str, progress: _WatchProgress
    ) -> tuple[_SentWatch, WatchAnswer | Failure]:
        """Return a coordinator's answer, and the watch request that it answers."""
        gateway = self._gateway
        exchanges_loads = self._is_load_exchange_peer(name)
        wait = (
            find_load_exchange_seconds(gateway.selector.gateways)
            if exchanges_loads
            else WATCH_SLOW_SECONDS
        )
        gather = WATCH_FAST_GATHER_SECONDS if exchanges_loads else WATCH_SLOW_GATHER_SECONDS
        version = gateway.get_version()

        def make_request() -> _SentWatch:
            now = anyio.current_time()
            paces = progress.paces.list_due(gateway.list_paces(now), now)
            full_document = self._needs_full_document or version != self._document.version
            message = WatchRequest(
                gateway.make_notice(),
                progress.epoch,
                progress.revision,
                version,
                gateway.loads.list_own_loads(),
                wait,
                gather,
                exchanges_loads,
                full_document,
                gateway.suspicion_outbox.list_after(progress.last_suspicion),
                progress.suspects,
                gateway.guard.zones.version,
                gateway.list_upstream_notices(progress.last_upstream_change),
                paces,
            )
            return _SentWatch(
                encode(message),
                now,
                gateway.suspicion_outbox.newest,
                gateway.upstream_outbox.newest,
                paces,
            )

        request = make_request()
        answers: list[WatchAnswer | Failure] = []

        async def call() -> None:
            url = f"http://{name}/site/watch"
            seconds = wait + WATCH_SLACK_SECONDS
            answers.append(await self._calls.call(url, request.body, WatchAnswer, seconds))
            tasks.cancel_scope.cancel()

        async def interrupt() -> None:
            # Cancels the pending call when there is something to report; a new request follows.
            await report_needed.wait()
            tasks.cancel_scope.cancel()

        report_needed = self._report_needed
        while not answers:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                tasks.start_soon(interrupt)
            if not answers:
                report_needed = self._report_needed
                request = make_request()
        return request, answers[0]

    def _record_failure(self, name: str, failure: Failure) -> None:
        if name not in self._failed_at:
            log_event(Event.COORDINATOR_LOST, name=name, reason=failure.reason)
        self._failed_at[name] = anyio.current_time()

    def _apply_answer(self, answer: WatchAnswer, name: str, made_at: float) -> None:
        """Apply an answer to the gateway.

        :param made_at: earliest time at which the coordinator can have made the answer. Ages count
            from it, since the answer may have waited here, for example while this VM was suspended.
        """
        gateway = self._gateway
        now = anyio.current_time()
        gateway.last_heard_at = max(gateway.last_heard_at, made_at)
        gateway.selector.gateways = max(1, answer.gateways)
        if self._is_load_exchange_peer(name):
            # A coordinator that just started doesn't know all gateways yet; the leader mostly does.
            gateway.other_gateways = answer.others
        if answer.zones is not None and gateway.replace_zones(answer.zones):
            _log_zones(answer.zones, name)
        gateway.update_tunnel_peers(answer.tunnels)
        self._coordinators = answer.coordinators
        self._leader = answer.leader or self._leader
        self._failed_at = {n: at for n, at in self._failed_at.items() if n in self._coordinators}
        text = self._extract_document_text(answer)
        if text is not None:
            self._apply_document(Document(answer.version, text), name)
        changed = gateway.fleet.note_all(answer.sightings, made_at)
        for instance in changed:
            self._log_change(instance.id, instance.state, name)
        gateway.apply_instance_changes(changed)
        gateway.fleet.note_ages(answer.ages, made_at)
        gateway.guard.evidence.settle_undelimited(now)
        self._apply_suspicions(answer, now)
        if answer.loads is not None:
            gateway.loads.set_other_loads(answer.loads)
        for instance in gateway.fleet.prune(now):
            log_event(Event.UPSTREAM_LEFT, id=instance.id, service=instance.service, why="age")
            gateway.dispatcher.forget(instance)
        gateway.paces.set_told(answer.paces, now)
        gateway.prune_paces(now)

    def _apply_suspicions(self, answer: WatchAnswer, now: float) -> None:
        suspects = self._gateway.suspects
        for suspicion in answer.suspicions:
            before = suspects.get_standing(suspicion.fingerprint, now)
            suspects.merge(suspicion, now)
            refuted = suspects.apply_credits(suspicion.fingerprint, now)
            if refuted is not None:
                self._gateway.publish_suspicion(refuted)
            standing = suspects.get_standing(suspicion.fingerprint, now)
            if standing is not before:
                log_suspect(suspects.get(suspicion.fingerprint, now), standing)
        suspects.prune(now)

    def _extract_document_text(self, answer: WatchAnswer) -> str | None:
        """Return the text of a newer configuration, if the answer has one that can be used."""
        if answer.version <= self._gateway.get_version():
            # Already received, for example from another coordinator.
            return None
        if answer.patch is None or answer.patch.base != self._document.version:
            return answer.document
        text = apply_patch(self._document.text, answer.patch)
        if isinstance(text, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=answer.version, reason=text.reason)
            self._needs_full_document = True
            return None
        return text

    def _apply_document(self, document: Document, name: str) -> None:
        gateway = self._gateway
        config = self._parse(document.text.encode())
        if isinstance(config, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=document.version, reason=config.reason)
            return
        before = gateway.get_version()
        gateway.replace_config(config)
        self._document = document
        self._needs_full_document = False
        if gateway.table is not None and config.version > before:
            _log_config(gateway.table, before, name)

    def _log_change(self, instance_id: str, state: InstanceState, name: str) -> None:
        event = {
            InstanceState.READY: Event.UPSTREAM_JOINED,
            InstanceState.LEAVING: Event.UPSTREAM_DRAINING,
            InstanceState.GONE: Event.UPSTREAM_LEFT,
        }[state]
        log_event(event, id=instance_id, by=name, revision=self._gateway.fleet.revision)


def _log_config(table: RoutingTable, before: int, name: str) -> None:
    """Log the configuration that is now in force, and its routes that get no requests."""
    config = table.config
    log_event(
        Event.CONFIG_IN_FORCE,
        version=config.version,
        before=before,
        routes=len(config.routes),
        organisations=None if config.organisations is None else len(config.organisations),
        by=name,
    )
    for route in table.list_overridden_routes():
        log_event(
            Event.ROUTE_OVERRIDDEN,
            version=config.version,
            route=route.name,
            host=route.host,
            prefix=route.prefix,
        )


def _log_zones(zones: EvacuatedZones, name: str) -> None:
    """Log the evacuated zones that are now in force, and the time since the order."""
    age = round(time.time() - zones.at, 3)
    log_event(
        Event.ZONES_IN_FORCE, version=zones.version, zones=list(zones.zones), age=age, by=name
    )


def find_load_exchange_seconds(gateways: int) -> float:
    """Return the interval at which a gateway exchanges loads, in seconds.

    The interval grows with the number of gateways, to bound their total rate.

    :param gateways: number of gateways.
    """
    scaled = MIN_LOAD_EXCHANGE_SECONDS * gateways / WATCH_FAST_GATEWAYS
    return min(WATCH_SLOW_SECONDS, max(MIN_LOAD_EXCHANGE_SECONDS, scaled))
