"""Runtime of a Raft replica: drives the consensus core and executes its effects.

It persists the log, exchanges messages with the other members, applies committed entries to a state
machine and takes snapshots.
"""

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
    MAX_LOG_BYTES,
    MAX_LOG_ENTRIES,
    PEER_TIMEOUT_SECONDS,
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

_MAX_OUTBOX_MESSAGES = 256

register_union(Message)


class StateMachine(Protocol):
    """A deterministic state machine that applies the committed entries of a log.

    After a failed write the replica restarts from disk and the state machine goes on: an older
    state may then be loaded, and entries may be applied again. Neither may do harm.
    """

    def apply_payload(self, index: int, payload: str) -> Any:
        """Apply a committed payload and return its outcome."""

    def dump(self) -> str:
        """Return the serialised state."""

    def load(self, text: str) -> None:
        """Replace the state by a serialised one."""


@dataclass
class _Proposal:
    """A proposed change whose outcome a caller awaits.

    :ivar done: set once the outcome is there.
    :ivar term: term in which the change was appended to the log; 0 until then.
    """

    payload: str
    done: anyio.Event = field(default_factory=anyio.Event)
    term: int = 0
    outcome: Any = None


@dataclass(frozen=True)
class _Received:
    """A message from another member, to be processed in the next step."""

    message: Message


