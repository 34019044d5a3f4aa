"""The control role: members of the replicated logs, and what the leader answers for them."""

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
from daleroad.claims import ClaimCommand, ClaimJournal, ClaimOutcome, Look
from daleroad.codec import decode, encode
from daleroad.daleroad_connect import LocatorASGIApplication, OperatorsASGIApplication
from daleroad.defaults import GATHER_SECONDS, STOP_KEPT_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.group import Group, decode_messages
from daleroad.links import Links
from daleroad.logtypes import Member
from daleroad.messages import (
    ClaimRequest,
    FollowAnswer,
    FollowRequest,
    MembershipAnswer,
    MembershipRequest,
)
from daleroad.operators import OperatorFace
from daleroad.ordering import OrderSender
from daleroad.records import Operator
from daleroad.roster import Roster
from daleroad.security import check_peer
from daleroad.serving import Answer, Request, Response, Router, serve_app
from daleroad.settings import Settings
from daleroad.storage import Storage

CATALOG = "catalog"
_WATCH_SECONDS = 0.2
_GRACE_SECONDS = 3.0

T = TypeVar("T")


def name_claim_group(shard: int) -> str:
    """Return the name of the group that carries a shard of the claim journal.

    :param shard: number of the shard.
    """
    return f"claims-{shard}"


