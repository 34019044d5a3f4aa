"""Runs one member of a replicated log: storage, messages and the state it drives."""

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from daleroad.calls import Calls
from daleroad.codec import decode, encode, register_union
from daleroad.consensus import Replica, Role
from daleroad.defaults import (
    PEER_TIMEOUT_SECONDS,
    SNAPSHOT_BYTES,
    SNAPSHOT_ENTRIES,
    STORAGE_RETRY_SECONDS,
    TICK_SECONDS,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.logtypes import (
    Commit,
    Effect,
    EntryKind,
    LogEntry,
    Message,
    SaveSnapshot,
    Send,
)
from daleroad.storage import Storage

_OUTBOX_MOST = 256

register_union(Message)


class Machine(Protocol):
    """A deterministic state driven by a log."""

    def apply_payload(self, index: int, payload: str) -> Any:
        """Apply a committed payload and return its outcome."""

    def dump(self) -> str:
        """Return the state as text."""

    def load(self, text: str) -> None:
        """Replace the state by a dumped one."""


@dataclass
class _Proposal:
    """A change on its way through the log."""

    payload: str
    done: anyio.Event = field(default_factory=anyio.Event)
    term: int = 0
    outcome: Any = None


@dataclass(frozen=True)
class _Received:
    message: Message


class Group:
    """One member of one replicated log.

    :param name: the group's name, the same on all members.
    :param member: this member's name.
    :param urls: base URLs of all members.
    :param storage: the durable part.
    :param machine: the state that the log drives.
    :param links: connections to the others.
    :param random: source of election timeouts.
    :param locate: returns the base URL of a member that ``urls`` has not; without it members are
        fixed.
    """

    def __init__(
        self,
        name: str,
        member: str,
        urls: dict[str, str],
        storage: Storage,
        machine: Machine,
        links: Calls,
        random: Random,
        locate: Callable[[str], str] | None = None,
    ) -> None:
        self.name = name
        self.member = member
        self.machine = machine
        self.applied = 0
        self.on_applied: Callable[[], None] = lambda: None
        self._urls = dict(urls)
        self._locate = locate
        self._tasks: TaskGroup | None = None
        self._logged_bytes = 0
        self._storage = storage
        self._links = links
        self._random = random
        self._waiting: dict[int, _Proposal] = {}
        self._proposals: list[_Proposal] = []
        self._inbox: list[_Received] = []
        self._stopped = False
        self._wake = anyio.Event()
        self._outboxes: dict[str, list[Message]] = {}
        self._outbox_wakes: dict[str, anyio.Event] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Load the state and start to take part.

        :param tasks: runs this member's tasks.
        """
        self._tasks = tasks
        await self._start()
        tasks.start_soon(self._loop)

    async def _start(self) -> None:
        """Take part with what the disk holds."""
        durable = self._storage.load()
        peers = tuple(peer for peer in self._urls if peer != self.member)
        self.replica = Replica(self.member, peers, durable, anyio.current_time(), self._random)
        if durable.snapshot.state:
            self.machine.load(durable.snapshot.state)
        self.applied = durable.snapshot.index
        self._logged_bytes = sum(len(entry.payload) for entry in durable.log)
        await self._carry_out(self.replica.take())

    def is_leading(self) -> bool:
        """Return whether this member leads and has heard a majority lately."""
        return self.replica.has_lease(anyio.current_time())

    def has_served_term(self) -> bool:
        """Return whether this leader has applied an entry of its own term."""
        return (
            self.is_leading()
            and self.replica.get_term_at(self.replica.commit) == self.replica.term
            and self.applied == self.replica.commit
        )

    def get_leader_url(self) -> str | None:
        """Return the base URL of the leader, if one is known."""
        return self._find_url(self.replica.leader) if self.replica.leader else None

    def _find_url(self, name: str) -> str | None:
        if name not in self._urls and self._locate is not None:
            self._urls[name] = self._locate(name)
        return self._urls.get(name)

    def refuse(self) -> Failure:
        """Return the failure that sends a caller to the leader."""
        url = self.get_leader_url()
        if url is None or self.replica.leader == self.member:
            return Failure(FailureKind.NO_MAJORITY, "no leader is known", Ran.NO, 1.0)
        return Failure(FailureKind.NOT_LEADER, url)

    def receive(self, messages: list[Message]) -> None:
        """Take messages from another member.

        :param messages: in the order they were sent.
        """
        self._inbox.extend(_Received(message) for message in messages)
        self._wake.set()

    async def propose(self, payload: str) -> Any:
        """Append a change and return its outcome once it is committed and applied.

        A failure of kind ``leadership-lost`` means that the change may still be committed.

        :param payload: the change as text.
        """
        if not self.is_leading() or self._stopped:
            return self.refuse()
        proposal = _Proposal(payload)
        self._proposals.append(proposal)
        self._wake.set()
        await proposal.done.wait()
        return proposal.outcome

    def stop(self) -> None:
        """Take no more proposals, and end those under way without their outcome."""
        self._stopped = True
        for proposal in (*self._waiting.values(), *self._proposals):
            self._finish(proposal, _lost())
        self._waiting = {}
        self._proposals = []

    async def _loop(self) -> None:
        while True:
            with anyio.move_on_after(TICK_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()
            try:
                await self._step()
            except sqlite3.Error as error:
                await self._restart(str(error))

    async def _restart(self, reason: str) -> None:
        """Start anew from the disk after it refused a write.

        What was not saved must not be told to anyone, so all that was under way is dropped.
        """
        log_event(Event.STORAGE_FAILED, group=self.name, reason=reason)
        for proposal in (*self._waiting.values(), *self._proposals):
            self._finish(proposal, _lost())
        self._waiting = {}
        self._proposals = []
        self._inbox = []
        while True:
            await anyio.sleep(STORAGE_RETRY_SECONDS)
            try:
                self._storage.roll_back()
                await self._start()
            except sqlite3.Error:
                continue
            log_event(Event.STORAGE_REGAINED, group=self.name, index=self.replica.last_index)
            return

    async def _step(self) -> None:
        was = self.replica.role
        now = anyio.current_time()
        effects: list[Effect] = []
        inbox, self._inbox = self._inbox, []
        for received in inbox:
            effects.extend(self.replica.receive(received.message, now))
        self._append_proposals(now)
        effects.extend(self.replica.tick(now))
        await self._carry_out(effects)
        self._note_role(was)
        self._fail_lost()
        await self._compact()

    def _append_proposals(self, now: float) -> None:
        proposals, self._proposals = self._proposals, []
        if not proposals:
            return
        indexes = self.replica.propose([p.payload for p in proposals], now)
        if isinstance(indexes, Failure):
            for proposal in proposals:
                self._finish(proposal, self.refuse())
            return
        for index, proposal in zip(indexes, proposals, strict=True):
            proposal.term = self.replica.term
            self._waiting[index] = proposal

    async def _carry_out(self, effects: list[Effect]) -> None:
        saves = [e for e in effects if not isinstance(e, Send | Commit)]
        if saves:
            await anyio.to_thread.run_sync(self._storage.save, saves)
        for effect in effects:
            match effect:
                case SaveSnapshot(snapshot, True):
                    self.machine.load(snapshot.state)
                    self.applied = snapshot.index
                    log_event(Event.SNAPSHOT_INSTALLED, group=self.name, index=snapshot.index)
                    self.on_applied()
                case Send(to, message):
                    self._post(to, message)
                case Commit(entries):
                    for entry in entries:
                        self._apply(entry)
                    self.on_applied()

    def _apply(self, entry: LogEntry) -> None:
        outcome = None
        self._logged_bytes += len(entry.payload)
        match entry.kind:
            case EntryKind.CHANGE:
                outcome = self.machine.apply_payload(entry.index, entry.payload)
            case EntryKind.MEMBERS:
                log_event(Event.MEMBER_READMITTED, group=self.name, members=len(entry.members))
            case EntryKind.EMPTY:
                pass
        self.applied = entry.index
        proposal = self._waiting.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            self._finish(proposal, outcome)
        else:
            self._finish(proposal, _lost())

    def _fail_lost(self) -> None:
        """End proposals that this member can't see to the end as leader any more."""
        if self.replica.role is Role.LEADER:
            return
        for proposal in self._waiting.values():
            self._finish(proposal, _lost())
        self._waiting = {}

    def _finish(self, proposal: _Proposal, outcome: Any) -> None:
        proposal.outcome = outcome
        proposal.done.set()

    def _note_role(self, was: Role) -> None:
        role = self.replica.role
        if role is Role.LEADER and was is not Role.LEADER:
            log_event(Event.LEADER_ELECTED, group=self.name, term=self.replica.term)
        if was is Role.LEADER and role is not Role.LEADER:
            log_event(Event.LEADER_STEPPED_DOWN, group=self.name, term=self.replica.term)

    async def _compact(self) -> None:
        many = self.applied - self.replica.snapshot.index >= SNAPSHOT_ENTRIES
        large = self._logged_bytes >= SNAPSHOT_BYTES and self.applied > self.replica.snapshot.index
        if not many and not large:
            return
        self._logged_bytes = 0
        effects = self.replica.compact(self.applied, self.machine.dump())
        await self._carry_out(effects)
        log_event(Event.SNAPSHOT_TAKEN, group=self.name, index=self.applied)

    def _post(self, to: str, message: Message) -> None:
        outbox = self._open_outbox(to)
        outbox.append(message)
        # The protocol recovers from lost messages, so a slow link loses the oldest.
        del outbox[:-_OUTBOX_MOST]
        self._outbox_wakes[to].set()

    def _open_outbox(self, peer: str) -> list[Message]:
        if peer not in self._outboxes and self._tasks is not None:
            self._outboxes[peer] = []
            self._outbox_wakes[peer] = anyio.Event()
            self._tasks.start_soon(self._send_loop, peer)
        return self._outboxes[peer]

    async def _send_loop(self, peer: str) -> None:
        url = f"{self._find_url(peer)}/peer/{self.name}"
        while True:
            await self._outbox_wakes[peer].wait()
            self._outbox_wakes[peer] = anyio.Event()
            batch, self._outboxes[peer] = self._outboxes[peer], []
            body = encode_messages(batch)
            await self._links.call(url, body, type(None), PEER_TIMEOUT_SECONDS)


def encode_messages(messages: list[Message]) -> bytes:
    """Return messages as one JSON document.

    :param messages: the messages.
    """
    return encode(messages, list[Message])


def decode_messages(body: bytes) -> list[Message] | Failure:
    """Return the messages in a JSON document, or a failure.

    :param body: the document.
    """
    return decode(list[Message], body)


def _lost() -> Failure:
    reason = "this member stopped leading before the change was committed"
    return Failure(FailureKind.LEADERSHIP_LOST, reason, Ran.UNKNOWN, 1.0)