class RaftNode:
    """One member of a replicated log.

    :param name: the name of the group, the same on all members.
    :param member: this member's name.
    :param urls: base URLs by member name. These members get the log at first, voters or not.
    :param storage: the durable state.
    :param machine: the state machine that applies committed entries.
    :param links: calls to the other members.
    :param random: source of election timeouts and identifiers.
    :param locate: returns the base URL of a member that is not in ``urls``. Without it, ``urls``
        must name all members.
    """

    def __init__(
        self,
        name: str,
        member: str,
        urls: dict[str, str],
        storage: Storage,
        machine: StateMachine,
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
        self._logged_characters = 0
        self._storage = storage
        self._links = links
        self._random = random
        self._pending: dict[int, _Proposal] = {}
        self._queued: list[_Proposal] = []
        self._inbox: list[_Received] = []
        self._stopped = False
        self._wake = anyio.Event()
        self._outboxes: dict[str, list[Message]] = {}
        self._outbox_wakes: dict[str, anyio.Event] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Load the durable state and start this member's tasks.

        :param tasks: the task group that the tasks run in.
        """
        self._tasks = tasks
        await self._start()
        tasks.start_soon(self._loop)

    async def _start(self) -> None:
        """Create the replica and restore the state machine from the durable state."""
        durable = self._storage.load()
        peers = tuple(peer for peer in self._urls if peer != self.member)
        self.replica = Replica(self.member, peers, durable, anyio.current_time(), self._random)
        if durable.snapshot.state:
            self.machine.load(durable.snapshot.state)
        self.applied = durable.snapshot.index
        self._logged_characters = sum(len(entry.payload) for entry in durable.log)
        await self._execute(self.replica.take_effects())

    def is_leading(self) -> bool:
        """Return whether this member leads and holds the leader lease."""
        return self.replica.has_lease(anyio.current_time())

    def can_serve_reads(self) -> bool:
        """Return whether this member leads and may serve reads.

        It must have committed an entry of its own term and applied all committed entries.
        """
        return (
            self.is_leading()
            and self.replica.get_term_at(self.replica.commit_index) == self.replica.term
            and self.applied == self.replica.commit_index
        )

    def get_leader_url(self) -> str | None:
        """Return the base URL of the leader, if one is known."""
        return self._find_url(self.replica.leader) if self.replica.leader else None

    def _find_url(self, name: str) -> str | None:
        if name not in self._urls and self._locate is not None:
            self._urls[name] = self._locate(name)
        return self._urls.get(name)

    def make_redirect(self) -> Failure:
        """Return the failure for a request that this member can't serve.

        It names the base URL of the leader if another member is known to lead. Otherwise, also if
        this member leads but can't serve, it asks the caller to retry.
        """
        url = self.get_leader_url()
        if url is None or self.replica.leader == self.member:
            return Failure(FailureKind.NO_MAJORITY, "no leader can serve this yet", Ran.NO, 1.0)
        return Failure(FailureKind.NOT_LEADER, url)

    def receive(self, messages: list[Message]) -> None:
        """Queue messages from another member.

        :param messages: the messages in the order in which they were sent.
        """
        self._inbox.extend(_Received(message) for message in messages)
        self._wake.set()

    async def propose(self, payload: str) -> Any:
        """Append a change and return its outcome once it is committed and applied.

        After a failure of kind ``leadership-lost`` the change may still be committed.

        :param payload: the serialised change.
        """
        if not self.is_leading() or self._stopped:
            return self.make_redirect()
        proposal = _Proposal(payload)
        self._queued.append(proposal)
        self._wake.set()
        await proposal.done.wait()
        return proposal.outcome

    def stop(self) -> None:
        """Reject new proposals and fail all outstanding ones."""
        self._stopped = True
        for proposal in (*self._pending.values(), *self._queued):
            self._finish(proposal, _make_leadership_lost())
        self._pending = {}
        self._queued = []

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
        """Restart the replica from disk after a failed write.

        Nothing unsaved may be sent or applied, so outstanding proposals fail and received messages
        are dropped.
        """
        log_event(Event.STORAGE_FAILED, group=self.name, reason=reason)
        for proposal in (*self._pending.values(), *self._queued):
            self._finish(proposal, _make_leadership_lost())
        self._pending = {}
        self._queued = []
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
        previous_role = self.replica.role
        now = anyio.current_time()
        effects: list[Effect] = []
        inbox, self._inbox = self._inbox, []
        for received in inbox:
            effects.extend(self.replica.receive(received.message, now))
        self._append_proposals(now)
        effects.extend(self.replica.tick(now))
        await self._execute(effects)
        self._log_role_change(previous_role)
        self._fail_pending()
        await self._compact()

    def _append_proposals(self, now: float) -> None:
        proposals, self._queued = self._queued, []
        if not proposals:
            return
        indexes = self.replica.propose([p.payload for p in proposals], now)
        if isinstance(indexes, Failure):
            for proposal in proposals:
                self._finish(proposal, self.make_redirect())
            return
        for index, proposal in zip(indexes, proposals, strict=True):
            proposal.term = self.replica.term
            self._pending[index] = proposal

    async def _execute(self, effects: list[Effect]) -> None:
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
                    self._enqueue_message(to, message)
                case Commit(entries):
                    for entry in entries:
                        self._apply(entry)
                    self.on_applied()

    def _apply(self, entry: LogEntry) -> None:
        outcome = None
        self._logged_characters += len(entry.payload)
        match entry.kind:
            case EntryKind.CHANGE:
                outcome = self.machine.apply_payload(entry.index, entry.payload)
            case EntryKind.MEMBERS:
                log_event(Event.MEMBER_READMITTED, group=self.name, members=len(entry.members))
            case EntryKind.EMPTY:
                pass
        self.applied = entry.index
        proposal = self._pending.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            self._finish(proposal, outcome)
        else:
            self._finish(proposal, _make_leadership_lost())

    def _fail_pending(self) -> None:
        """Fail the appended proposals if this member no longer leads."""
        if self.replica.role is Role.LEADER:
            return
        for proposal in self._pending.values():
            self._finish(proposal, _make_leadership_lost())
        self._pending = {}

    def _finish(self, proposal: _Proposal, outcome: Any) -> None:
        proposal.outcome = outcome
        proposal.done.set()

    def _log_role_change(self, previous: Role) -> None:
        role = self.replica.role
        if role is Role.LEADER and previous is not Role.LEADER:
            log_event(Event.LEADER_ELECTED, group=self.name, term=self.replica.term)
        if previous is Role.LEADER and role is not Role.LEADER:
            log_event(Event.LEADER_STEPPED_DOWN, group=self.name, term=self.replica.term)

    async def _compact(self) -> None:
        many = self.applied - self.replica.snapshot.index >= MAX_LOG_ENTRIES
        large = (
            self._logged_characters >= MAX_LOG_BYTES and self.applied > self.replica.snapshot.index
        )
        if not many and not large:
            return
        self._logged_characters = 0
        effects = self.replica.compact(self.applied, self.machine.dump())
        await self._execute(effects)
        log_event(Event.SNAPSHOT_TAKEN, group=self.name, index=self.applied)

    def _enqueue_message(self, to: str, message: Message) -> None:
        outbox = self._get_outbox(to)
        outbox.append(message)
        # The protocol tolerates lost messages, so the oldest are dropped when the peer is slow.
        del outbox[:-_MAX_OUTBOX_MESSAGES]
        self._outbox_wakes[to].set()

    def _get_outbox(self, peer: str) -> list[Message]:
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
    """Encode messages as a JSON document.

    :param messages: the messages.
    """
    return encode(messages, list[Message])


def decode_messages(body: bytes) -> list[Message] | Failure:
    """Decode messages from a JSON document, or return a failure.

    :param body: the document.
    """
    return decode(list[Message], body)


def _make_leadership_lost() -> Failure:
    """Return the failure of a change whose outcome this member will not learn."""
    reason = "this member stopped leading or serving; whether the change is committed is unknown"
    return Failure(FailureKind.LEADERSHIP_LOST, reason, Ran.UNKNOWN, 1.0)
