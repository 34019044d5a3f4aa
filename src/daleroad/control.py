"""The control process: a member of the replicated logs that serves the catalog while it leads."""

import time
from pathlib import Path
from random import Random
from typing import TypeVar

import anyio
import orjson
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from daleroad.catalog import (
    Catalog,
    Change,
    Command,
    DropEntry,
    DropUpstream,
    Outcome,
    SetEntry,
    SetUpstream,
)
from daleroad.catalogstate import CatalogMachine
from daleroad.changechecks import find_change_fault
from daleroad.claimjournal import ClaimCommand, ClaimJournal, ClaimOutcome, Look
from daleroad.codec import decode, encode
from daleroad.daleroad_connect import LocatorASGIApplication, OperatorsASGIApplication
from daleroad.defaults import GATHER_SECONDS, STOP_KEPT_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.links import Links
from daleroad.logtypes import Member
from daleroad.messages import (
    ClaimRequest,
    FollowAnswer,
    FollowRequest,
    MembershipAnswer,
    MembershipRequest,
)
from daleroad.operators import OperatorService
from daleroad.orderdelivery import OrderSender
from daleroad.publicmessages import CODECS
from daleroad.raftnode import RaftNode, decode_messages
from daleroad.records import Operator
from daleroad.roster import Roster
from daleroad.security import check_peer
from daleroad.serving import Answer, Request, Response, Router, make_client_table, serve_app
from daleroad.settings import Settings
from daleroad.storage import Storage

_CATALOG_GROUP = "catalog"
"""Name of the consensus group that replicates the catalog."""
_WATCH_INTERVAL_SECONDS = 0.2
"""Interval between checks for due orders and expired leases."""
_MAX_GRACE_SECONDS = 3.0
"""Longest grace period for open requests at shutdown."""

T = TypeVar("T")


def name_claim_group(shard: int) -> str:
    """Return the name of the consensus group that replicates a shard of the claim journal.

    :param shard: number of the shard.
    """
    return f"claims-{shard}"


def initialise_data_folder(settings: Settings) -> None:
    """Initialise the empty data folder of a control process of a new site.

    Each folder is initialised once. A folder that was lost later is not initialised again; the
    leader restores its contents.

    :param settings: the settings of one control process.
    """
    members = tuple(Member(name, f"founding-{name}") for name in sorted(settings.control))
    catalog = Catalog(revision=1)
    for seed in settings.operators:
        record = Operator(seed.name, seed.partner, seed.token_hash)
        catalog.store(1, "Operator", seed.name, record)
    own = f"founding-{settings.name}"
    for name in list_groups(settings):
        storage = Storage(Path(settings.data) / f"{name}.db")
        storage.bootstrap(own, members, catalog.dump() if name == _CATALOG_GROUP else "")
        storage.close()


def list_groups(settings: Settings) -> list[str]:
    """Return the names of all consensus groups, one for each replicated log.

    :param settings: settings with the number of claim shards.
    """
    return [_CATALOG_GROUP, *(name_claim_group(shard) for shard in range(settings.claim_shards))]


