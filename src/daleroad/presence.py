"""A coordinator's liveness state: upstreams by their heartbeats, gateways by their watches.

The state isn't in the replicated log. Each coordinator sends what it heard to the others several
times a second. That an upstream leaves is sent at once, and is acknowledged to the upstream only
once another coordinator has it, if another one is alive.
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
    GATEWAY_TIMEOUT_SECONDS,
    LOOKUP_DRAIN_TTL_SECONDS,
    LOOKUP_TTL_SECONDS,
    MAX_DEPARTURE_SHARE_SECONDS,
    MIN_LOADS_KNOWN_RATIO,
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
from daleroad.paces import PaceTable
from daleroad.paths import Reach
from daleroad.peers import Peers
from daleroad.sharedsuspects import SharedSuspects
from daleroad.stalls import StallDetector
from daleroad.tunneloffers import TunnelOffers, make_offers

MAX_SNAPSHOT_AGE_SECONDS = 0.05
"""How long a snapshot of all gateways is reused; every watch of a gateway needs one."""


@dataclass
class _Gateway:
    notice: GatewayNotice
    heard_at: float
    revision: int


@dataclass(frozen=True)
class _AckedRevisions:
    """The revisions of this coordinator's state that another one has acknowledged.

    :param epoch: identifies the process run of the other coordinator.
    :param fleet: revision of the upstreams.
    :param gateways: revision of the gateways.
    :param suspects: revision of the suspected requests.
    """

    epoch: str = ""
    fleet: int = -1
    gateways: int = -1
    suspects: int = -1


@dataclass(frozen=True)
class _Snapshot:
    """The gateways at one moment.

    :param at: when the snapshot was taken.
    :param alive: number of gateways heard recently, whether they accept clients or not.
    :param serving: gateways heard recently that accept clients.
    :param offers: those that other gateways may reach upstreams through.
    """

    at: float
    alive: int
    serving: tuple[GatewayNotice, ...]
    offers: TunnelOffers


class Presence:
    """One coordinator's view of upstreams and gateways.

    :param name: the coordinator's name.
    :param calls: client for calls to the other coordinators.
    :param peers: the other coordinators.
    :param list_others: returns the names of the other coordinators that may be alive.
    :param wake: called on changes that watching gateways should receive.
    :ivar stalls: detects stalls of this process.
    :ivar learns_paces: returns whether the engines' paces matter to a service, by its name.
    """

    def __init__(
        self,
        name: str,
        calls: Calls,
        peers: Peers,
        list_others: Callable[[], list[str]],
        wake: Callable[[], None],
    ) -> None:
        self.fleet = Fleet()
        self.shared_suspects = SharedSuspects(self.fleet, wake)
        self.suspects = self.shared_suspects.suspects
        self._name = name
        self._calls = calls
        self._peers = peers
        self._list_others = list_others
        self._wake = wake
        self._gateways: dict[str, _Gateway] = {}
        self.loads = LoadTotals(GATEWAY_TIMEOUT_SECONDS)
        self.paces = PaceTable(GATEWAY_TIMEOUT_SECONDS)
        self.learns_paces: Callable[[str], bool] = lambda service: False
        self._snapshot: _Snapshot | None = None
        self._revision = 0
        self._shared_at = float("-inf")
        self._acked: dict[str, _AckedRevisions] = {}
        self.stalls = StallDetector()

    def merge_share(self, message: ShareRequest) -> bool:
        """Merge another coordinator's state; return whether all that it gives an age for is known.

        :param message: the share.
        """
        now = anyio.current_time()
        self._peers.note_alive(message.sender, now)
        with self.wake_on_fleet_change():
            changed = self.fleet.note_all(message.sightings, now)
        for instance in changed:
            self._log_change(instance)
        all_known = self.fleet.note_ages(message.ages, now)
        for notice in message.gateways:
            self._record_gateway(notice, now)
        for address, age in message.gateway_ages.items():
            known = self._gateways.get(address)
            if known is None:
                all_known = False
            else:
                known.heard_at = max(known.heard_at, now - age)
        self.shared_suspects.merge_reports(message.suspicions, now)
        return all_known

    def _find_sending_time(self, now: float) -> float:
        """Return the earliest time at which a message that is read now may have been sent."""
        return now - self.stalls.get_backlog_seconds(now)

    @contextmanager
    def wake_on_fleet_change(self) -> Iterator[None]:
        """Wake pending watches if the fleet changed within the context."""
        before = self.fleet.revision
        yield
        if self.fleet.revision != before:
            self._wake()

    def handle_watch(self, message: WatchRequest) -> None:
        """Record a gateway's state and its reports of upstreams.

        :param message: the watch request.
        """
        now = anyio.current_time()
        self._record_gateway(message.gateway, now)
        self.loads.set_report(message.gateway.address, message.loads, now)
        paces = (pace for pace in message.paces if self._is_pace_wanted(pace.instance))
        self.paces.set_report(message.gateway.address, paces, now)
        self.shared_suspects.merge_reports(message.suspicions, now)
        with self.wake_on_fleet_change():
            for notice in message.upstreams:
                self._record_upstream(notice, message.gateway.address, now)

    def _record_upstream(self, notice: UpstreamNotice, reporter: str, now: float) -> None:
        """Record the rate limit and the departure that an upstream announced to a gateway."""
        name, limit = notice.instance, notice.limit
        if limit is not None and self.fleet.note_limit(name, limit, now):
            log_event(Event.UPSTREAM_LIMITED, id=name, rate=limit.rate, by=reporter)
        for instance in self.fleet.note_leaving(name) if notice.leaving else ():
            self._log_change(instance)

    def _is_pace_wanted(self, instance_id: str) -> bool:
        """Return whether an instance is alive and its service has guarded streams."""
        instance = self.fleet.get_live(instance_id)
        return instance is not None and self.learns_paces(instance.service)

    def has_enough_load_reports(self, now: float) -> bool:
        """Return whether enough gateways have recently reported their load here to place requests.

        :param now: the current time.
        """
        return self.loads.count_gateways() >= MIN_LOADS_KNOWN_RATIO * self.count_gateways(now)

    def prune(self, now: float) -> None:
        """Drop expired upstreams, loads, paces and suspicions; called periodically.

        :param now: the current time.
        """
        self.stalls.note_turn(now)
        self.loads.remove_expired(now)
        self.paces.remove_expired(now, self._is_pace_wanted)
        self.shared_suspects.tick(now)
        for instance in self.fleet.prune(now):
            log_event(Event.UPSTREAM_LEFT, id=instance.id, service=instance.service, why="age")
            self._wake()

    def count_gateways(self, now: float) -> int:
        """Return how many gateways were heard recently, whether they accept clients or not.

        :param now: the current time.
        """
        return self._get_snapshot(now).alive

    def get_lookup_ttl_seconds(self) -> float:
        """Return how long a client should cache the addresses of gateways, in seconds."""
        snapshot = self._get_snapshot(anyio.current_time())
        drains = snapshot.alive > len(snapshot.serving)
        return LOOKUP_DRAIN_TTL_SECONDS if drains else LOOKUP_TTL_SECONDS

    def count_other_gateways(self, excluded: str) -> int:
        """Return how many other gateways accept clients.

        :param excluded: address of the gateway that is left out.
        """
        serving = self._get_snapshot(anyio.current_time()).serving
        return sum(notice.address != excluded for notice in serving)

    async def handle_heartbeat(self, sighting: Sighting) -> Failure | None:
        """Process an upstream's heartbeat; return a failure if a departure could not be shared.

        :param sighting: the heartbeat.
        """
        now = anyio.current_time()
        # Without this age, an upstream that ended during a stall would count as alive until its
        # heartbeats are overdue.
        sighting = replace(sighting, age=self.stalls.get_backlog_seconds(now))
        with self.wake_on_fleet_change():
            changed = self.fleet.note(sighting, now)
        for instance in changed:
            self._log_change(instance)
        if sighting.instance in changed and sighting.instance.state is not InstanceState.READY:
            return await self._share_departure(sighting.instance)
        return None

    async def handle_departure(self, name: str, born: int = 0) -> Failure | None:
        """Mark an upstream as gone; return a failure if that could not be shared.

        A departure that names no start and may have waited here since before the latest start is
        not applied: it may be that of an earlier one. The upstream tells another coordinator.

        :param name: the upstream's name.
        :param born: identifies the start of its process; 0 for the latest known.
        """
        now = anyio.current_time()
        if not born and self.fleet.has_restarted_since(name, self._find_sending_time(now)):
            reason = f"{name} may have started again since it sent this"
            return Failure(FailureKind.CONFLICT, reason)
        for instance in self.fleet.leave(name, now, born):
            self._log_change(instance)
            self._wake()
        known = self.fleet.find(name, born)
        return await self._share_departure(known) if known is not None else None

    async def _share_departure(self, instance: Instance) -> Failure | None:
        """Tell the other coordinators at once that an upstream leaves.

        If this process ended before its next regular share, the departure would be lost.
        """
        now = anyio.current_time()
        others = [peer for peer in self._list_others() if self._peers.is_alive(peer, now)]
        if not others:
            return None
        confirmed: list[str] = []
        done = anyio.Event()

        async def notify(peer: str) -> None:
            sightings = (Sighting(instance, 0.0),)
            request = encode(ShareRequest(self._name, (), sightings))
            url = f"{make_url(peer)}/site/share"
            answer = await self._calls.call(url, request, ShareAnswer, MAX_DEPARTURE_SHARE_SECONDS)
            if isinstance(answer, ShareAnswer):
                confirmed.append(peer)
            if 2 * len(confirmed) >= len(others):
                done.set()

        with anyio.move_on_after(MAX_DEPARTURE_SHARE_SECONDS):
            async with anyio.create_task_group() as tasks:
                for peer in others:
                    tasks.start_soon(notify, peer)
                await done.wait()
        if not confirmed:
            reason = f"none of {len(others)} other coordinators acknowledged it"
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
        """Return the addresses of the gateways that accept clients, those in a zone first.

        :param zone: the client's availability zone.
        """
        now = anyio.current_time()
        gateways = list(self._get_snapshot(now).serving)
        if not gateways:
            gateways = self._list_heard(now, GATEWAY_DOUBTFUL_SECONDS)
        # A gateway that reaches no upstream can only refuse, so it is named where all are like it.
        useful = [notice for notice in gateways if notice.reach is not Reach.NONE]
        gateways = useful or gateways
        gateways.sort(key=lambda notice: (notice.zone != zone, notice.address))
        return [notice.address for notice in gateways]

    def list_tunnels(self, address: str, zone: str) -> tuple[str, ...]:
        """Return IP:PORT of the tunnels that a gateway should use, the preferred ones first.

        :param address: the gateway.
        :param zone: its availability zone.
        """
        return self._get_snapshot(anyio.current_time()).offers.choose(address, zone)

    def _get_snapshot(self, now: float) -> _Snapshot:
        """Return the cached snapshot of the gateways, or a new one if it is missing or expired."""
        if self._snapshot is None or now - self._snapshot.at > MAX_SNAPSHOT_AGE_SECONDS:
            heard = self._list_heard(now, GATEWAY_TIMEOUT_SECONDS, serving=False)
            serving = tuple(notice for notice in heard if notice.serving)
            self._snapshot = _Snapshot(now, len(heard), serving, make_offers(serving))
        return self._snapshot

    def _list_heard(self, now: float, seconds: float, serving: bool = True) -> list[GatewayNotice]:
        """Return the gateways heard within some seconds, all or those that accept clients."""
        return [
            gateway.notice
            for gateway in self._gateways.values()
            if now - gateway.heard_at < seconds and (gateway.notice.serving or not serving)
        ]

    def _record_gateway(self, notice: GatewayNotice, now: float) -> None:
        heard_at = now - notice.age
        known = self._gateways.get(notice.address)
        if known is None:
            self._revision += 1
            self._gateways[notice.address] = _Gateway(notice, heard_at, self._revision)
            self._snapshot = None
            _log_gateway(notice)
        elif heard_at >= known.heard_at and not self._precedes_withdrawal(notice, known, now):
            if _differs(known.notice, notice):
                self._revision += 1
                known.revision = self._revision
                self._snapshot = None
                _log_gateway(notice)
            known.notice = notice
            known.heard_at = heard_at

    def _precedes_withdrawal(self, notice: GatewayNotice, known: _Gateway, now: float) -> bool:
        """Return whether a notice may have been sent before its gateway stopped accepting clients.

        Otherwise it counts from when it is read, also after a stall: if gateways seemed silent, the
        others would take their shares of the budgets.
        """
        made_at = self._find_sending_time(now) - notice.age
        return notice.serving and not known.notice.serving and made_at < known.heard_at

    async def share_loop(self) -> None:
        """Send changes and ages to the other coordinators periodically, until cancelled.

        A gateway or upstream without changes is sent as its age alone, not as a whole record. Whole
        records took a third of an idle coordinator's processor time, among ten coordinators: 0.119
        of a core with them and 0.079 without, with real processes on loopback.
        """
        while True:
            await anyio.sleep(SHARE_SECONDS)
            now = anyio.current_time()
            # Overlaps the previous interval, so that ages noted around its end are sent again.
            since = self._shared_at - SHARE_SECONDS
            self._shared_at = now
            shares: dict[_AckedRevisions, bytes] = {}
            sent = _AckedRevisions("", self.fleet.revision, self._revision, self.suspects.revision)
            with anyio.move_on_after(COORDINATOR_CALL_SECONDS):
                async with anyio.create_task_group() as tasks:
                    for peer in self._list_others():
                        acked = self._acked.get(peer, _AckedRevisions())
                        if acked not in shares:
                            shares[acked] = encode(self._make_share(acked, now, since))
                        tasks.start_soon(self._share_with, peer, shares[acked], sent)

    def _make_share(self, acked: _AckedRevisions, now: float, since: float) -> ShareRequest:
        """Return the changes after some revisions, and the ages of what was heard after a time."""
        changed_gateways = (g for g in self._gateways.values() if g.revision > acked.gateways)
        return ShareRequest(
            self._name,
            tuple(replace(g.notice, age=now - g.heard_at) for g in changed_gateways),
            tuple(self.fleet.list_changed(now, acked.fleet)),
            {
                address: round(now - gateway.heard_at, 2)
                for address, gateway in self._gateways.items()
                if gateway.heard_at >= since
            },
            self.fleet.list_ages(now, since),
            self.suspects.list_changed(now, acked.suspects),
        )

    async def _share_with(self, peer: str, request: bytes, sent: _AckedRevisions) -> None:
        url = f"{make_url(peer)}/site/share"
        answer = await self._calls.call(url, request, ShareAnswer, COORDINATOR_CALL_SECONDS)
        if not isinstance(answer, ShareAnswer):
            return
        now = anyio.current_time()
        self._peers.note_alive(peer, now)
        self._peers.learn(answer.coordinators, now)
        epoch = self._acked.get(peer, _AckedRevisions()).epoch
        restarted = epoch not in ("", answer.epoch)
        # A coordinator that restarted or lacks some entries is sent the whole state again.
        resend_all = restarted or not answer.complete
        self._acked[peer] = replace(_AckedRevisions() if resend_all else sent, epoch=answer.epoch)

    def sum_other_loads(self, excluded: str) -> list[Load]:
        """Return the load of all gateways but one.

        :param excluded: address of the gateway that is left out.
        """
        return self.loads.sum_others(excluded)


def _differs(known: GatewayNotice, notice: GatewayNotice) -> bool:
    """Return whether other coordinators need to hear of a gateway's newer notice."""
    return (known.serving, known.tunnel, known.reach) != (
        notice.serving,
        notice.tunnel,
        notice.reach,
    )


def _log_gateway(notice: GatewayNotice) -> None:
    event = Event.GATEWAY_NAMED if notice.serving else Event.GATEWAY_WITHDRAWN
    log_event(event, name=notice.address, reach=notice.reach.value)
