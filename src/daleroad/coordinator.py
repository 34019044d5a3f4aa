"""A coordinator: keeps the routing configuration and tells gateways what changes.

The configuration is in a replicated log on the coordinators' disks; who is alive is told from one
to the other and lost with a restart, until the next heartbeats.
"""

from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any
from uuid import uuid4

import anyio
from anyio.abc import TaskGroup

from daleroad.calls import Calls, make_url
from daleroad.channelserver import ChannelServer
from daleroad.codec import decode, encode
from daleroad.defaults import (
    COORDINATOR_CALL_SECONDS,
    COORDINATOR_TURN_SECONDS,
    FOUNDING_CALL_SECONDS,
    FOUNDING_PAUSE_SECONDS,
    JOIN_SECONDS,
    OVERDUE_HEARTBEATS,
    STANDBY_SILENT_SECONDS,
)
from daleroad.documents import DocumentHistory
from daleroad.errors import Failure, FailureKind
from daleroad.evacuations import ZoneOrder
from daleroad.events import Event, log_event
from daleroad.fleetfile import FleetKeeper
from daleroad.group import Group, decode_messages
from daleroad.logtypes import Member
from daleroad.notices import (
    EvacuateRequest,
    IdentifyAnswer,
    JoinRequest,
    LoadsRequest,
    PlaceRequest,
    ReadAnswer,
    ReleaseRequest,
    SaveRequest,
    ShareAnswer,
    ShareRequest,
    TrialAnswer,
    TrialRequest,
    WatchAnswer,
    WatchRequest,
)
from daleroad.peers import Peers
from daleroad.placer import Placer
from daleroad.presence import Presence
from daleroad.routing import ServiceRule
from daleroad.security import check_peer
from daleroad.sendlimits import ColdRule, SendLimits
from daleroad.serving import Answer, Request, Response, Router
from daleroad.sitelog import Parse, SiteLog
from daleroad.siterecord import SiteRecord
from daleroad.storage import Storage
from daleroad.suspectfile import SuspectKeeper
from daleroad.voters import SILENT_SECONDS, plan_voters

GROUP = "site"
_ROUTER_BYTES = 64_000_000


@dataclass(frozen=True)
class CoordinatorOptions:
    """What a coordinator is told at its start.

    :param name: IP:PORT of this coordinator for the others.
    :param seeds: addresses of coordinators to begin with.
    :param data: folder on a disk, or nothing on a VM without one.
    :param founding: whether the whole site starts for the first time.
    :param heartbeat: interval of upstreams' heartbeats in seconds.
    :param zones: the site's availability zones; nothing where they are not known.
    :param cold: what upstreams bear while they are cold.
    """

    name: str
    seeds: tuple[str, ...]
    data: str
    founding: bool
    heartbeat: float = 1.0
    zones: tuple[str, ...] = ()
    cold: ColdRule = ColdRule()