class Control:
    """One control process.

    :param settings: its settings.
    :param random: source of randomness for election timeouts and for the choice of located entries.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.machine = CatalogMachine()
        self.links = Links(settings.tls, settings.cluster_secret)
        self.groups = {name: self._make_group(name, random) for name in list_groups(settings)}
        self.group = self.groups[_CATALOG_GROUP]
        self.group.on_applied = self._wake_followers
        self.roster: Roster | None = None
        self._change_lock = anyio.Lock()
        self._change_event = anyio.Event()
        self._removing: set[str] = set()
        self.random = random
        self._stop = anyio.Event()
        self._make_metrics()

    def _make_group(self, name: str, random: Random) -> RaftNode:
        settings = self.settings
        urls = {peer: settings.get_control_url(peer) for peer in settings.control}
        storage = Storage(Path(settings.data) / f"{name}.db")
        machine = self.machine if name == _CATALOG_GROUP else ClaimJournal()
        group_random = Random(random.random())
        return RaftNode(name, settings.name, urls, storage, machine, self.links, group_random)

    def _make_metrics(self) -> None:
        self.registry = CollectorRegistry()
        self._follows = Counter("daleroad_follows", "Follow answers", registry=self.registry)
        self.changes = Counter("daleroad_changes", "Operators' changes", registry=self.registry)
        revision = Gauge("daleroad_revision", "Applied revision", registry=self.registry)
        revision.set_function(lambda: self.machine.catalog.revision)
        leader_gauge = Gauge("daleroad_leading", "1 on the leader", registry=self.registry)
        leader_gauge.set_function(lambda: float(self.group.is_leading()))

    async def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        async with anyio.create_task_group() as tasks:
            for group in self.groups.values():
                await group.run(tasks)
            tasks.start_soon(self._run_leader_tasks, tasks)
            settings = self.settings
            bind = settings.bind or settings.address
            grace = min(_MAX_GRACE_SECONDS, settings.stop - STOP_KEPT_SECONDS)
            await serve_app(
                self._make_router(),
                bind,
                settings.tls,
                self._stop.wait,
                grace,
                make_client_table(settings),
            )
            tasks.cancel_scope.cancel()
        await self.links.close()

    def stop(self) -> None:
        """Stop serving. If this is the leader, another is elected after its lease expires."""
        for group in self.groups.values():
            group.stop()
        self._stop.set()
        self._wake_followers()

    def _make_router(self) -> Router:
        router = Router(self.settings.body_bytes * 16)
        router.add("POST", "/peer/", self._serve_peer)
        router.add("POST", "/follow", self._serve_follow)
        router.add("POST", "/membership", self._serve_membership)
        router.add("POST", "/claims/", self._serve_claim)
        router.add("GET", "/metrics", self._serve_metrics)
        router.add("GET", "/status", self._serve_status)
        service = OperatorService(self)
        for app in (
            OperatorsASGIApplication(service, codecs=CODECS),
            LocatorASGIApplication(service, codecs=CODECS),
        ):
            router.mount(app.path, app)  # type: ignore[arg-type]
        return router

    def _check_peer(self, request: Request) -> Failure | None:
        return check_peer(request.headers, self.settings.cluster_secret)

    async def _serve_peer(self, request: Request) -> Answer:
        rejection = self._check_peer(request)
        group = self.groups.get(request.tail)
        messages = decode_messages(request.body)
        if rejection is not None:
            return rejection
        if group is None or isinstance(messages, Failure):
            return Failure(FailureKind.BAD_REQUEST, "unknown consensus group or malformed messages")
        group.receive(messages)
        return Response(204)

    async def _serve_follow(self, request: Request) -> Answer:
        rejection = self._check_peer(request)
        parsed = decode(FollowRequest, request.body)
        if rejection is not None:
            return rejection
        if isinstance(parsed, Failure):
            return parsed
        if self.roster is None or not self.group.can_serve_reads():
            return self.group.make_redirect()
        received_at = anyio.current_time()
        failure = await self._add_entry(parsed)
        if isinstance(failure, Failure):
            return failure
        if self.roster is not None:
            self.roster.note_applied(parsed.entry.name, parsed.revision)
        await self._wait_for_change(parsed.revision)
        return self._answer_follow(parsed, received_at)

    async def _add_entry(self, request: FollowRequest) -> Failure | None:
        entry = request.entry
        if self.machine.catalog.entries.get(entry.name) == entry:
            return None
        log_event(Event.ENTRY_JOINED, name=entry.name, state=entry.state.value)
        outcome = await self.propose(SetEntry(entry))
        return outcome if isinstance(outcome, Failure) else None

    async def _wait_for_change(self, revision: int) -> None:
        if self.machine.catalog.changed_revision > revision:
            return
        with anyio.move_on_after(self.settings.follow):
            while self.machine.catalog.changed_revision <= revision and not self._stop.is_set():
                await self._change_event.wait()
        # Each change wakes all entries. Gathering changes for a time in proportion to the entries
        # bounds the leader's answers per second, however many entries join at once.
        await anyio.sleep(len(self.machine.catalog.entries) * GATHER_SECONDS)

    def _answer_follow(self, request: FollowRequest, received_at: float) -> Answer:
        # Only a leader in recent contact with a majority may renew the lease of an entry.
        if self.roster is None or not self.group.is_leading():
            return self.group.make_redirect()
        self._follows.inc()
        catalog = self.machine.catalog
        now = anyio.current_time()
        self.roster.follow(request.entry.name, request.revision, now)
        changes = self.machine.list_changes(request.revision)
        lease = self.settings.entry_lease
        if changes is None or request.revision > catalog.revision:
            state = catalog.dump(include_history=False)
            answer = FollowAnswer(catalog.revision, lease, now - received_at, (), state)
        else:
            answer = FollowAnswer(catalog.revision, lease, now - received_at, changes)
        return Response(200, encode(answer))

    async def _serve_membership(self, request: Request) -> Answer:
        rejection = self._check_peer(request)
        parsed = decode(MembershipRequest, request.body)
        if rejection is not None:
            return rejection
        if isinstance(parsed, Failure):
            return parsed
        if not self.group.can_serve_reads():
            return self.group.make_redirect()
        match parsed.change:
            case SetUpstream(upstream):
                known = self.machine.catalog.upstreams.get(upstream.name)
                if known == upstream:
                    return Response(200, encode(MembershipAnswer(self.machine.catalog.revision)))
                log_event(Event.UPSTREAM_JOINED, name=upstream.name, state=upstream.state.value)
            case DropUpstream(name):
                log_event(Event.UPSTREAM_LEFT, name=name)
            case DropEntry(name):
                log_event(Event.ENTRY_LEFT, name=name)
            case _:
                return Failure(FailureKind.FORBIDDEN, "change does not concern the membership")
        outcome = await self.propose(parsed.change)
        if isinstance(outcome, Failure):
            return outcome
        return Response(200, encode(MembershipAnswer(outcome.version)))

    async def _serve_claim(self, request: Request) -> Answer:
        rejection = self._check_peer(request)
        parsed = decode(ClaimRequest, request.body)
        group = self.groups.get(name_claim_group(int(request.tail or "0")))
        if rejection is not None:
            return rejection
        if isinstance(parsed, Failure) or group is None:
            return Failure(FailureKind.BAD_REQUEST, "unknown claim shard or malformed request")
        command = decode(ClaimCommand, parsed.payload)
        if isinstance(command, Failure):
            return command
        outcome: ClaimOutcome | Failure
        if isinstance(command, Look):
            outcome = self._read_claim(group, command)
        else:
            outcome = await group.propose(parsed.payload)
        if isinstance(outcome, ClaimOutcome):
            return Response(200, encode(outcome))
        return outcome

    def _read_claim(self, group: RaftNode, command: Look) -> ClaimOutcome | Failure:
        """Read the journal without appending to the log.

        Refused unless this is the leader and has applied an entry of its own term.
        """
        journal = group.machine
        if not group.can_serve_reads() or not isinstance(journal, ClaimJournal):
            return group.make_redirect()
        return journal.apply(command)

    async def _serve_metrics(self, request: Request) -> Answer:
        return Response(200, generate_latest(self.registry), "text/plain; version=0.0.4")

    async def _serve_status(self, request: Request) -> Answer:
        replica = self.group.replica
        status = {
            "name": self.settings.name,
            "role": replica.role.value,
            "leader": replica.leader,
            "leading": self.group.is_leading(),
            "incarnation": replica.incarnation,
            "term": replica.term,
            "commit": replica.commit_index,
            "revision": self.machine.catalog.revision,
            "members": [f"{m.name}/{m.incarnation[:12]}" for m in replica.members],
            "votes": Member(replica.name, replica.incarnation) in replica.members,
            "claims": {
                name: group.replica.commit_index
                for name, group in self.groups.items()
                if name != _CATALOG_GROUP
            },
        }
        return Response(200, orjson.dumps(status))

    async def propose(self, change: Change, by: Command | None = None) -> Outcome | Failure:
        """Append a change to the catalog's log and return its outcome.

        :param change: the change.
        :param by: the full command if the change comes from an operator.
        """
        command = by or Command("", "", "", 0, time.time(), change)
        return await self.group.propose(encode(command).decode())

    async def propose_checked(self, command: Command) -> Outcome | Failure:
        """Append an operator's change unless it conflicts with other records; return its outcome.

        :param command: the change; if it was made before, its first outcome is returned.
        """
        catalog = self.machine.catalog
        # One at a time, so that each is checked against the records after the one before.
        async with self._change_lock:
            if command.operation not in catalog.answered:
                fault = find_change_fault(catalog, command.change)
                if fault is not None:
                    return fault
            return await self.propose(command.change, command)

    async def wait_in_force(self, revision: int, seconds: float) -> bool:
        """Wait until a revision is in force on all entries; return whether it is.

        The wait ends early when this process is stopped.

        :param revision: the revision.
        :param seconds: the timeout.
        """
        deadline = anyio.current_time() + seconds
        while not self._is_in_force(revision):
            if anyio.current_time() >= deadline or self._stop.is_set():
                return False
            await anyio.sleep(min(0.02, self.settings.follow))
        return True

    def _is_in_force(self, revision: int) -> bool:
        if self.roster is None or not self.group.is_leading():
            return False
        names = self.machine.catalog.entries
        return self.roster.is_in_force(revision, names, anyio.current_time())

    def _wake_followers(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    async def _run_leader_tasks(self, tasks: TaskGroup) -> None:
        """While this is the leader, send due orders and remove entries with an expired lease.

        Each term starts with a new roster and order sender.
        """
        order_sender = OrderSender(self.settings, self.links, self.machine.catalog, 0.0)
        while True:
            await anyio.sleep(_WATCH_INTERVAL_SECONDS)
            if not self.group.is_leading():
                self.roster = None
                continue
            now = anyio.current_time()
            if self.roster is None:
                self.roster = Roster(self.settings.entry_lease, now)
                order_sender = OrderSender(self.settings, self.links, self.machine.catalog, now)
            order_sender.send_due(tasks, now)
            for name in list(self.roster.list_expired(self.machine.catalog.entries, now)):
                if name not in self._removing:
                    self._removing.add(name)
                    tasks.start_soon(self._remove_entry, name)

    async def _remove_entry(self, name: str) -> None:
        log_event(Event.ENTRY_LEFT, name=name)
        await self.propose(DropEntry(name))
        if self.roster is not None:
            self.roster.forget(name)
        self._removing.discard(name)
