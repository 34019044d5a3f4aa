"""A gateway watches some coordinators: configuration, fleet, and the others' load.

It watches several at a time, since one may be cut off or gone without a word. Whatever comes is
merged so that it only goes forward: versions grow, instances that left stay away.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from daleroad.calls import Calls
from daleroad.codec import encode
from daleroad.defaults import (
    LEADER_AGAIN_SECONDS,
    WATCH_FAST_GATEWAYS,
    WATCH_FAST_GATHER_SECONDS,
    WATCH_FAST_SECONDS,
    WATCH_PAUSE_SECONDS,
    WATCH_SLACK_SECONDS,
    WATCH_SLOW_GATHER_SECONDS,
    WATCH_SLOW_SECONDS,
    WATCHES,
)
from daleroad.errors import Failure
from daleroad.evacuations import EvacuatedZones
from daleroad.events import Event, log_event
from daleroad.gateway import Gateway
from daleroad.guarding import log_suspicion
from daleroad.instances import InstanceState
from daleroad.notices import WatchAnswer, WatchRequest
from daleroad.patches import apply_patch
from daleroad.routing import RoutingConfig
from daleroad.siterecord import Document

Parse = Callable[[bytes], RoutingConfig | Failure]


@dataclass(frozen=True)
class _Followed:
    """What is known of the coordinator that a slot watches.

    :param epoch: its run.
    :param revision: the newest revision of the fleet that is known from that run.
    :param suspects: the same of the suspected requests.
    :param told: number of the last piece of this gateway's news that it has heard.
    :param upstreams: the same of what upstreams said of themselves.
    """

    epoch: str = ""
    revision: int = 0
    suspects: int = 0
    told: int = 0
    upstreams: int = 0


@dataclass(frozen=True)
class _Asked:
    """A question as it was sent.

    :param at: when, on the runtime's clock.
    :param told: number of the last piece of news in it.
    :param upstreams: the same of what upstreams said of themselves.
    """

    body: bytes
    at: float
    told: int
    upstreams: int


class Watcher:
    """Keeps a gateway's beliefs up to date.

    :param gateway: the gateway.
    :param links: connections.
    :param parse: reads a routing configuration from its document.
    """

    def __init__(self, gateway: Gateway, links: Calls, parse: Parse) -> None:
        self._gateway = gateway
        self._links = links
        self._parse = parse
        self._seeds = gateway.options.seeds
        self._known: tuple[str, ...] = ()
        self._leader = ""
        self._watched: dict[int, str] = {}
        self._failed_at: dict[str, float] = {}
        self._told = anyio.Event()
        self._document = Document(0, "")
        self._wants_whole = False

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other addresses to begin with.

        :param seeds: the addresses.
        """
        self._seeds = seeds

    def tell_now(self) -> None:
        """Let the coordinators know at once that this gateway's notice changed."""
        self._told.set()
        self._told = anyio.Event()

    def get_leader(self) -> str | None:
        """Return the leading coordinator, if it is watched and answers."""
        leader = self._leader
        heard = leader in self._watched.values() and leader not in self._failed_at
        return leader if heard else None

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            for slot in range(WATCHES):
                tasks.start_soon(self._watch_slot, slot)

    async def _watch_slot(self, slot: int) -> None:
        known = _Followed()
        while True:
            name = self._choose(slot)
            if name is None:
                await anyio.sleep(WATCH_SLOW_SECONDS)
                continue
            if self._watched.get(slot) != name:
                known = _Followed()
                self._watched[slot] = name
            asked, answer = await self._ask(name, known)
            if isinstance(answer, Failure):
                self._note_failed(name, answer)
                self._watched.pop(slot, None)
                await anyio.sleep(WATCH_PAUSE_SECONDS)
                continue
            if self._failed_at.pop(name, None) is not None:
                log_event(Event.COORDINATOR_REGAINED, name=name)
            known = _Followed(
                answer.epoch, answer.revision, answer.suspects, asked.told, asked.upstreams
            )
            self._apply(answer, name, asked.at + answer.held)

    def _choose(self, slot: int) -> str | None:
        """Return the coordinator that a slot should watch; the leader has a slot always."""
        taken = {name for other, name in self._watched.items() if other != slot}
        names = [n for n in dict.fromkeys([*self._known, *self._seeds]) if n not in taken]
        if not names:
            return None
        if self._leader in names and self._may_watch_leader():
            return self._leader
        current = self._watched.get(slot)
        if current in names and current not in self._failed_at:
            return current
        # Those that failed longest ago come first, and those that never failed before them. Of the
        # latter each gateway takes another, or a few coordinators would serve all gateways.
        sound = [name for name in names if name not in self._failed_at]
        if sound:
            return self._gateway.random.choice(sound)
        return min(names, key=lambda name: self._failed_at[name])

    def _may_watch_leader(self) -> bool:
        """Return whether the leader did not fail this gateway of late.

        Others say that it leads, so it lives; one that failed once is tried again. Without that a
        gateway whose first call came before the leader listened never watched it, nor got engines
        named by it: of 71 gateways that started at one moment 23, and so few of the others' loads
        were known that no engine was named for anybody.
        """
        failed_at = self._failed_at.get(self._leader, float("-inf"))
        return anyio.current_time() - failed_at >= LEADER_AGAIN_SECONDS

    def _is_fast(self, name: str) -> bool:
        if self._leader in self._watched.values():
            return name == self._leader
        return name == min(self._watched.values())

    async def _ask(self, name: str, known: _Followed) -> tuple[_Asked, WatchAnswer | Failure]:
        """Return a coordinator's answer, and the question that it answers."""
        gateway = self._gateway
        fast = self._is_fast(name)
        wait = find_fast_wait(gateway.chooser.gateways) if fast else WATCH_SLOW_SECONDS
        gather = WATCH_FAST_GATHER_SECONDS if fast else WATCH_SLOW_GATHER_SECONDS
        version = gateway.get_version()

        def make_request() -> _Asked:
            whole = self._wants_whole or version != self._document.version
            asked = WatchRequest(
                gateway.make_notice(),
                known.epoch,
                known.revision,
                version,
                gateway.loads.list_own(),
                wait,
                gather,
                fast,
                whole,
                gateway.news.list_after(known.told),
                known.suspects,
                gateway.guard.zones.version,
                gateway.list_upstream_news(known.upstreams),
            )
            now = anyio.current_time()
            return _Asked(encode(asked), now, gateway.news.newest, gateway.upstream_news.newest)

        request = make_request()
        found: list[WatchAnswer | Failure] = []

        async def call() -> None:
            url = f"http://{name}/site/watch"
            seconds = wait + WATCH_SLACK_SECONDS
            found.append(await self._links.call(url, request.body, WatchAnswer, seconds))
            tasks.cancel_scope.cancel()

        async def interrupt() -> None:
            # A changed notice is told by a new question; the old one is dropped.
            await told.wait()
            tasks.cancel_scope.cancel()

        told = self._told
        while not found:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                tasks.start_soon(interrupt)
            if not found:
                told = self._told
                request = make_request()
        return request, found[0]

    def _note_failed(self, name: str, failure: Failure) -> None:
        if name not in self._failed_at:
            log_event(Event.COORDINATOR_LOST, name=name, reason=failure.reason)
        self._failed_at[name] = anyio.current_time()

    def _apply(self, answer: WatchAnswer, name: str, made_at: float) -> None:
        """Take in an answer.

        :param made_at: when it was made at the earliest. It may have waited here for as long as
            this VM was suspended, and what it tells is as old.
        """
        gateway = self._gateway
        now = anyio.current_time()
        gateway.heard_at = max(gateway.heard_at, made_at)
        gateway.chooser.gateways = max(1, answer.gateways)
        if self._is_fast(name):
            # One that has just started has not heard of all gateways yet; the leader mostly has.
            gateway.others = answer.others
        if answer.zones is not None and gateway.replace_zones(answer.zones):
            _log_zones(answer.zones, name)
        self._known = answer.coordinators
        self._leader = answer.leader or self._leader
        self._failed_at = {n: at for n, at in self._failed_at.items() if n in self._known}
        text = self._find_text(answer)
        if text is not None:
            self._apply_document(Document(answer.version, text), name)
        changed = gateway.fleet.note_all(answer.sightings, made_at)
        for instance in changed:
            self._log_change(instance.id, instance.state, name)
        gateway.note_changes(changed)
        gateway.fleet.note_ages(answer.ages, made_at)
        self._apply_suspicions(answer, now)
        if answer.loads is not None:
            gateway.loads.replace_others(answer.loads)
        for instance in gateway.fleet.prune(now):
            log_event(Event.UPSTREAM_LEFT, id=instance.id, service=instance.service, why="age")
            gateway.dispatcher.forget(instance)

    def _apply_suspicions(self, answer: WatchAnswer, now: float) -> None:
        suspects = self._gateway.suspects
        for told in answer.suspicions:
            before = suspects.get_standing(told.fingerprint, now)
            suspects.merge(told, now)
            refuted = suspects.refute(told.fingerprint, now)
            if refuted is not None:
                self._gateway.tell(refuted)
            standing = suspects.get_standing(told.fingerprint, now)
            if standing is not before:
                log_suspicion(suspects.get(told.fingerprint, now), standing)
        suspects.prune(now)

    def _find_text(self, answer: WatchAnswer) -> str | None:
        """Return the text of a newer configuration, if the answer tells one."""
        if answer.version <= self._gateway.get_version():
            # Another coordinator was sooner.
            return None
        if answer.patch is None or answer.patch.base != self._document.version:
            return answer.document
        text = apply_patch(self._document.text, answer.patch)
        if isinstance(text, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=answer.version, reason=text.reason)
            self._wants_whole = True
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
        self._wants_whole = False
        if config.version > before:
            log_event(Event.CONFIG_IN_FORCE, version=config.version, before=before, by=name)

    def _log_change(self, instance_id: str, state: InstanceState, name: str) -> None:
        event = {
            InstanceState.READY: Event.UPSTREAM_JOINED,
            InstanceState.LEAVING: Event.UPSTREAM_DRAINING,
            InstanceState.GONE: Event.UPSTREAM_LEFT,
        }[state]
        log_event(event, id=instance_id, by=name, revision=self._gateway.fleet.revision)


def _log_zones(zones: EvacuatedZones, name: str) -> None:
    """Log which zones get nothing from now on, and how long after the order."""
    age = round(time.time() - zones.at, 3)
    log_event(
        Event.ZONES_IN_FORCE, version=zones.version, zones=list(zones.zones), age=age, by=name
    )


def find_fast_wait(gateways: int) -> float:
    """Return the interval at which a gateway exchanges loads, in seconds.

    :param gateways: how many there are.
    """
    shared = WATCH_FAST_SECONDS * gateways / WATCH_FAST_GATEWAYS
    return min(WATCH_SLOW_SECONDS, max(WATCH_FAST_SECONDS, shared))
