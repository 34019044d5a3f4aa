"""One member of a replicated log, as a pure state machine.

Events go in, effects come out; time and randomness are injected. The rules are those of Raft
with pre-vote, a leader lease, snapshots and membership changes. Two things are particular:

* a member is known by its *incarnation*, drawn when its disk is made. Votes and
  acknowledgements count only from the incarnation in the membership, so a member whose disk was
  lost can't vote until the leader has readmitted it;
* a member shows a *mark* that grows with its starts and its log. The others remember it on their
  disks, so a disk that went back to an older state is found out, distrusted and made new;
* while a membership change is not committed, each decision needs a majority of the old and of
  the new membership.

Effects must be carried out in this order: everything to save in one synced write, then messages,
then commits.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

from daleroad.defaults import (
    APPEND_MOST,
    APPEND_SECONDS,
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    LEADER_LEASE_SECONDS,
)
from daleroad.errors import Failure, FailureKind
from daleroad.logtypes import (
    AppendReply,
    AppendRequest,
    Commit,
    Distrust,
    Durable,
    Effect,
    EntryKind,
    LogEntry,
    Member,
    Message,
    SaveEntries,
    SaveSettled,
    SaveSnapshot,
    SaveStanding,
    SaveVote,
    Send,
    Snapshot,
    SnapshotRequest,
    Standing,
    VoteReply,
    VoteRequest,
)
from daleroad.quorum import find_majority_value, is_majority, list_memberships
from daleroad.standings import Standings


class Role(StrEnum):
    """The part a member plays in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class _Progress:
    """What a leader knows of another member."""

    next_index: int
    match: int = 0
    incarnation: str = ""
    heard: float = float("-inf")
    sent_at: float = float("-inf")
    told: tuple[Standing, ...] = ()
    knows: tuple[Standing, ...] = ()
    told_at: float = float("-inf")


