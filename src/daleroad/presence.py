"""Who is alive: upstreams by their heartbeats, gateways by their watches.

This is no replicated state. What one coordinator hears it tells the others several times a
second; news that an upstream leaves goes out at once, and counts only when another has it.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

import anyio

from daleroad.calls import Calls, make_url
from daleroad.codec import encode
from daleroad.defaults import (
    COORDINATOR_CALL_SECONDS,
    GATEWAY_DOUBTFUL_SECONDS,
    GATEWAY_SILENT_SECONDS,
    LEAVE_TOLD_SECONDS,
    LOADS_KNOWN_SHARE,
    LOOKUP_CHANGING_SECONDS,
    LOOKUP_KEPT_SECONDS,
    LOOP_STALL_SECONDS,
    SHARE_SECONDS,
)
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import (
    GatewayNotice,
    Load,
    ShareAnswer,
    ShareRequest,
    UpstreamNotice,
    WatchRequest,
)
from daleroad.peers import Peers
from daleroad.sharedsuspects import SharedSuspects

SNAPSHOT_SECONDS = 0.05
"""How long a snapshot of all gateways is used again; each of their questions needs one."""


@dataclass
class _Gateway:
    notice: GatewayNotice
    heard_at: float
    revision: int


@dataclass(frozen=True)
class _Told:
    """What another coordinator has acknowledged.

    :param epoch: its run.
    :param fleet: revision of the upstreams here.
    :param gateways: revision of the gateways here.
    :param suspects: revision of the suspected requests here.
    """

    epoch: str = ""
    fleet: int = -1
    gateways: int = -1
    suspects: int = -1


@dataclass(frozen=True)
class _Waited:
    """A time for which this process stood still.

    :param seconds: how long.
    :param until: until when what waited meanwhile is still being read.
    """

    seconds: float
    until: float


@dataclass(frozen=True)
class _Snapshot:
    """The gateways at one moment.

    :param alive: how many were heard of late, whether they take clients or not.
    :param serving: those that were heard of late and take clients.
    """

    at: float
    alive: int
    serving: tuple[GatewayNotice, ...]


class Presence:
    """What one coordinator knows of upstreams and gateways.

    :param name: the coordinator's name.
    :param links: connections to the others.
    :param peers: the others.
    :param list_others: returns the names of those that may be alive.
    :param wake: called when there is news for those who watch.
    """

    def __init__(
        self,
        name: str,
        links: Calls,
        peers: Peers,
        list_others: Callable[[], list[str]],
        wake: Callable[[], None],
    ) -> None:
        self.fleet = Fleet()
        self.shared = SharedSuspects(self.fleet, wake)
        self.suspects = self.shared.suspects
        self._name = name
        self._links = links
        self._peers = peers
        self._list_others = list_others
        self._wake = wake
        self._gateways: dict[str, _Gateway] = {}
        self.loads = LoadTotals(GATEWAY_SILENT_SECONDS)
        self._snapshot: _Snapshot | None = None
        self._revision = 0
        self._shared_at = float("-inf")
        self._told: dict[str, _Told] = {}
        self._turned_at = float("inf")
        self._waited: _Waited | None = None

    def take_share(self, asked: ShareRequest) -> bool:
        """Take in what another coordinator heard; return whether all whom it names are known here.

        :param asked: what it tells.
        """
        now = anyio.current_time()
        self._peers.note_alive(asked.sender, now)
        with self.waking():
            changed = self.fleet.note_all(asked.sightings, now)
        for instance in changed:
            self._log_change(instance)
        complete = self.fleet.note_ages(asked.ages, now)
        for notice in asked.gateways:
            self._note_gateway(notice, now)
        for address, age in asked.gateway_ages.items():
            known = self._gateways.get(address)
            if known is None:
                complete = False
            else:
                known.heard_at = max(known.heard_at, now - age)
        self.shared.note(asked.suspicions, now)
        return complete

    @contextmanager
    def waking(self) -> Iterator[None]:
        """Wake those who watch if what is done within is news of the fleet."""
        before = self.fleet.revision
        yield
        if self.fleet.revision != before:
            self._wake()

    def note_watch(self, asked: WatchRequest) -> None:
        """Note what a gateway says of itself.

        :param asked: its question.
        """
        now = anyio.current_time()
        self._note_gateway(asked.gateway, now)
        self.loads.note(asked.gateway.address, asked.loads, now)
        self.shared.note(asked.suspicions, now)
        with self.waking():
            for notice in asked.upstreams:
                self._note_upstream(notice, asked.gateway.address, now)

    def _note_upstream(self, notice: UpstreamNotice, by: str, now: float) -> None:
        """Take in what a gateway heard an upstream say of itself."""
        name, limit = notice.instance, notice.limit
        if limit is not None and self.fleet.note_limit(name, limit, now):
            log_event(Event.UPSTREAM_LIMITED, id=name, rate=limit.rate, by=by)
        for instance in self.fleet.note_leaving(name) if notice.leaving else ():
            self._log_change(instance)

    def knows_loads(self, now: float) -> bool:
        """Return whether nearly all gateways have said here of late what work they have.

        :param now: the time.
        """
        return self.loads.count_gateways() >= LOADS_KNOWN_SHARE * self.count_gateways(now)

    def prune(self, now: float) -> None:
        """Drop upstreams not heard for long; called each turn.

        :param now: the time.
        """
        wait = now - self._turned_at
        if wait > LOOP_STALL_SECONDS:
            self._waited = _Waited(wait, now + LOOP_STALL_SECONDS)
        self._turned_at = now
        self.loads.prune(now)
        self.shared.turn(now)
        for instance in self.fleet.prune(now):
            log_event(Event.UPSTREAM_LEFT, id=instance.id, service=instance.service, why="age")
            self._wake()

    def _find_wait(self, now: float) -> float:
        """Return how long a heartbeat that is read now may have waited for this process.

        One that stood still reads what came meanwhile in one go; an upstream that ended since
        would seem alive for as many heartbeats as are borne.
        """
        wait = now - self._turned_at
        if wait > LOOP_STALL_SECONDS:
            return wait
        if self._waited is not None and now < self._waited.until:
            return self._waited.seconds
        return 0.0

    def count_gateways(self, now: float) -> int:
        """Return how many gateways were heard of late, whether they take clients or not.

        :param now: the time.
        """
        return self._take_snapshot(now).alive

    def find_lookup_life(self) -> float:
        """Return how long a client should keep the addresses of gateways, in seconds."""
        snapshot = self._take_snapshot(anyio.current_time())
        drains = snapshot.alive > len(snapshot.serving)
        return LOOKUP_CHANGING_SECONDS if drains else LOOKUP_KEPT_SECONDS

    def count_others(self, asker: str) -> int:
        """Return how many other gateways take clients.

        :param asker: a gateway's address.
        """
        serving = self._take_snapshot(anyio.current_time()).serving
        return sum(notice.address != asker for notice in serving)

    async def hear(self, sighting: Sighting) -> Failure | None:
        """Take an upstream's heartbeat; return nothing once it counts.

        :param sighting: what it says.
        """
        now = anyio.current_time()
        sighting = replace(sighting, age=self._find_wait(now))
        with self.waking():
            changed = self.fleet.note(sighting, now)
        for instance in changed:
            self._log_change(instance)
        if sighting.instance in changed and sighting.instance.state is not InstanceState.READY:
            return await self._tell_leaving(sighting.instance)
        return None

    async def part(self, name: str, born: int = 0) -> Failure | None:
        """Note that an upstream is gone; return nothing once it counts.

        :param name: what it calls itself.
        :param born: which start of it; 0 for the last one that is known.
        """
        for instance in self.fleet.leave(name, anyio.current_time(), born):
            self._log_change(instance)
            self._wake()
        known = self.fleet.find(name, born)
        return await self._tell_leaving(known) if known is not None else None

    async def _tell_leaving(self, instance: Instance) -> Failure | None:
        """Tell the other coordinators at once that an upstream leaves.

        This one may die before the next turn, and who watches it would never hear.
        """
        now = anyio.current_time()
        others = [peer for peer in self._list_others() if self._peers.is_alive(peer, now)]
        if not others:
            return None
        told: list[str] = []
        done = anyio.Event()

        async def tell(peer: str) -> None:
            sightings = (Sighting(instance, 0.0),)
            request = encode(ShareRequest(self._name, (), sightings))
            url = f"{make_url(peer)}/site/share"
            answer = await self._links.call(url, request, ShareAnswer, LEAVE_TOLD_SECONDS)
            if isinstance(answer, ShareAnswer):
                told.append(peer)
            if 2 * len(told) >= len(others):
                done.set()

        with anyio.move_on_after(LEAVE_TOLD_SECONDS):
            async with anyio.create_task_group() as tasks:
                for peer in others:
                    tasks.start_soon(tell, peer)
                await done.wait()
        if not told:
            reason = f"none of {len(others)} other coordinators heard it"
            log_event(Event.LEAVE_NOT_SPREAD, id=instance.id, others=len(others))
            return Failure(FailureKind.NO_MAJORITY, reason)
        return None

    def _log_change(self, instance: Instance) -> None:
        event = {
            InstanceState.READY: Event.UPSTREAM_JOINED,
            InstanceState.LEAVING: Event.UPSTREAM_DRAINING,
            InstanceState.GONE: Event.UPSTREAM_LEFT,
        }[instance.state]
        log_event(
            event,
            id=instance.id,
            service=instance.service,
            address=instance.address,
            sequence=instance.sequence,
            replaced=self.fleet.is_replaced(instance),
            revision=self.fleet.revision,
        )

    def list_gateways(self, zone: str) -> list[str]:
        """Return the addresses of the gateways that take clients, a zone's first.

        :param zone: the asker's availability zone.
        """
        now = anyio.current_time()
        alive = list(self._take_snapshot(now).serving)
        if not alive:
            alive = self._list_heard(now, GATEWAY_DOUBTFUL_SECONDS)
        alive.sort(key=lambda notice: (notice.zone != zone, notice.address))
        return [notice.address for notice in alive]

    def _take_snapshot(self, now: float) -> _Snapshot:
        """Return the gateways as they were a moment ago, or now if one changed since."""
        if self._snapshot is None or now - self._snapshot.at > SNAPSHOT_SECONDS:
            heard = self._list_heard(now, GATEWAY_SILENT_SECONDS, serving=False)
            self._snapshot = _Snapshot(now, len(heard), tuple(n for n in heard if n.serving))
        return self._snapshot

    def _list_heard(self, now: float, seconds: float, serving: bool = True) -> list[GatewayNotice]:
        """Return the gateways heard within some seconds, all or those that take clients."""
        return [
            gateway.notice
            for gateway in self._gateways.values()
            if now - gateway.heard_at < seconds and (gateway.notice.serving or not serving)
        ]

    def _note_gateway(self, notice: GatewayNotice, now: float) -> None:
        heard_at = now - notice.age
        known = self._gateways.get(notice.address)
        if known is None:
            self._revision += 1
            self._gateways[notice.address] = _Gateway(notice, heard_at, self._revision)
            self._snapshot = None
            _log_gateway(notice)
        elif heard_at >= known.heard_at:
            if known.notice.serving != notice.serving:
                self._revision += 1
                known.revision = self._revision
                self._snapshot = None
                _log_gateway(notice)
            known.notice = notice
            known.heard_at = heard_at

    async def share_loop(self) -> None:
        """Tell the others several times a second what was heard here, until cancelled.

        Most of it is that those who were there still are, which takes a number each. Told as whole
        messages it was a third of an idle coordinator's processor time, among ten: 0.119 and 0.079
        of a core, by real processes on loopback.
        """
        while True:
            await anyio.sleep(SHARE_SECONDS)
            now = anyio.current_time()
            # What was heard just before the last turn is told once more, so nothing falls between.
            since = self._shared_at - SHARE_SECONDS
            self._shared_at = now
            shares: dict[_Told, bytes] = {}
            sent = _Told("", self.fleet.revision, self._revision, self.suspects.revision)
            with anyio.move_on_after(COORDINATOR_CALL_SECONDS):
                async with anyio.create_task_group() as tasks:
                    for peer in self._list_others():
                        told = self._told.get(peer, _Told())
                        if told not in shares:
                            shares[told] = encode(self._make_share(told, now, since))
                        tasks.start_soon(self._share_with, peer, shares[told], sent)

    def _make_share(self, told: _Told, now: float, since: float) -> ShareRequest:
        """Return what is news to one that was told some of it, and who was heard of late."""
        news = (g for g in self._gateways.values() if g.revision > told.gateways)
        return ShareRequest(
            self._name,
            tuple(replace(g.notice, age=now - g.heard_at) for g in news),
            tuple(self.fleet.list_changed(now, told.fleet)),
            {
                address: round(now - gateway.heard_at, 2)
                for address, gateway in self._gateways.items()
                if gateway.heard_at >= since
            },
            self.fleet.list_ages(now, since),
            self.suspects.list_changed(now, told.suspects),
        )

    async def _share_with(self, peer: str, request: bytes, sent: _Told) -> None:
        url = f"{make_url(peer)}/site/share"
        answer = await self._links.call(url, request, ShareAnswer, COORDINATOR_CALL_SECONDS)
        if not isinstance(answer, ShareAnswer):
            return
        now = anyio.current_time()
        self._peers.note_alive(peer, now)
        self._peers.learn(answer.coordinators, now)
        epoch = self._told.get(peer, _Told()).epoch
        anew = epoch not in ("", answer.epoch)
        # One that has started anew, or has forgotten some of it, is told all of it again.
        lacking = anew or not answer.complete
        self._told[peer] = replace(_Told() if lacking else sent, epoch=answer.epoch)

    def sum_loads(self, asker: str) -> list[Load]:
        """Return the work of all gateways but the asker.

        :param asker: its address.
        """
        return self.loads.sum_others(asker)


def _log_gateway(notice: GatewayNotice) -> None:
    event = Event.GATEWAY_NAMED if notice.serving else Event.GATEWAY_WITHDRAWN
    log_event(event, name=notice.address)