class Coordinator:
    """One coordinator.

    :param options: what it is told.
    :param links: connections to others.
    :param parse: reads a routing configuration from its document.
    :param random: source of election timeouts.
    """

    def __init__(
        self, options: CoordinatorOptions, links: Calls, parse: Parse, random: Random
    ) -> None:
        self.options = options
        self.links = links
        self.record = SiteRecord()
        self.record.on_change = self._note_document
        self.record.on_zones = self._note_zones
        self._evacuated: tuple[str, ...] = ()
        self._history = DocumentHistory()
        self._services: dict[str, ServiceRule] = {}
        self.peers = Peers(options.name, set(options.seeds))
        self.presence = Presence(options.name, links, self.peers, self._list_others, self._wake)
        self._limits = SendLimits(options.cold)
        self._placer = Placer(
            self.presence.fleet, self.presence.loads, options.heartbeat, random, self._limits
        )
        self.epoch = uuid4().hex[:12]
        self._parse = parse
        folder = Path(options.data) if options.data else None
        path = folder / f"{GROUP}.db" if folder else None
        self._keeper = (
            FleetKeeper(folder, self.presence.fleet, options.heartbeat) if folder else None
        )
        self._suspect_keeper = SuspectKeeper(folder, self.presence.suspects) if folder else None
        self._storage = Storage(path)
        self.group = Group(
            GROUP, options.name, {}, self._storage, self.record, links, random, make_url
        )
        self.log = SiteLog(options.name, self.group, self.record, links, parse, options.zones)
        self._ready = False
        self._standbys: dict[str, tuple[bool, float]] = {}
        self._news = anyio.Event()

    async def run(self, tasks: TaskGroup) -> None:
        """Found or join the group, then take part until cancelled.

        :param tasks: runs this coordinator's tasks.
        """
        if self._storage.is_new() and self.options.founding:
            await self._found()
        await self.group.run(tasks)
        if self._keeper is not None:
            self._keeper.recover()
        if self._suspect_keeper is not None:
            self._suspect_keeper.recover()
        self._ready = True
        tasks.start_soon(self._join_loop)
        tasks.start_soon(self.presence.share_loop)
        tasks.start_soon(self._lead_loop)
        if self._keeper is not None:
            tasks.start_soon(self._keeper.run)
        if self._suspect_keeper is not None:
            tasks.start_soon(self._suspect_keeper.run)

    def close(self) -> None:
        """Close the files; nothing may run any more."""
        self._storage.close()

    def is_leading(self) -> float:
        """Return 1 while this coordinator leads."""
        return float(self._ready and self.group.is_leading())

    def get_version(self) -> int:
        """Return the newest version that is committed here."""
        return self.record.document.version

    def count_evacuated(self) -> int:
        """Return how many availability zones are evacuated, as it is committed here."""
        return len(self.record.zones.zones)

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other addresses to begin with.

        :param seeds: the addresses.
        """
        self.peers.seeds = set(seeds)

    # Founding and joining.

    async def _found(self) -> None:
        """Write the founding state if this is a seed with a disk.

        All seeds are asked first, so each founder writes the same membership.
        """
        if self.options.name not in self.peers.seeds:
            return
        answers = [await self._identify(seed) for seed in sorted(self.peers.seeds)]
        voters = [answer.name for answer in answers if answer.disk]
        # Where no seed has a disk, the group lives as long as its processes do.
        names = voters or sorted(self.peers.seeds)
        if self.options.name not in names:
            return
        members = tuple(Member(name, f"founding-{name}") for name in sorted(names))
        self._storage.found(f"founding-{self.options.name}", members, "")
        log_event(Event.GROUP_FOUNDED, member=self.options.name, members=sorted(names))

    async def _identify(self, seed: str) -> IdentifyAnswer:
        if seed == self.options.name:
            return IdentifyAnswer(seed, bool(self.options.data))
        while True:
            url = f"{make_url(seed)}/site/identify"
            answer = await self.links.call(url, b"{}", IdentifyAnswer, FOUNDING_CALL_SECONDS)
            if isinstance(answer, IdentifyAnswer):
                return answer
            await anyio.sleep(FOUNDING_PAUSE_SECONDS)

    async def _join_loop(self) -> None:
        """Ask to be sent the log while this process is not in the membership."""
        request = encode(JoinRequest(self.options.name, bool(self.options.data)))
        while True:
            if not self._is_voter():
                for peer in self._list_others():
                    url = f"{make_url(peer)}/site/join"
                    answer = await self.links.call(
                        url, request, ShareAnswer, COORDINATOR_CALL_SECONDS
                    )
                    if isinstance(answer, ShareAnswer):
                        self.peers.learn(answer.coordinators, anyio.current_time())
            await anyio.sleep(JOIN_SECONDS)

    def _is_voter(self) -> bool:
        replica = self.group.replica
        return Member(replica.name, replica.incarnation) in replica.members

    def _list_voters(self) -> set[str]:
        return {member.name for member in self.group.replica.members} if self._ready else set()

    def _list_others(self) -> list[str]:
        return self.peers.list_others(self._list_voters())

    def list_coordinators(self) -> tuple[str, ...]:
        """Return the coordinators heard of late, this one included."""
        return self.peers.list_named(self._list_voters(), anyio.current_time())

    # Leading.

    async def _lead_loop(self) -> None:
        while True:
            await anyio.sleep(COORDINATOR_TURN_SECONDS)
            now = anyio.current_time()
            self.peers.prune(now)
            self.presence.prune(now)
            self._limits.prune(now)
            if self.group.is_leading():
                self._limits.begin(self.group.replica.term, now)
                self._plan(now)

    def _plan(self, now: float) -> None:
        """Send the log to standbys, and give votes to those with a disk."""
        replica = self.group.replica
        fresh = {
            name: disk
            for name, (disk, at) in self._standbys.items()
            if now - at < STANDBY_SILENT_SECONDS
        }
        if set(replica.peers) != set(fresh):
            replica.set_learners(fresh)
        caught_up = [m for m in replica.list_caught_up() if fresh.get(m.name)]
        heard = replica.list_heard(now - SILENT_SECONDS) | {self.options.name}
        planned = plan_voters(replica.members, heard, caught_up)
        if planned is None or not replica.get_settled_members():
            return
        outcome = replica.propose_members(planned, now)
        if not isinstance(outcome, Failure):
            names = [member.name for member in planned]
            silent = sorted({member.name for member in replica.members} - heard)
            log_event(Event.MEMBERS_PLANNED, members=names, silent=silent, index=outcome)

    # Calls of the other processes of this system.

    def make_router(self) -> Router:
        """Return the router for calls of gateways and other coordinators."""
        router = Router(_ROUTER_BYTES, channels=ChannelServer(_ROUTER_BYTES))
        router.add("POST", "/peer/", self._serve_peer)
        router.add("POST", "/site/identify", self._serve_identify)
        router.add("POST", "/site/join", self._serve_join)
        router.add("POST", "/site/share", self._serve_share)
        router.add("POST", "/site/watch", self._serve_watch)
        router.add("POST", "/site/loads", self._serve_loads)
        router.add("POST", "/site/place", self._serve_place)
        router.add("POST", "/site/save", self._serve_save)
        router.add("POST", "/site/read", self._serve_read)
        router.add("POST", "/site/order-zone", self._serve_zone_order)
        router.add("POST", "/site/evacuations", self._serve_evacuations)
        router.add("POST", "/site/evacuate", self._serve_evacuate)
        router.add("POST", "/site/suspects", self._serve_suspects)
        router.add("POST", "/site/release", self._serve_release)
        router.add("POST", "/site/trial", self._serve_trial)
        return router

    def _take(self, request: Request, shape: Any) -> Any:
        """Return the message in a request of one of our processes, or a failure."""
        refused = check_peer(request.headers, self.links.token)
        return refused if refused is not None else decode(shape, request.body)

    async def _serve_peer(self, request: Request) -> Answer:
        refused = check_peer(request.headers, self.links.token)
        if refused is not None:
            return refused
        messages = decode_messages(request.body)
        if isinstance(messages, Failure):
            return messages
        if self._ready:
            self.group.receive(messages)
        return Response(204)

    async def _serve_identify(self, request: Request) -> Answer:
        refused = check_peer(request.headers, self.links.token)
        if refused is not None:
            return refused
        answer = IdentifyAnswer(self.options.name, bool(self.options.data))
        return Response(200, encode(answer))

    async def _serve_join(self, request: Request) -> Answer:
        asked = self._take(request, JoinRequest)
        if isinstance(asked, Failure):
            return asked
        self._standbys[asked.name] = (asked.disk, anyio.current_time())
        self.peers.note_alive(asked.name, anyio.current_time())
        return Response(200, encode(ShareAnswer(self.list_coordinators() if self._ready else ())))

    async def _serve_share(self, request: Request) -> Answer:
        asked = self._take(request, ShareRequest)
        if isinstance(asked, Failure):
            return asked
        complete = self.presence.take_share(asked)
        named = self.list_coordinators() if self._ready else ()
        return Response(200, encode(ShareAnswer(named, self.epoch, complete)))

    async def _serve_watch(self, request: Request) -> Answer:
        asked = self._take(request, WatchRequest)
        if isinstance(asked, Failure):
            return asked
        if not self._ready:
            return Failure(FailureKind.NO_MAJORITY, "this coordinator is starting")
        arrived_at = anyio.current_time()
        self.presence.note_watch(asked)
        await self._wait_news(asked)
        return Response(200, encode(self._make_answer(asked, arrived_at)))

    async def _wait_news(self, asked: WatchRequest) -> None:
        with anyio.move_on_after(asked.wait):
            while (
                asked.epoch == self.epoch
                and asked.revision == self.presence.fleet.revision
                and asked.suspects == self.presence.suspects.marked_revision
                and not self._is_behind(asked)
            ):
                await self._news.wait()
            # Upstreams come and go several at a time; what operators ask for waits for nothing.
            with anyio.move_on_after(asked.gather if asked.epoch == self.epoch else 0):
                while not self._is_behind(asked):
                    await self._news.wait()

    def _is_behind(self, asked: WatchRequest) -> bool:
        """Return whether a gateway lacks something that operators ordered."""
        record = self.record
        return asked.version < record.document.version or asked.zones < record.zones.version

    def _make_answer(self, asked: WatchRequest, arrived_at: float) -> WatchAnswer:
        now = anyio.current_time()
        document = self.record.document
        news = self._history.tell(document, asked.version, asked.whole)
        fleet = self.presence.fleet
        same = asked.epoch == self.epoch
        known = asked.revision if same else -1
        suspects = self.presence.suspects
        loads = self.presence.sum_loads(asked.gateway.address) if asked.wants_loads else None
        return WatchAnswer(
            self.epoch,
            fleet.revision,
            self.list_coordinators(),
            self.group.replica.leader,
            document.version,
            news.document,
            tuple(fleet.list_changed(now, known)),
            fleet.list_ages(now),
            None if loads is None else tuple(loads),
            self.presence.count_gateways(now),
            self.presence.count_others(asked.gateway.address),
            news.patch,
            suspects.list_changed(now, asked.suspects if same else 0, marked=True),
            suspects.marked_revision,
            now - arrived_at,
            self.record.zones if asked.zones < self.record.zones.version else None,
        )

    async def _serve_loads(self, request: Request) -> Answer:
        asked = self._take(request, LoadsRequest)
        if isinstance(asked, Failure):
            return asked
        self.presence.loads.note(asked.gateway, asked.loads, anyio.current_time())
        return Response(204)

    async def _serve_place(self, request: Request) -> Answer:
        asked = self._take(request, PlaceRequest)
        if isinstance(asked, Failure):
            return asked
        if not self._ready or not self.group.is_leading():
            return Failure(FailureKind.NOT_LEADER, "another coordinator names engines")
        now = anyio.current_time()
        if not self.presence.knows_loads(now):
            return Failure(FailureKind.NO_LEASE, "not all gateways were heard yet")
        service = self._services.get(asked.service)
        if service is None:
            return Failure(FailureKind.NOT_FOUND, f"no service {asked.service}")
        self._limits.begin(self.group.replica.term, now)
        with self.presence.waking():
            answer = self._placer.place(asked, service, now, self.record.zones.zones)
        return Response(200, encode(answer))

    async def _serve_save(self, request: Request) -> Answer:
        asked = self._take(request, SaveRequest)
        if isinstance(asked, Failure):
            return asked
        if not self.group.is_leading():
            return self.group.refuse()
        config = self._parse(asked.document.encode())
        if isinstance(config, Failure):
            return config
        answer = await self.log.save_once(config.version, asked.document)
        return answer if isinstance(answer, Failure) else Response(200, encode(answer))

    async def _serve_zone_order(self, request: Request) -> Answer:
        """Carry out an order that another coordinator took."""
        asked = self._take(request, ZoneOrder)
        if isinstance(asked, Failure):
            return asked
        if not self.group.is_leading():
            return self.group.refuse()
        answer = await self.log.order_once(asked)
        return answer if isinstance(answer, Failure) else Response(200, encode(answer))

    async def _serve_evacuate(self, request: Request) -> Answer:
        """Carry out an order of the command line."""
        asked = self._take(request, EvacuateRequest)
        if isinstance(asked, Failure):
            return asked
        answer = await self.log.order_zone(asked.zone, asked.evacuated)
        return answer if isinstance(answer, Failure) else Response(200, encode(answer))

    async def _serve_evacuations(self, request: Request) -> Answer:
        refused = check_peer(request.headers, self.links.token)
        if refused is not None:
            return refused
        return Response(200, encode(self.record.evacuations))

    async def _serve_read(self, request: Request) -> Answer:
        refused = check_peer(request.headers, self.links.token)
        if refused is not None:
            return refused
        if not self.group.has_served_term():
            return self.group.refuse()
        document = self.record.document
        return Response(200, encode(ReadAnswer(document.version, document.text)))

    async def _serve_suspects(self, request: Request) -> Answer:
        refused = check_peer(request.headers, self.links.token)
        if refused is not None:
            return refused
        return Response(200, encode(self.presence.shared.list_all()))

    async def _serve_release(self, request: Request) -> Answer:
        asked = self._take(request, ReleaseRequest)
        if isinstance(asked, Failure):
            return asked
        failure = self.presence.shared.release(asked.fingerprint)
        return failure if failure is not None else Response(204)

    async def _serve_trial(self, request: Request) -> Answer:
        asked = self._take(request, TrialRequest)
        if isinstance(asked, Failure):
            return asked
        if not self._ready or not self.group.is_leading():
            return Failure(FailureKind.NOT_LEADER, "another coordinator gives leave for trials")
        granted = self.presence.shared.give_trial(asked.fingerprint)
        return Response(200, encode(TrialAnswer(granted)))

    def _note_zones(self) -> None:
        """Take the upstreams of a zone that is used again as cold until they are heard.

        They may have become so shortly before, and only their next heartbeats tell.
        """
        now = anyio.current_time()
        zones = self.record.zones.zones
        seconds = OVERDUE_HEARTBEATS * self.options.heartbeat
        for zone in set(self._evacuated) - set(zones):
            self.presence.fleet.note_cold_zone(zone, seconds, now)
        self._evacuated = zones
        self._wake()

    def _note_document(self) -> None:
        document = self.record.document
        self._history.note(document)
        config = self._parse(document.text.encode())
        if isinstance(config, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=document.version, reason=config.reason)
        else:
            self._services = {service.name: service for service in config.services}
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = anyio.Event()
