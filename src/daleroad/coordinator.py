"""The coordinator process: a replica of the routing configuration that serves gateways.

The routing configuration and the evacuated zones are in a replicated log, which coordinators with a
disk keep there. Outside the log, coordinators tell each other which upstreams and gateways are
alive and which requests are suspected. A coordinator with a disk also keeps the upstreams and the
suspected requests in files, for its next start. The leader commits changes to the log, plans its
voters, places requests and gives trials of suspected requests.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any
from uuid import uuid4

import anyio
from anyio.abc import TaskGroup

from daleroad.callers import Caller
from daleroad.calls import Calls, make_url
from daleroad.channelserver import ChannelServer
from daleroad.codec import decode, encode
from daleroad.contention import NO_CONTENTION, Contention, find_contentions
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
from daleroad.evacuations import ZoneOrder, ZoneOutcome
from daleroad.events import Event, log_event
from daleroad.fleetfile import FleetKeeper
from daleroad.logtypes import Member
from daleroad.notices import (
    EvacuateRequest,
    IdentifyAnswer,
    JoinRequest,
    LoadsRequest,
    PlaceAnswer,
    PlaceRequest,
    QueueAnswer,
    ReadAnswer,
    ReleaseRequest,
    SaveAnswer,
    SaveRequest,
    ShareAnswer,
    ShareRequest,
    TrialAnswer,
    TrialRequest,
    WatchAnswer,
    WatchRequest,
    WithdrawRequest,
)
from daleroad.peers import Peers
from daleroad.placer import Placer
from daleroad.presence import Presence
from daleroad.promptqueue import RefusalPolicy
from daleroad.promptwaits import PromptWaits
from daleroad.raftnode import RaftNode, decode_messages
from daleroad.reserves import Reserve
from daleroad.routing import ServiceRule
from daleroad.security import check_peer
from daleroad.sendlimits import ColdRule, GrantLimiter
from daleroad.serving import Answer, Request, Response, Router
from daleroad.siteclient import ConfigParser, SiteClient
from daleroad.sitestate import SiteStateMachine
from daleroad.slowengines import SlowEngines
from daleroad.storage import Storage
from daleroad.suspectfile import SuspectFile
from daleroad.voters import MAX_VOTER_SILENCE_SECONDS, plan_voters

GROUP_NAME = "site"
_MAX_BODY_BYTES = 64_000_000


@dataclass(frozen=True)
class CoordinatorOptions:
    """Start options of a coordinator.

    :param name: IP:PORT at which the other coordinators reach this one.
    :param seeds: addresses of coordinators that are always contacted, even if they are silent.
    :param data_dir: directory on a persistent disk, or empty on a VM without one.
    :param is_new_site: whether the whole site starts for the first time.
    :param heartbeat: interval of upstreams' heartbeats in seconds.
    :param zones: the site's availability zones; empty if they are not known.
    :param cold_rule: limits on requests to cold upstreams.
    """

    name: str
    seeds: tuple[str, ...]
    data_dir: str
    is_new_site: bool
    heartbeat: float = 1.0
    zones: tuple[str, ...] = ()
    cold_rule: ColdRule = ColdRule()


class Coordinator:
    """One coordinator of a site.

    :param options: its start options.
    :param calls: client for calls to other processes.
    :param parse: parses a new routing configuration from its document.
    :param random: source of election timeouts and identifiers, and for the choice of upstreams.
    :param refusals: decides which prompts are refused; nothing if none are.
    :param parse_stored: parses a committed routing configuration from its document; ``parse`` if
        it isn't given.
    """

    def __init__(
        self,
        options: CoordinatorOptions,
        calls: Calls,
        parse: ConfigParser,
        random: Random,
        refusals: RefusalPolicy | None = None,
        parse_stored: ConfigParser | None = None,
    ) -> None:
        self.options = options
        self.calls = calls
        self.record = SiteStateMachine()
        self.record.on_change = self._handle_document_change
        self.record.on_zones_change = self._handle_zone_change
        self._evacuated: tuple[str, ...] = ()
        self._history = DocumentHistory()
        self._services: dict[str, ServiceRule] = {}
        self._contentions: Mapping[str, Contention] = {}
        self.peers = Peers(options.name, set(options.seeds))
        self.presence = Presence(options.name, calls, self.peers, self._list_others, self._wake)
        self.presence.learns_paces = self._learns_paces
        self.slow_engines = SlowEngines(self.presence.fleet, self.presence.paces)
        self._limits = GrantLimiter(options.cold_rule)
        self._placer = Placer(
            self.presence.fleet,
            self.presence.loads,
            options.heartbeat,
            random,
            self._limits,
            self.presence.paces.get,
        )
        self.waits = PromptWaits(self._place, self._may_place, refusals)
        self.epoch = uuid4().hex[:12]
        self._parse_stored = parse_stored or parse
        data_dir = Path(options.data_dir) if options.data_dir else None
        path = data_dir / f"{GROUP_NAME}.db" if data_dir else None
        self._fleet_keeper = (
            FleetKeeper(data_dir, self.presence.fleet, options.heartbeat) if data_dir else None
        )
        self._suspect_keeper = SuspectFile(data_dir, self.presence.suspects) if data_dir else None
        self._storage = Storage(path)
        self.group = RaftNode(
            GROUP_NAME, options.name, {}, self._storage, self.record, calls, random, make_url
        )
        self.log = SiteClient(
            options.name,
            self.group,
            self.record,
            calls,
            parse,
            self._parse_stored,
            options.zones,
        )
        self._ready = False
        # By name: whether the coordinator has a disk, and when it last asked to join.
        self._standbys: dict[str, tuple[bool, float]] = {}
        self._changed = anyio.Event()

    async def run(self, tasks: TaskGroup) -> None:
        """Found or join the group, load the stored state and start the background tasks.

        :param tasks: task group for the background tasks.
        """
        if self._storage.is_empty() and self.options.is_new_site:
            await self._found_group()
        await self.group.run(tasks)
        if self._fleet_keeper is not None:
            self._fleet_keeper.recover()
        if self._suspect_keeper is not None:
            self._suspect_keeper.recover()
        self._ready = True
        tasks.start_soon(self._join_loop)
        tasks.start_soon(self.presence.share_loop)
        tasks.start_soon(self._maintenance_loop)
        tasks.start_soon(self.waits.run)
        if self._fleet_keeper is not None:
            tasks.start_soon(self._fleet_keeper.run)
        if self._suspect_keeper is not None:
            tasks.start_soon(self._suspect_keeper.run)

    def close(self) -> None:
        """Close the log's storage; no task of this coordinator may be running."""
        self._storage.close()

    def get_leading_gauge(self) -> float:
        """Return 1 while this coordinator is the leader with a lease, else 0, as a metric."""
        return float(self._ready and self.group.is_leading())

    def get_version(self) -> int:
        """Return the version of the newest routing configuration that this replica has applied."""
        return self.record.document.version

    def count_evacuated(self) -> int:
        """Return how many availability zones are evacuated, as this replica has applied."""
        return len(self.record.zones.zones)

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of coordinators that are always contacted.

        :param seeds: the addresses.
        """
        self.peers.seeds = set(seeds)

    # Group formation.

    async def _found_group(self) -> None:
        """Write the initial membership, if this coordinator is one of the first voters.

        Only seeds can be. A seed waits for an answer from every other seed, so that all founders
        write the same membership.
        """
        if self.options.name not in self.peers.seeds:
            return
        answers = [await self._identify(seed) for seed in sorted(self.peers.seeds)]
        voters = [answer.name for answer in answers if answer.disk]
        # If no seed has a disk, all seeds vote. The log is in memory then, and is lost once a
        # majority of them has stopped.
        names = voters or sorted(self.peers.seeds)
        if self.options.name not in names:
            return
        members = tuple(Member(name, f"founding-{name}") for name in sorted(names))
        self._storage.bootstrap(f"founding-{self.options.name}", members, "")
        log_event(Event.GROUP_FOUNDED, member=self.options.name, members=sorted(names))

    async def _identify(self, seed: str) -> IdentifyAnswer:
        if seed == self.options.name:
            return IdentifyAnswer(seed, bool(self.options.data_dir))
        while True:
            url = f"{make_url(seed)}/site/identify"
            answer = await self.calls.call(url, b"{}", IdentifyAnswer, FOUNDING_CALL_SECONDS)
            if isinstance(answer, IdentifyAnswer):
                return answer
            await anyio.sleep(FOUNDING_PAUSE_SECONDS)

    async def _join_loop(self) -> None:
        """Ask the other coordinators for the log, while this process is not a voter."""
        request = encode(JoinRequest(self.options.name, bool(self.options.data_dir)))
        while True:
            if not self._is_voter():
                for peer in self._list_others():
                    url = f"{make_url(peer)}/site/join"
                    answer = await self.calls.call(
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
        """Return the voters and the coordinators heard recently, this one included."""
        return self.peers.list_named(self._list_voters(), anyio.current_time())

    # Periodic maintenance and leadership.

    async def _maintenance_loop(self) -> None:
        while True:
            await anyio.sleep(COORDINATOR_TURN_SECONDS)
            now = anyio.current_time()
            self.peers.prune(now)
            self.presence.prune(now)
            self._limits.prune(now)
            if self.group.is_leading():
                self._limits.start_term(self.group.replica.term, now)
                self._update_membership(now)
                self.slow_engines.check(now)
            else:
                self.slow_engines.clear()

    def _update_membership(self, now: float) -> None:
        """Send the log to standbys; propose them in place of a silent voter or as more voters.

        Standbys are the coordinators that have asked to join in the last STANDBY_SILENT_SECONDS.
        Only those with a disk that hold all committed entries can become voters.
        """
        replica = self.group.replica
        active = {
            name: disk
            for name, (disk, at) in self._standbys.items()
            if now - at < STANDBY_SILENT_SECONDS
        }
        if set(replica.learners) != set(active):
            replica.set_learners(active)
        caught_up = [m for m in replica.list_caught_up() if active.get(m.name)]
        heard = replica.list_responsive(now - MAX_VOTER_SILENCE_SECONDS) | {self.options.name}
        planned = plan_voters(replica.members, heard, caught_up)
        if planned is None or not replica.get_stable_members():
            return
        outcome = replica.propose_members(planned, now)
        if not isinstance(outcome, Failure):
            names = [member.name for member in planned]
            silent = sorted({member.name for member in replica.members} - heard)
            log_event(Event.MEMBERS_PLANNED, members=names, silent=silent, index=outcome)

    # Calls from other processes of the site.

    def make_router(self) -> Router:
        """Return the router for calls from gateways, other coordinators and the command line."""
        router = Router(
            _MAX_BODY_BYTES,
            channels=ChannelServer(_MAX_BODY_BYTES),
            authorize=lambda headers: check_peer(headers, self.calls.token),
        )
        router.add("POST", "/peer/", self._serve_peer)
        router.add("POST", "/site/identify", self._serve_identify)
        router.add("POST", "/site/join", self._serve_join)
        router.add("POST", "/site/share", self._serve_share)
        router.add("POST", "/site/watch", self._serve_watch)
        router.add("POST", "/site/loads", self._serve_loads)
        router.add("POST", "/site/place", self._serve_place)
        router.add("POST", "/site/await-place", self._serve_await_place)
        router.add("POST", "/site/withdraw", self._serve_withdraw)
        router.add("POST", "/site/queue", self._serve_queue)
        router.add("POST", "/site/save", self._serve_save)
        router.add("POST", "/site/read", self._serve_read)
        router.add("POST", "/site/order-zone", self._serve_zone_order)
        router.add("POST", "/site/evacuations", self._serve_evacuations)
        router.add("POST", "/site/evacuate", self._serve_evacuate)
        router.add("POST", "/site/suspects", self._serve_suspects)
        router.add("POST", "/site/paces", self._serve_paces)
        router.add("POST", "/site/release", self._serve_release)
        router.add("POST", "/site/trial", self._serve_trial)
        return router

    def _decode_request(self, request: Request, message_type: Any) -> Any:
        """Return the decoded body of an authenticated request, or a failure."""
        refusal = check_peer(request.headers, self.calls.token)
        return refusal if refusal is not None else decode(message_type, request.body)

    async def _serve_peer(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        messages = decode_messages(request.body)
        if isinstance(messages, Failure):
            return messages
        if self._ready:
            self.group.receive(messages)
        return Response(204)

    async def _serve_identify(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        answer = IdentifyAnswer(self.options.name, bool(self.options.data_dir))
        return Response(200, encode(answer))

    async def _serve_join(self, request: Request) -> Answer:
        message = self._decode_request(request, JoinRequest)
        if isinstance(message, Failure):
            return message
        self._standbys[message.name] = (message.disk, anyio.current_time())
        self.peers.note_alive(message.name, anyio.current_time())
        return Response(200, encode(ShareAnswer(self.list_coordinators() if self._ready else ())))

    async def _serve_share(self, request: Request) -> Answer:
        message = self._decode_request(request, ShareRequest)
        if isinstance(message, Failure):
            return message
        all_known = self.presence.merge_share(message)
        coordinators = self.list_coordinators() if self._ready else ()
        return Response(200, encode(ShareAnswer(coordinators, self.epoch, all_known)))

    async def _serve_watch(self, request: Request) -> Answer:
        message = self._decode_request(request, WatchRequest)
        if isinstance(message, Failure):
            return message
        if not self._ready:
            return Failure(FailureKind.NO_MAJORITY, "this coordinator is starting")
        arrived_at = anyio.current_time()
        self.presence.handle_watch(message)
        self.waits.wake()
        await self._wait_for_changes(message)
        return Response(200, encode(self._make_watch_answer(message, arrived_at)))

    async def _wait_for_changes(self, message: WatchRequest) -> None:
        with anyio.move_on_after(message.wait):
            while (
                message.epoch == self.epoch
                and message.revision == self.presence.fleet.revision
                and message.suspects == self.presence.suspects.flagged_revision
                and not self._lacks_operator_change(message)
            ):
                await self._changed.wait()
            # Wait a little for more fleet changes, which often come several at a time; but answer
            # at once if the gateway lacks an operator change or knows another epoch.
            with anyio.move_on_after(message.gather if message.epoch == self.epoch else 0):
                while not self._lacks_operator_change(message):
                    await self._changed.wait()

    def _lacks_operator_change(self, message: WatchRequest) -> bool:
        """Return whether a gateway lacks the newest configuration or zone evacuations."""
        record = self.record
        return message.version < record.document.version or message.zones < record.zones.version

    def _make_watch_answer(self, message: WatchRequest, arrived_at: float) -> WatchAnswer:
        now = anyio.current_time()
        document = self.record.document
        update = self._history.make_update(document, message.version, message.whole)
        fleet = self.presence.fleet
        same_epoch = message.epoch == self.epoch
        known_revision = message.revision if same_epoch else -1
        suspects = self.presence.suspects
        loads = (
            self.presence.sum_other_loads(message.gateway.address) if message.wants_loads else None
        )
        return WatchAnswer(
            self.epoch,
            fleet.revision,
            self.list_coordinators(),
            self.group.replica.leader,
            document.version,
            update.document,
            tuple(fleet.list_changed(now, known_revision)),
            fleet.list_ages(now),
            None if loads is None else tuple(loads),
            self.presence.count_gateways(now),
            self.presence.count_other_gateways(message.gateway.address),
            update.patch,
            suspects.list_changed(now, message.suspects if same_epoch else 0, flagged_only=True),
            suspects.flagged_revision,
            now - arrived_at,
            self.record.zones if message.zones < self.record.zones.version else None,
            self.presence.paces.tell(message.gateway.address, now) if message.wants_loads else (),
            self.presence.list_tunnels(message.gateway.address, message.gateway.zone),
        )

    async def _serve_loads(self, request: Request) -> Answer:
        message = self._decode_request(request, LoadsRequest)
        if isinstance(message, Failure):
            return message
        self.presence.loads.set_report(message.gateway, message.loads, anyio.current_time())
        self.waits.wake()
        return Response(204)

    async def _serve_place(self, request: Request) -> Answer:
        message = self._decode_place(request)
        if isinstance(message, Failure):
            return message
        if self._is_queued(message):
            return Response(200, encode(self.waits.submit(message)))
        return Response(200, encode(self._place(message, None, anyio.current_time())))

    async def _serve_await_place(self, request: Request) -> Answer:
        """Hold a request that waits for room until it gets an upstream, at most for a while."""
        message = self._decode_place(request)
        if isinstance(message, Failure):
            return message
        if self._is_queued(message):
            return Response(200, encode(await self.waits.hold(message)))
        # The configuration changed meanwhile, and nobody waits any more.
        message = replace(message, patient=False)
        return Response(200, encode(self._place(message, None, anyio.current_time())))

    async def _serve_withdraw(self, request: Request) -> Answer:
        message = self._decode_request(request, WithdrawRequest)
        if isinstance(message, Failure):
            return message
        self.waits.withdraw(message.service, message.gateway, message.ticket)
        return Response(204)

    async def _serve_queue(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        if not self._ready or not self.group.is_leading():
            return self.group.make_redirect()
        return Response(200, encode(QueueAnswer(tuple(self.waits.list_waiting()))))

    def _decode_place(self, request: Request) -> PlaceRequest | Failure:
        """Return a request for an upstream, or why this coordinator can't place it."""
        message: PlaceRequest | Failure = self._decode_request(request, PlaceRequest)
        if isinstance(message, Failure):
            return message
        if not self._ready or not self.group.is_leading():
            return Failure(FailureKind.NOT_LEADER, "only the leading coordinator places requests")
        if not self.presence.has_enough_load_reports(anyio.current_time()):
            return Failure(FailureKind.NO_LEASE, "too few gateways have reported their load")
        if message.service not in self._services:
            return Failure(FailureKind.NOT_FOUND, f"no service {message.service}")
        return message

    def _may_place(self) -> bool:
        """Return whether this coordinator places requests now."""
        if not self._ready or not self.group.is_leading():
            return False
        return self.presence.has_enough_load_reports(anyio.current_time())

    def _is_queued(self, message: PlaceRequest) -> bool:
        """Return whether a request waits in order if there is no room for it."""
        if message.demand is None or not message.ticket or message.only:
            return False
        return self._contentions.get(message.service, NO_CONTENTION).is_ordered()

    def _place(self, message: PlaceRequest, reserve: Reserve | None, now: float) -> PlaceAnswer:
        """Choose an upstream for a request."""
        service = self._services.get(message.service)
        if service is None:
            return PlaceAnswer("")
        self._limits.start_term(self.group.replica.term, now)
        zones = self.record.zones.zones
        contention = self._contentions.get(service.name, NO_CONTENTION)
        with self.presence.wake_on_fleet_change():
            return self._placer.place(message, service, now, zones, contention, reserve)

    async def _serve_save(self, request: Request) -> Answer:
        """Commit a routing configuration that another coordinator forwarded."""
        message = self._decode_request(request, SaveRequest)
        if isinstance(message, Failure):
            return message
        if not self.group.is_leading():
            return self.group.make_redirect()
        # The other coordinator may run another version of the program.
        config = self.log.check(message.document.encode())
        answer: SaveAnswer | Failure
        if isinstance(config, Failure):
            answer = await self.log.find_held(message.document.encode()) or config
        else:
            answer = await self.log.save_once(config.version, message.document)
        return answer if isinstance(answer, Failure) else Response(200, encode(answer))

    async def _serve_zone_order(self, request: Request) -> Answer:
        """Carry out a zone order that another coordinator forwarded."""
        message = self._decode_request(request, ZoneOrder)
        if isinstance(message, Failure):
            return message
        if not self.group.is_leading():
            return self.group.make_redirect()
        answer = await self.log.set_zone_evacuated_once(message)
        return answer if isinstance(answer, Failure) else Response(200, encode(answer))

    async def _serve_evacuate(self, request: Request) -> Answer:
        """Carry out an operator's zone order, at this coordinator or through the leader."""
        message = self._decode_request(request, EvacuateRequest)
        if isinstance(message, Failure):
            return message
        caller = Caller(anyio.current_time())
        answer = await self.log.set_zone_evacuated(
            message.zone, message.evacuated, caller, message.base
        )
        match answer:
            case ZoneOutcome(current, superseded=True):
                reason = f"based on version {message.base} of the zones, now {current.version}"
                return Failure(FailureKind.CONFLICT, reason)
            case ZoneOutcome(current):
                return Response(200, encode(current))
        return answer

    async def _serve_evacuations(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        return Response(200, encode(self.record.evacuations))

    async def _serve_read(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        if not self.group.can_serve_reads():
            return self.group.make_redirect()
        document = self.record.document
        return Response(200, encode(ReadAnswer(document.version, document.text)))

    async def _serve_suspects(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        return Response(200, encode(self.presence.shared_suspects.list_all()))

    async def _serve_paces(self, request: Request) -> Answer:
        refusal = check_peer(request.headers, self.calls.token)
        if refusal is not None:
            return refusal
        return Response(200, encode(self.slow_engines.list_paces(anyio.current_time())))

    async def _serve_release(self, request: Request) -> Answer:
        message = self._decode_request(request, ReleaseRequest)
        if isinstance(message, Failure):
            return message
        failure = self.presence.shared_suspects.release(message.fingerprint, message.crashes)
        return failure if failure is not None else Response(204)

    async def _serve_trial(self, request: Request) -> Answer:
        message = self._decode_request(request, TrialRequest)
        if isinstance(message, Failure):
            return message
        if not self._ready or not self.group.is_leading():
            return Failure(FailureKind.NOT_LEADER, "only the leading coordinator gives trials")
        granted = self.presence.shared_suspects.grant_trial(message.fingerprint)
        return Response(200, encode(TrialAnswer(granted)))

    def _handle_zone_change(self) -> None:
        """Treat all upstreams of a zone as cold after its evacuation, until they report otherwise.

        One may have become cold since its last heartbeat, and only its next one says so.
        """
        now = anyio.current_time()
        zones = self.record.zones.zones
        seconds = OVERDUE_HEARTBEATS * self.options.heartbeat
        for zone in set(self._evacuated) - set(zones):
            self.presence.fleet.note_cold_zone(zone, seconds, now)
        self._evacuated = zones
        self._wake()

    def _handle_document_change(self) -> None:
        document = self.record.document
        self._history.add(document)
        config = self._parse_stored(document.text.encode())
        if isinstance(config, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=document.version, reason=config.reason)
        else:
            self._services = {service.name: service for service in config.services}
            self._contentions = find_contentions(config)
        self._wake()

    def _learns_paces(self, service: str) -> bool:
        """Return whether the pace of a service's engines matters, as it has guarded streams."""
        return self._contentions.get(service, NO_CONTENTION).guards_streams()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