def found(settings: Settings) -> None:
    """Write the founding state of a new site into an empty data folder.

    Each control process's folder is founded once; a folder that was lost is not founded again
    but filled by the leader.

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
        storage.found(own, members, catalog.dump() if name == CATALOG else "")
        storage.close()


def list_groups(settings: Settings) -> list[str]:
    """Return the names of all replicated logs.

    :param settings: the settings.
    """
    return [CATALOG, *(name_claim_group(shard) for shard in range(settings.claim_shards))]


class Control:
    """One control process.

    :param settings: its settings.
    :param random: source of election timeouts.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.machine = CatalogMachine()
        self.links = Links(settings.tls, settings.cluster_secret)
        self.groups = {name: self._make_group(name, random) for name in list_groups(settings)}
        self.group = self.groups[CATALOG]
        self.group.on_applied = self._wake_followers
        self.roster: Roster | None = None
        self._news = anyio.Event()
        self._proposing: set[str] = set()
        self.random = random
        self._stop = anyio.Event()
        self._make_metrics()

    def _make_group(self, name: str, random: Random) -> Group:
        settings = self.settings
        urls = {peer: settings.get_control_url(peer) for peer in settings.control}
        storage = Storage(Path(settings.data) / f"{name}.db")
        machine = self.machine if name == CATALOG else ClaimJournal()
        seeded = Random(random.random())
        return Group(name, settings.name, urls, storage, machine, self.links, seeded)

    def _make_metrics(self) -> None:
        self.registry = CollectorRegistry()
        self._follows = Counter("daleroad_follows", "Follow answers", registry=self.registry)
        self.changes = Counter("daleroad_changes", "Operators' changes", registry=self.registry)
        revision = Gauge("daleroad_revision", "Applied revision", registry=self.registry)
        revision.set_function(lambda: self.machine.catalog.revision)
        leading = Gauge("daleroad_leading", "1 on the leader", registry=self.registry)
        leading.set_function(lambda: float(self.group.is_leading()))

    async def run(self) -> None:
        """Serve until stopped."""
        async with anyio.create_task_group() as tasks:
            for group in self.groups.values():
                await group.run(tasks)
            tasks.start_soon(self._watch, tasks)
            settings = self.settings
            bind = settings.bind or settings.address
            grace = min(_GRACE_SECONDS, settings.stop - STOP_KEPT_SECONDS)
            await serve_app(self._make_router(), bind, settings.tls, self._stop.wait, grace)
            tasks.cancel_scope.cancel()
        await self.links.close()

    def stop(self) -> None:
        """Stop serving; a leader's followers elect another when its lease runs out."""
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
        face = OperatorFace(self)
        for app in (OperatorsASGIApplication(face), LocatorASGIApplication(face)):
            router.mount(app.path, app)  # type: ignore[arg-type]
        return router

    def _check_peer(self, request: Request) -> Failure | None:
        return check_peer(request.headers, self.settings.cluster_secret)

    async def _serve_peer(self, request: Request) -> Answer:
        refused = self._check_peer(request)
        group = self.groups.get(request.tail)
        messages = decode_messages(request.body)
        if refused is not None:
            return refused
        if group is None or isinstance(messages, Failure):
            return Failure(FailureKind.BAD_REQUEST, "no such group or wrong messages")
        group.receive(messages)
        return Response(204)

    async def _serve_follow(self, request: Request) -> Answer:
        refused = self._check_peer(request)
        asked = decode(FollowRequest, request.body)
        if refused is not None:
            return refused
        if isinstance(asked, Failure):
            return asked
        if self.roster is None or not self.group.has_served_term():
            return self.group.refuse()
        arrived_at = anyio.current_time()
        joined = await self._join(asked)
        if isinstance(joined, Failure):
            return joined
        if self.roster is not None:
            self.roster.note_applied(asked.entry.name, asked.revision)
        await self._wait_news(asked.revision)
        return self._answer_follow(asked, arrived_at)

    async def _join(self, asked: FollowRequest) -> Failure | None:
        entry = asked.entry
        if self.machine.catalog.entries.get(entry.name) == entry:
            return None
        log_event(Event.ENTRY_JOINED, name=entry.name, state=entry.state.value)
        outcome = await self.propose(SetEntry(entry))
        return outcome if isinstance(outcome, Failure) else None

    async def _wait_news(self, revision: int) -> None:
        if self.machine.catalog.changed > revision:
            return
        with anyio.move_on_after(self.settings.follow):
            while self.machine.catalog.changed <= revision and not self._stop.is_set():
                await self._news.wait()
        # Each change wakes all entries, so changes that come together are told together: the
        # leader's answers a second are bounded however many entries join at once.
        await anyio.sleep(len(self.machine.catalog.entries) * GATHER_SECONDS)

    def _answer_follow(self, asked: FollowRequest, arrived_at: float) -> Answer:
        # The lease is given only by a leader that has just heard a majority.
        if self.roster is None or not self.group.is_leading():
            return self.group.refuse()
        self._follows.inc()
        catalog = self.machine.catalog
        now = anyio.current_time()
        self.roster.follow(asked.entry.name, asked.revision, now)
        changes = self.machine.list_changes(asked.revision)
        lease = self.settings.entry_lease
        if changes is None or asked.revision > catalog.revision:
            state = catalog.dump(whole=False)
            answer = FollowAnswer(catalog.revision, lease, now - arrived_at, (), state)
        else:
            answer = FollowAnswer(catalog.revision, lease, now - arrived_at, changes)
        return Response(200, encode(answer))

    async def _serve_membership(self, request: Request) -> Answer:
        refused = self._check_peer(request)
        asked = decode(MembershipRequest, request.body)
        if refused is not None:
            return refused
        if isinstance(asked, Failure):
            return asked
        if not self.group.has_served_term():
            return self.group.refuse()
        match asked.change:
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
                return Failure(FailureKind.FORBIDDEN, "not a change of the membership")
        outcome = await self.propose(asked.change)
        if isinstance(outcome, Failure):
            return outcome
        return Response(200, encode(MembershipAnswer(outcome.version)))

    async def _serve_claim(self, request: Request) -> Answer:
        refused = self._check_peer(request)
        asked = decode(ClaimRequest, request.body)
        group = self.groups.get(name_claim_group(int(request.tail or "0")))
        if refused is not None:
            return refused
        if isinstance(asked, Failure) or group is None:
            return Failure(FailureKind.BAD_REQUEST, "no such shard or a wrong command")
        command = decode(ClaimCommand, asked.payload)
        if isinstance(command, Failure):
            return command
        outcome: ClaimOutcome | Failure
        if isinstance(command, Look):
            outcome = self._look(group, command)
        else:
            outcome = await group.propose(asked.payload)
        if isinstance(outcome, ClaimOutcome):
            return Response(200, encode(outcome))
        return outcome

    def _look(self, group: Group, command: Look) -> ClaimOutcome | Failure:
        """Read the journal at a leader that has just heard a majority; nothing is appended."""
        journal = group.machine
        if not group.has_served_term() or not isinstance(journal, ClaimJournal):
            return group.refuse()
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
            "commit": replica.commit,
            "revision": self.machine.catalog.revision,
            "members": [f"{m.name}/{m.incarnation[:12]}" for m in replica.members],
            "votes": Member(replica.name, replica.incarnation) in replica.members,
            "claims": {
                name: group.replica.commit for name, group in self.groups.items() if name != CATALOG
            },
        }
        return Response(200, orjson.dumps(status))

    async def propose(self, change: Change, by: Command | None = None) -> Outcome | Failure:
        """Append a change to the catalog's log.

        :param change: the change.
        :param by: the whole command, if an operator asked for it.
        """
        command = by or Command("", "", "", 0, time.time(), change)
        return await self.group.propose(encode(command).decode())

    async def wait_in_force(self, revision: int, seconds: float) -> bool:
        """Wait until a revision is in force on every entry; return whether it is.

        The wait ends early when this process is told to stop.

        :param revision: the revision.
        :param seconds: longest wait.
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
        self._news.set()
        self._news = anyio.Event()

    async def _watch(self, tasks: TaskGroup) -> None:
        """Keep roster and orders while this member leads; drop entries whose lease ran out."""
        order_sender = OrderSender(self.settings, self.links, self.machine.catalog, 0.0)
        while True:
            await anyio.sleep(_WATCH_SECONDS)
            if not self.group.is_leading():
                self.roster = None
                continue
            now = anyio.current_time()
            if self.roster is None:
                self.roster = Roster(self.settings.entry_lease, now)
                order_sender = OrderSender(self.settings, self.links, self.machine.catalog, now)
            order_sender.send_due(tasks, now)
            for name in list(self.roster.list_expired(self.machine.catalog.entries, now)):
                if name not in self._proposing:
                    self._proposing.add(name)
                    tasks.start_soon(self._drop_entry, name)

    async def _drop_entry(self, name: str) -> None:
        log_event(Event.ENTRY_LEFT, name=name)
        await self.propose(DropEntry(name))
        if self.roster is not None:
            self.roster.forget(name)
        self._proposing.discard(name)