@dataclass
class Replica:
    """A member's volatile and durable state, with the rules that move it.

    :param name: this member's name.
    :param peers: the names of members that are sent the log beside those in the membership.
    :param durable: what the disk held.
    :param now: the time in seconds on a clock that never goes back.
    :param random: the source of election timeouts.
    """

    name: str
    peers: tuple[str, ...]
    durable: Durable
    now: float
    random: Random
    lease_seconds: float = LEADER_LEASE_SECONDS
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    _effects: list[Effect] = field(default_factory=list)
    _votes: set[Member] = field(default_factory=set)
    _trial: bool = False
    _progress: dict[str, _Progress] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.term = self.durable.term
        self.vote = self.durable.vote
        self.incarnation = self.durable.incarnation
        self.snapshot = self.durable.snapshot
        self.log = list(self.durable.log)
        self.commit = self.snapshot.index
        settled = min(self.durable.settled, self.last_index)
        if settled > self.commit:
            self._commit_to(settled)
        # A restarted member forgot whom it heard last, so it waits as if it had just heard one.
        self._heard_leader = self.now
        self._set_election_time()
        self._standings = Standings(self.durable, self.last_index, self.random)
        self._save_standing()

    @property
    def standing(self) -> Standing:
        """How this member identifies itself."""
        return self._standings.get_own(self.incarnation)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.log[-1].term if self.log else self.snapshot.term

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, committed or not."""
        return self._memberships()[-1]

    def set_learners(self, names: Iterable[str]) -> None:
        """Replace the members that are sent the log without a vote.

        :param names: members beside the membership, for example new ones that catch up.
        """
        self.peers = tuple(sorted(set(names)))
        if self.role is not Role.LEADER:
            return
        wanted = set(self._list_peers())
        for name in wanted - set(self._progress):
            self._progress[name] = _Progress(self.last_index + 1)
        for name in set(self._progress) - wanted:
            del self._progress[name]

    def list_caught_up(self) -> list[Member]:
        """Return the members, as their disks are now, that hold all that is committed."""
        return [
            Member(name, progress.incarnation)
            for name, progress in self._progress.items()
            if progress.incarnation and progress.match >= self.commit
        ]

    def list_heard(self, since: float) -> set[str]:
        """Return the names of the members that answered this leader after a time.

        :param since: the time.
        """
        return {name for name, progress in self._progress.items() if progress.heard >= since}

    def _list_peers(self) -> list[str]:
        """Return the names of all others: those with a vote and those without."""
        voters = {member.name for members in self._memberships() for member in members}
        return sorted((voters | set(self.peers)) - {self.name})

    def get_settled_members(self) -> tuple[Member, ...]:
        """Return the membership if no change of it is under way, else nothing."""
        found = self._memberships()
        return found[0] if len(found) == 1 else ()

    def has_lease(self, now: float) -> bool:
        """Return whether this leader heard a majority lately enough to speak for the group.

        :param now: the time.
        """
        if self.role is not Role.LEADER:
            return False
        return now < self._majority_heard() + self.lease_seconds

    def get_term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or nothing if the log hasn't got it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.log[index - self.snapshot.index - 1].term
        return None

    def tick(self, now: float) -> list[Effect]:
        """Let time pass.

        :param now: the time.
        """
        self.now = max(self.now, now)
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self.now >= self._election_at and self._may_vote():
            self._start_election(trial=True)
        return self._take_effects()

    def propose(self, payloads: Iterable[str], now: float) -> list[int] | Failure:
        """Append changes to the log as leader and return their indexes.

        The effects are fetched by the next :meth:`take`.

        :param payloads: one text a change.
        :param now: the time.
        """
        self.now = max(self.now, now)
        if not self.has_lease(now):
            return Failure(FailureKind.NOT_LEADER, self.leader)
        fresh = self._append(EntryKind.CHANGE, list(payloads))
        self._send_appends(force=False)
        return [entry.index for entry in fresh]

    def propose_members(self, members: tuple[Member, ...], now: float) -> Failure | int:
        """Append a new membership; one at a time, and only once this term has committed.

        :param members: the whole new membership.
        :param now: the time.
        """
        self.now = max(self.now, now)
        if not self.has_lease(now):
            return Failure(FailureKind.NOT_LEADER, self.leader)
        if len(self._memberships()) > 1 or self.get_term_at(self.commit) != self.term:
            return Failure(FailureKind.CONFLICT, "another membership change is under way")
        entry = LogEntry(self.last_index + 1, self.term, EntryKind.MEMBERS, "", members)
        self._extend((entry,))
        self._send_appends(force=False)
        return entry.index

    def receive(self, message: Message, now: float) -> list[Effect]:
        """Take a message from another member.

        :param message: the message.
        :param now: the time.
        """
        self.now = max(self.now, now)
        match message:
            case VoteRequest():
                self._take_vote_request(message)
            case VoteReply():
                self._take_vote_reply(message)
            case AppendRequest():
                self._take_append(message)
            case AppendReply():
                self._take_append_reply(message)
            case SnapshotRequest():
                self._take_snapshot(message)
            case Distrust():
                self._take_distrust(message)
        return self._take_effects()

    def compact(self, index: int, state: str) -> list[Effect]:
        """Replace the log up to an applied index by a snapshot.

        :param index: the last index the state includes.
        :param state: the state as text.
        """
        term = self.get_term_at(index)
        if term is None or index <= self.snapshot.index or index > self.commit:
            return []
        members = self._members_at(index)
        kept = self.log[index - self.snapshot.index :]
        self.snapshot = Snapshot(index, term, members, state)
        self.log = kept
        self._effects.append(SaveSnapshot(self.snapshot, install=False))
        return self._take_effects()

    def take(self) -> list[Effect]:
        """Return the effects that proposals left."""
        return self._take_effects()

    # Memberships and majorities.

    def _memberships(self) -> list[tuple[Member, ...]]:
        """Return the last committed membership and those after it."""
        return list_memberships(self.snapshot.members, self.log, self.commit)

    def _members_at(self, index: int) -> tuple[Member, ...]:
        earlier = (entry for entry in self.log if entry.index <= index)
        return list_memberships(self.snapshot.members, earlier, index)[0]

    def _may_vote(self) -> bool:
        """Return whether this disk is one that counts in the newest membership."""
        return Member(self.name, self.incarnation) in self.members

    def _majority_heard(self) -> float:
        heard = {Member(n, p.incarnation): p.heard for n, p in self._progress.items()}
        heard[Member(self.name, self.incarnation)] = self.now
        return find_majority_value(self._memberships(), heard)

    # Disks that went back.

    def _mark_growth(self) -> None:
        """Raise the mark when the log grew by enough entries."""
        if self._standings.needs_mark(self.last_index):
            self._standings.raise_mark(self.last_index)
            self._save_standing()

    def _save_standing(self) -> None:
        self._effects.append(SaveStanding(self.standing, self._standings.list_seen()))

    def _is_trusted(self, sender: str, standing: Standing) -> bool:
        """Return whether a member's disk has not gone back; tell it otherwise."""
        newer = self._standings.find_newer(standing)
        if newer is not None:
            self._effects.append(Send(sender, Distrust(self.name, newer)))
            return False
        if self._standings.note(standing):
            self._save_standing()
        return True

    def _learn_seen(self, seen: tuple[Standing, ...]) -> None:
        """Take over what the leader has seen of other disks."""
        if self._standings.learn(seen, self.incarnation):
            self._save_standing()

    def get_seen(self) -> dict[str, Standing]:
        """Return the newest standing seen of each other disk, by incarnation."""
        return self._standings.get_seen()

    def _take_distrust(self, message: Distrust) -> None:
        """Become a member with a new disk if this one went back."""
        seen = message.seen
        if seen.incarnation != self.incarnation or self.standing.includes(seen):
            return
        self.incarnation = f"{self.random.getrandbits(128):032x}"
        self._save_standing()
        self._follow(self.term, "")

    # Elections.

    def _set_election_time(self) -> None:
        self._election_at = self.now + self.random.uniform(
            ELECTION_MIN_SECONDS, ELECTION_MAX_SECONDS
        )

    def _start_election(self, trial: bool) -> None:
        self._set_election_time()
        self.role = Role.CANDIDATE
        self.leader = ""
        self._trial = trial
        self._votes = {Member(self.name, self.incarnation)}
        if not trial:
            self._set_term(self.term + 1, self.name)
        term = self.term + 1 if trial else self.term
        request = VoteRequest(
            term, self.name, self.standing, self.last_index, self.last_term, trial
        )
        self._effects.extend(Send(peer, request) for peer in self._list_peers())
        self._count_votes()

    def _count_votes(self) -> None:
        if not is_majority(self._memberships(), self._votes):
            return
        if self._trial:
            self._start_election(trial=False)
        else:
            self._lead()

    def _take_vote_request(self, request: VoteRequest) -> None:
        fresh = self.now < self._heard_leader + ELECTION_MIN_SECONDS
        leading = self.role is Role.LEADER and self.has_lease(self.now)
        newer = (request.last_term, request.last_index) >= (self.last_term, self.last_index)
        may = self._may_vote() and newer and not fresh and not leading
        may = self._is_trusted(request.sender, request.standing) and may
        if request.trial:
            granted = may and request.term > self.term
            self._reply_vote(request, granted)
            return
        if fresh or leading:
            self._reply_vote(request, False)
            return
        if request.term > self.term:
            self._follow(request.term, "")
        granted = may and request.term == self.term and self.vote in ("", request.sender)
        if granted:
            self._set_term(self.term, request.sender)
            self._set_election_time()
        self._reply_vote(request, granted)

    def _reply_vote(self, request: VoteRequest, granted: bool) -> None:
        reply = VoteReply(
            request.term if granted else self.term,
            self.name,
            self.standing,
            granted,
            request.trial,
        )
        self._effects.append(Send(request.sender, reply))

    def _take_vote_reply(self, reply: VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._follow(reply.term, "")
            return
        expected = self.term + 1 if reply.trial else self.term
        if self.role is not Role.CANDIDATE or reply.trial != self._trial or reply.term != expected:
            return
        if not self._is_trusted(reply.sender, reply.standing):
            return
        self._votes.add(Member(reply.sender, reply.standing.incarnation))
        self._count_votes()

    def _set_term(self, term: int, vote: str) -> None:
        if (term, vote) != (self.term, self.vote):
            self.term = term
            self.vote = vote
            self._effects.append(SaveVote(term, vote))

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self._set_term(term, "")
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress = {}
        self._set_election_time()

    # Leading.

    def _lead(self) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        incarnations = {m.name: m.incarnation for m in self._votes}
        self._progress = {
            peer: _Progress(self.last_index + 1, incarnation=incarnations.get(peer, ""))
            for peer in self._list_peers()
        }
        self._led_since = self.now
        self._append(EntryKind.EMPTY, [""])
        self._send_appends(force=True)

    def _tick_leader(self) -> None:
        silent_since = max(self._majority_heard(), self._led_since)
        if self.now > silent_since + ELECTION_MIN_SECONDS:
            self._follow(self.term, "")
            return
        self._send_appends(force=False)

    def _append(self, kind: EntryKind, payloads: list[str]) -> tuple[LogEntry, ...]:
        first = self.last_index + 1
        fresh = tuple(
            LogEntry(first + offset, self.term, kind, payload)
            for offset, payload in enumerate(payloads)
        )
        self._extend(fresh)
        return fresh

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        self.log.extend(entries)
        self._effects.append(SaveEntries(entries[0].index, entries))
        self._save_commit()
        self._mark_growth()
        self._advance_commit()

    def _send_appends(self, force: bool) -> None:
        for peer, progress in self._progress.items():
            due = self.now >= progress.sent_at + APPEND_SECONDS
            if force or due or progress.next_index <= self.last_index:
                self._send_append(peer, progress)

    def _send_append(self, peer: str, progress: _Progress) -> None:
        progress.sent_at = self.now
        prev = progress.next_index - 1
        prev_term = self.get_term_at(prev)
        if prev_term is None:
            self._effects.append(
                Send(peer, SnapshotRequest(self.term, self.name, self.snapshot, self.now))
            )
            progress.next_index = self.snapshot.index + 1
            return
        start = prev - self.snapshot.index
        entries = tuple(self.log[start : start + APPEND_MOST])
        request = AppendRequest(
            self.term,
            self.name,
            prev,
            prev_term,
            entries,
            self.commit,
            self.now,
            self._tell_seen(progress),
        )
        # Sent entries count as under way; a refusal or a heartbeat mismatch sets this back.
        progress.next_index += len(entries)
        self._effects.append(Send(peer, request))

    def _tell_seen(self, progress: _Progress) -> tuple[Standing, ...]:
        """Return the standings seen, until the member has acknowledged a message with them."""
        seen = (self.standing, *self._standings.list_seen())
        if seen == progress.knows:
            return ()
        if seen != progress.told:
            progress.told = seen
            progress.told_at = self.now
        return seen

    def _take_append_reply(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._follow(reply.term, "")
            return
        progress = self._progress.get(reply.sender)
        if self.role is not Role.LEADER or reply.term != self.term or progress is None:
            return
        if not self._is_trusted(reply.sender, reply.standing):
            return
        if reply.standing.incarnation != progress.incarnation:
            progress.incarnation = reply.standing.incarnation
            progress.match = 0
        progress.heard = max(progress.heard, reply.sent_at)
        if reply.sent_at >= progress.told_at:
            progress.knows = progress.told
        if reply.ok:
            progress.match = max(progress.match, reply.last_index)
            progress.next_index = max(progress.next_index, progress.match + 1)
            self._advance_commit()
            self._readmit(reply.sender, progress)
            return
        if reply.last_index < progress.match:
            # The disk went back behind what it acknowledged: nothing it said counts any more.
            progress.match = 0
        progress.next_index = max(1, min(reply.last_index + 1, progress.next_index - 1))
        self._send_append(reply.sender, progress)

    def _readmit(self, name: str, progress: _Progress) -> None:
        """Let a member with a new disk vote again once it holds all that is committed."""
        member = Member(name, progress.incarnation)
        names = [m.name for m in self.members]
        if member in self.members or name not in names or progress.match < self.commit:
            return
        changed = tuple(member if m.name == name else m for m in self.members)
        self.propose_members(changed, self.now)

    def _advance_commit(self) -> None:
        if self.role is not Role.LEADER:
            return
        matches = {Member(n, p.incarnation): float(p.match) for n, p in self._progress.items()}
        matches[Member(self.name, self.incarnation)] = float(self.last_index)
        reached = find_majority_value(self._memberships(), matches)
        if reached > self.commit and self.get_term_at(int(reached)) == self.term:
            self._commit_to(int(reached))

    def _commit_to(self, index: int) -> None:
        first = self.commit - self.snapshot.index
        self.commit = index
        entries = tuple(self.log[first : index - self.snapshot.index])
        self._effects.append(Commit(entries))
        if not any(entry.kind is EntryKind.MEMBERS for entry in entries):
            return
        # Until a member knows that the change is committed, also after a restart, it needs
        # majorities of both memberships, and the old one may have lost a disk.
        self._effects.append(SaveSettled(index))
        if self.role is Role.LEADER:
            self._send_appends(force=True)

    # Following.

    def _take_append(self, request: AppendRequest) -> None:
        if request.term < self.term:
            self._reply_append(request, False, self.last_index)
            return
        self._heed(request.term, request.sender)
        self._learn_seen(request.seen)
        if request.prev_index < self.snapshot.index:
            self._reply_append(request, False, self.snapshot.index)
            return
        if self.get_term_at(request.prev_index) != request.prev_term:
            hint = min(self.last_index, max(request.prev_index - 1, self.snapshot.index))
            self._reply_append(request, False, hint)
            return
        merged = self._merge(request.entries)
        last = request.prev_index + len(request.entries)
        if min(request.commit, last) > self.commit:
            self._commit_to(min(request.commit, last))
        if merged:
            self._save_commit()
        self._reply_append(request, True, last)

    def _heed(self, term: int, leader: str) -> None:
        """Accept a leader of this or a newer term."""
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != leader:
            self._follow(term, leader)
        self._heard_leader = self.now
        self._set_election_time()

    def _merge(self, entries: tuple[LogEntry, ...]) -> bool:
        """Take over entries of a leader; return whether any was new."""
        for offset, entry in enumerate(entries):
            if self.get_term_at(entry.index) == entry.term:
                continue
            del self.log[entry.index - self.snapshot.index - 1 :]
            fresh = entries[offset:]
            self.log.extend(fresh)
            self._effects.append(SaveEntries(entry.index, fresh))
            self._mark_growth()
            return True
        return False

    def _save_commit(self) -> None:
        """Save what is known as committed, in the write that saves entries anyway.

        A member that starts again can then apply it at once. Where all members were down, nobody
        could otherwise do so until one of them leads: 0.9 s later in a loss of all power.
        """
        if self.commit > self.snapshot.index:
            self._effects.append(SaveSettled(self.commit))

    def _reply_append(
        self, request: AppendRequest | SnapshotRequest, ok: bool, last_index: int
    ) -> None:
        reply = AppendReply(self.term, self.name, self.standing, ok, last_index, request.sent_at)
        self._effects.append(Send(request.sender, reply))

    def _take_snapshot(self, request: SnapshotRequest) -> None:
        if request.term < self.term:
            self._reply_append(request, False, self.last_index)
            return
        self._heed(request.term, request.sender)
        if request.snapshot.index > self.commit:
            self.snapshot = request.snapshot
            self.log = []
            self.commit = request.snapshot.index
            self._effects.append(SaveSnapshot(replace(request.snapshot), install=True))
        self._reply_append(request, True, max(self.commit, request.snapshot.index))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
