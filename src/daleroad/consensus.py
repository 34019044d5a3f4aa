"""Raft consensus core: one replica of a replicated log, as a state machine without I/O.

Events go in and effects come out; time and randomness are injected. The protocol is Raft with
pre-vote, a leader lease, snapshots and membership changes. It differs from Raft as follows:

* A member is identified by its name and its *incarnation*, an identifier that is replaced when the
  member's disk is lost or rolled back. It is random, except that a founder's first one is made from
  its name. Votes and acknowledgements count only from the incarnation in the membership, so a
  member whose disk was lost has no vote until the leader has readmitted it.
* A member reports its *standing*: its incarnation and its last process runs, each with a *mark*
  that grows with each start and with the log. The others persist the newest standing. A disk that
  was rolled back to an older state reports an older standing; once told so, the member takes a new
  incarnation.
* While membership changes are uncommitted, each decision needs a majority of the last committed
  membership and of every later one.

Whoever executes the effects must run all saves first, in one synced write, and then the other
effects in their order.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

from daleroad.defaults import (
    HEARTBEAT_SECONDS,
    LEADER_LEASE_SECONDS,
    MAX_APPEND_ENTRIES,
    MAX_ELECTION_TIMEOUT_SECONDS,
    MIN_ELECTION_TIMEOUT_SECONDS,
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
from daleroad.rollback import RollbackDetector


class Role(StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class _Progress:
    """A leader's replication state for another member.

    :ivar next_index: index of the next log entry to send to the member.
    :ivar match_index: highest log index known to be replicated to the member.
    :ivar incarnation: the incarnation that the member last reported; empty if not known yet.
    :ivar last_contact: when the newest append or snapshot request that the member has answered, if
        only by refusing it, was sent.
    :ivar sent_at: when the last append or snapshot request was sent to the member.
    :ivar sent_standings: the standings last sent to the member.
    :ivar acked_standings: the standings that count as acknowledged: ``sent_standings``, once the
        member has answered a request sent at ``standings_sent_at`` or later.
    :ivar standings_sent_at: when ``sent_standings`` was first sent.
    """

    next_index: int
    match_index: int = 0
    incarnation: str = ""
    last_contact: float = float("-inf")
    sent_at: float = float("-inf")
    sent_standings: tuple[Standing, ...] = ()
    acked_standings: tuple[Standing, ...] = ()
    standings_sent_at: float = float("-inf")


@dataclass
class Replica:
    """State of one replica, volatile and durable, and its transitions.

    :param name: this member's name.
    :param learners: names of the learners, which get the log without a vote. Names of voters may be
        among them, and make no difference.
    :param durable: the state loaded from disk.
    :param now: the time in seconds on a monotonic clock.
    :param random: source of election timeouts and identifiers.
    :param lease_seconds: how long a leader's lease lasts after its last contact with a majority.
    :param leader: name of the leader of the current term, or empty if it is not known.
    :param commit: index of the last committed entry.
    """

    name: str
    learners: tuple[str, ...]
    durable: Durable
    now: float
    random: Random
    lease_seconds: float = LEADER_LEASE_SECONDS
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit_index: int = 0
    _effects: list[Effect] = field(default_factory=list)
    _votes: set[Member] = field(default_factory=set)
    _pre_vote: bool = False
    _progress: dict[str, _Progress] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.term = self.durable.term
        self.voted_for = self.durable.vote
        self.incarnation = self.durable.incarnation
        self.snapshot = self.durable.snapshot
        self.log = list(self.durable.log)
        self.commit_index = self.snapshot.index
        committed = min(self.durable.settled, self.last_index)
        if committed > self.commit_index:
            self._commit_to(committed)
        # The last contact with a leader is not persisted. A restarted member assumes that it is
        # recent, and so grants no vote while a leader may still hold its lease.
        self._last_leader_contact = self.now
        self._reset_election_timeout()
        self._standings = RollbackDetector(self.durable, self.last_index, self.random)
        self._save_standing()

    @property
    def standing(self) -> Standing:
        """The incarnation and the last process runs that this member reports to the others."""
        return self._standings.get_own(self.incarnation)

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.snapshot.index + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last log entry."""
        return self.log[-1].term if self.log else self.snapshot.term

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, that is the voters, committed or not."""
        return self._list_memberships()[-1]

    def set_learners(self, names: Iterable[str]) -> None:
        """Replace the learners, which get the log without a vote.

        :param names: names of the learners, such as new members that are catching up.
        """
        self.learners = tuple(sorted(set(names)))
        if self.role is not Role.LEADER:
            return
        wanted = set(self._list_other_members())
        for name in wanted - set(self._progress):
            self._progress[name] = _Progress(self.last_index + 1)
        for name in set(self._progress) - wanted:
            del self._progress[name]

    def list_caught_up(self) -> list[Member]:
        """Return the other members that hold all committed entries, voters and learners.

        Each is returned with the incarnation that it last reported.
        """
        return [
            Member(name, progress.incarnation)
            for name, progress in self._progress.items()
            if progress.incarnation and progress.match_index >= self.commit_index
        ]

    def list_responsive(self, since: float) -> set[str]:
        """Return the names of the other members that answered a request sent since a given time.

        :param since: the earliest time at which the request was sent.
        """
        return {name for name, progress in self._progress.items() if progress.last_contact >= since}

    def _list_other_members(self) -> list[str]:
        """Return the names of all other members, voters and learners."""
        voters = {member.name for members in self._list_memberships() for member in members}
        return sorted((voters | set(self.learners)) - {self.name})

    def get_stable_members(self) -> tuple[Member, ...]:
        """Return the membership, or an empty tuple while a change of it is uncommitted."""
        memberships = self._list_memberships()
        return memberships[0] if len(memberships) == 1 else ()

    def has_lease(self, now: float) -> bool:
        """Return whether this member leads and holds a lease acknowledged by a majority.

        :param now: the current time.
        """
        if self.role is not Role.LEADER:
            return False
        return now < self._find_majority_contact_time() + self.lease_seconds

    def get_term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or ``None`` if the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.log[index - self.snapshot.index - 1].term
        return None

    def tick(self, now: float) -> list[Effect]:
        """Process timeouts.

        A leader sends what is due, such as heartbeats, or steps down if it has had no contact with
        a majority for too long. Any other voter starts an election after its election timeout.

        :param now: the current time.
        """
        self.now = max(self.now, now)
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self.now >= self._election_deadline and self._is_voter():
            self._start_election(pre_vote=True)
        return self._drain_effects()

    def propose(self, payloads: Iterable[str], now: float) -> list[int] | Failure:
        """Append changes to the log as leader and return their indexes.

        The effects are returned by the next :meth:`take_effects`, or by any other method that
        returns effects.

        :param payloads: one text per change.
        :param now: the current time.
        """
        self.now = max(self.now, now)
        if not self.has_lease(now):
            return Failure(FailureKind.NOT_LEADER, self.leader)
        appended = self._append_payloads(EntryKind.CHANGE, list(payloads))
        self._send_appends(force=False)
        return [entry.index for entry in appended]

    def propose_members(self, members: tuple[Member, ...], now: float) -> Failure | int:
        """Append a membership change to the log as leader and return its index.

        Fails while another change is uncommitted, and until an entry of this term is committed.
        The effects are returned as for :meth:`propose`.

        :param members: the complete new membership.
        :param now: the current time.
        """
        self.now = max(self.now, now)
        if not self.has_lease(now):
            return Failure(FailureKind.NOT_LEADER, self.leader)
        if len(self._list_memberships()) > 1 or self.get_term_at(self.commit_index) != self.term:
            return Failure(
                FailureKind.CONFLICT,
                "a membership change or the first entry of this term is not committed yet",
            )
        entry = LogEntry(self.last_index + 1, self.term, EntryKind.MEMBERS, "", members)
        self._append_entries((entry,))
        self._send_appends(force=False)
        return entry.index

    def receive(self, message: Message, now: float) -> list[Effect]:
        """Process a message from another member.

        :param message: the message.
        :param now: the current time.
        """
        self.now = max(self.now, now)
        match message:
            case VoteRequest():
                self._handle_vote_request(message)
            case VoteReply():
                self._handle_vote_reply(message)
            case AppendRequest():
                self._handle_append(message)
            case AppendReply():
                self._handle_append_reply(message)
            case SnapshotRequest():
                self._handle_snapshot(message)
            case Distrust():
                self._handle_distrust(message)
        return self._drain_effects()

    def compact(self, index: int, state: str) -> list[Effect]:
        """Replace the log up to a committed index by a snapshot.

        Does nothing if the index is not committed or a snapshot covers it already.

        :param index: the last index that the state includes.
        :param state: the serialised state.
        """
        term = self.get_term_at(index)
        if term is None or index <= self.snapshot.index or index > self.commit_index:
            return []
        members = self._get_membership_at(index)
        kept = self.log[index - self.snapshot.index :]
        self.snapshot = Snapshot(index, term, members, state)
        self.log = kept
        self._effects.append(SaveSnapshot(self.snapshot, install=False))
        return self._drain_effects()

    def take_effects(self) -> list[Effect]:
        """Return the pending effects, such as those of proposals, and clear them."""
        return self._drain_effects()

    # Memberships and majorities.

    def _list_memberships(self) -> list[tuple[Member, ...]]:
        """Return the last committed membership and all later, uncommitted ones."""
        return list_memberships(self.snapshot.members, self.log, self.commit_index)

    def _get_membership_at(self, index: int) -> tuple[Member, ...]:
        earlier = (entry for entry in self.log if entry.index <= index)
        return list_memberships(self.snapshot.members, earlier, index)[0]

    def _is_voter(self) -> bool:
        """Return whether this member, with its current incarnation, is in the newest membership."""
        return Member(self.name, self.incarnation) in self.members

    def _find_majority_contact_time(self) -> float:
        """Return the latest time such that a majority has answered requests sent then or later.

        A majority of each membership in force is needed. This member counts as answering now.
        """
        contacts = {Member(n, p.incarnation): p.last_contact for n, p in self._progress.items()}
        contacts[Member(self.name, self.incarnation)] = self.now
        return find_majority_value(self._list_memberships(), contacts)

    # Rollback detection.

    def _update_mark(self) -> None:
        """Raise and save the mark if the log has passed another multiple of MARK_ENTRIES."""
        if self._standings.needs_mark(self.last_index):
            self._standings.raise_mark(self.last_index)
            self._save_standing()

    def _save_standing(self) -> None:
        self._effects.append(SaveStanding(self.standing, self._standings.list_seen()))

    def _check_standing(self, sender: str, standing: Standing) -> bool:
        """Record a member's standing and return True, unless its disk was rolled back.

        A member whose disk was rolled back is notified.
        """
        newer = self._standings.find_rollback(standing)
        if newer is not None:
            self._effects.append(Send(sender, Distrust(self.name, newer)))
            return False
        if self._standings.record(standing):
            self._save_standing()
        return True

    def _merge_seen(self, seen: tuple[Standing, ...]) -> None:
        """Merge the standings that the leader has seen, and save any that are new."""
        if self._standings.merge(seen, self.incarnation):
            self._save_standing()

    def get_seen(self) -> dict[str, Standing]:
        """Return the newest standing seen of each other disk, keyed by incarnation."""
        return self._standings.get_seen()

    def _handle_distrust(self, message: Distrust) -> None:
        """Take a new incarnation if this disk was rolled back.

        The member then has no vote until the leader has readmitted it.
        """
        seen = message.seen
        if seen.incarnation != self.incarnation or self.standing.includes(seen):
            return
        self.incarnation = f"{self.random.getrandbits(128):032x}"
        self._save_standing()
        self._become_follower(self.term, "")

    # Elections.

    def _reset_election_timeout(self) -> None:
        self._election_deadline = self.now + self.random.uniform(
            MIN_ELECTION_TIMEOUT_SECONDS, MAX_ELECTION_TIMEOUT_SECONDS
        )

    def _start_election(self, pre_vote: bool) -> None:
        self._reset_election_timeout()
        self.role = Role.CANDIDATE
        self.leader = ""
        self._pre_vote = pre_vote
        self._votes = {Member(self.name, self.incarnation)}
        if not pre_vote:
            self._set_term(self.term + 1, self.name)
        term = self.term + 1 if pre_vote else self.term
        request = VoteRequest(
            term, self.name, self.standing, self.last_index, self.last_term, pre_vote
        )
        self._effects.extend(Send(peer, request) for peer in self._list_other_members())
        self._count_votes()

    def _count_votes(self) -> None:
        """With a majority, go on from the pre-vote to the election, or from that to leading."""
        if not is_majority(self._list_memberships(), self._votes):
            return
        if self._pre_vote:
            self._start_election(pre_vote=False)
        else:
            self._become_leader()

    def _handle_vote_request(self, request: VoteRequest) -> None:
        heard_leader = self.now < self._last_leader_contact + MIN_ELECTION_TIMEOUT_SECONDS
        leading = self.role is Role.LEADER and self.has_lease(self.now)
        up_to_date = (request.last_term, request.last_index) >= (self.last_term, self.last_index)
        eligible = self._is_voter() and up_to_date and not heard_leader and not leading
        # Called in any case, since it records the standing or notifies a rolled-back member.
        eligible = self._check_standing(request.sender, request.standing) and eligible
        if request.trial:
            granted = eligible and request.term > self.term
            self._reply_vote(request, granted)
            return
        if heard_leader or leading:
            self._reply_vote(request, False)
            return
        if request.term > self.term:
            self._become_follower(request.term, "")
        granted = eligible and request.term == self.term and self.voted_for in ("", request.sender)
        if granted:
            self._set_term(self.term, request.sender)
            self._reset_election_timeout()
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

    def _handle_vote_reply(self, reply: VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, "")
            return
        expected = self.term + 1 if reply.trial else self.term
        if (
            self.role is not Role.CANDIDATE
            or reply.trial != self._pre_vote
            or reply.term != expected
        ):
            return
        if not self._check_standing(reply.sender, reply.standing):
            return
        self._votes.add(Member(reply.sender, reply.standing.incarnation))
        self._count_votes()

    def _set_term(self, term: int, vote: str) -> None:
        if (term, vote) != (self.term, self.voted_for):
            self.term = term
            self.voted_for = vote
            self._effects.append(SaveVote(term, vote))

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self._set_term(term, "")
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress = {}
        self._reset_election_timeout()

    # Leader.

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        incarnations = {m.name: m.incarnation for m in self._votes}
        self._progress = {
            peer: _Progress(self.last_index + 1, incarnation=incarnations.get(peer, ""))
            for peer in self._list_other_members()
        }
        self._leader_since = self.now
        self._append_payloads(EntryKind.EMPTY, [""])
        self._send_appends(force=True)

    def _tick_leader(self) -> None:
        last_contact = max(self._find_majority_contact_time(), self._leader_since)
        if self.now > last_contact + MIN_ELECTION_TIMEOUT_SECONDS:
            self._become_follower(self.term, "")
            return
        self._send_appends(force=False)

    def _append_payloads(self, kind: EntryKind, payloads: list[str]) -> tuple[LogEntry, ...]:
        """Append an entry of this term for each payload, as leader; return the entries."""
        first = self.last_index + 1
        entries = tuple(
            LogEntry(first + offset, self.term, kind, payload)
            for offset, payload in enumerate(payloads)
        )
        self._append_entries(entries)
        return entries

    def _append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the leader's own log and save them with the commit index."""
        self.log.extend(entries)
        self._effects.append(SaveEntries(entries[0].index, entries))
        self._save_commit()
        self._update_mark()
        self._advance_commit()

    def _send_appends(self, force: bool) -> None:
        for peer, progress in self._progress.items():
            due = self.now >= progress.sent_at + HEARTBEAT_SECONDS
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
        entries = tuple(self.log[start : start + MAX_APPEND_ENTRIES])
        request = AppendRequest(
            self.term,
            self.name,
            prev,
            prev_term,
            entries,
            self.commit_index,
            self.now,
            self._list_unacked_standings(progress),
        )
        # Optimistic pipelining: a rejected append resets the next index.
        progress.next_index += len(entries)
        self._effects.append(Send(peer, request))

    def _list_unacked_standings(self, progress: _Progress) -> tuple[Standing, ...]:
        """Return the standings to send, or nothing once the member has acknowledged them."""
        seen = (self.standing, *self._standings.list_seen())
        if seen == progress.acked_standings:
            return ()
        if seen != progress.sent_standings:
            progress.sent_standings = seen
            progress.standings_sent_at = self.now
        return seen

    def _handle_append_reply(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "")
            return
        progress = self._progress.get(reply.sender)
        if self.role is not Role.LEADER or reply.term != self.term or progress is None:
            return
        if not self._check_standing(reply.sender, reply.standing):
            return
        if reply.standing.incarnation != progress.incarnation:
            progress.incarnation = reply.standing.incarnation
            progress.match_index = 0
        progress.last_contact = max(progress.last_contact, reply.sent_at)
        if reply.sent_at >= progress.standings_sent_at:
            progress.acked_standings = progress.sent_standings
        if reply.ok:
            progress.match_index = max(progress.match_index, reply.last_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit()
            self._readmit(reply.sender, progress)
            return
        if reply.last_index < progress.match_index:
            # The member may have lost entries that it had acknowledged, so its match no longer
            # counts. A refusal that arrives late looks the same; then new acknowledgements restore
            # the match.
            progress.match_index = 0
        progress.next_index = max(1, min(reply.last_index + 1, progress.next_index - 1))
        self._send_append(reply.sender, progress)

    def _readmit(self, name: str, progress: _Progress) -> None:
        """Propose a voter's new incarnation once the voter holds all committed entries."""
        member = Member(name, progress.incarnation)
        names = [m.name for m in self.members]
        if member in self.members or name not in names or progress.match_index < self.commit_index:
            return
        changed = tuple(member if m.name == name else m for m in self.members)
        self.propose_members(changed, self.now)

    def _advance_commit(self) -> None:
        if self.role is not Role.LEADER:
            return
        matches = {
            Member(n, p.incarnation): float(p.match_index) for n, p in self._progress.items()
        }
        matches[Member(self.name, self.incarnation)] = float(self.last_index)
        reached = find_majority_value(self._list_memberships(), matches)
        if reached > self.commit_index and self.get_term_at(int(reached)) == self.term:
            self._commit_to(int(reached))

    def _commit_to(self, index: int) -> None:
        first = self.commit_index - self.snapshot.index
        self.commit_index = index
        entries = tuple(self.log[first : index - self.snapshot.index])
        self._effects.append(Commit(entries))
        if not any(entry.kind is EntryKind.MEMBERS for entry in entries):
            return
        # A member that does not know that a new membership is committed needs a majority of the old
        # one, too, which may include a member whose disk was lost. So the commit index is saved
        # now, for this member after a restart, and a leader sends it to the others now.
        self._effects.append(SaveSettled(index))
        if self.role is Role.LEADER:
            self._send_appends(force=True)

    # Follower.

    def _handle_append(self, request: AppendRequest) -> None:
        if request.term < self.term:
            self._reply_append(request, False, self.last_index)
            return
        self._accept_leader(request.term, request.sender)
        self._merge_seen(request.seen)
        if request.prev_index < self.snapshot.index:
            self._reply_append(request, False, self.snapshot.index)
            return
        if self.get_term_at(request.prev_index) != request.prev_term:
            hint = min(self.last_index, max(request.prev_index - 1, self.snapshot.index))
            self._reply_append(request, False, hint)
            return
        appended = self._append_from_leader(request.entries)
        last = request.prev_index + len(request.entries)
        if min(request.commit, last) > self.commit_index:
            self._commit_to(min(request.commit, last))
        if appended:
            self._save_commit()
        self._reply_append(request, True, last)

    def _accept_leader(self, term: int, leader: str) -> None:
        """Accept the leader of the current or a newer term and restart the election timeout."""
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != leader:
            self._become_follower(term, leader)
        self._last_leader_contact = self.now
        self._reset_election_timeout()

    def _append_from_leader(self, entries: tuple[LogEntry, ...]) -> bool:
        """Append a leader's entries, replacing conflicting ones; return whether any was new."""
        for offset, entry in enumerate(entries):
            if self.get_term_at(entry.index) == entry.term:
                continue
            del self.log[entry.index - self.snapshot.index - 1 :]
            new = entries[offset:]
            self.log.extend(new)
            self._effects.append(SaveEntries(entry.index, new))
            self._update_mark()
            return True
        return False

    def _save_commit(self) -> None:
        """Save the commit index in the write that saves entries.

        A restarted member can then apply the committed entries at once, instead of waiting for a
        leader to be elected, for example after all members were down: 0.9 s in a loss of all power.
        """
        if self.commit_index > self.snapshot.index:
            self._effects.append(SaveSettled(self.commit_index))

    def _reply_append(
        self, request: AppendRequest | SnapshotRequest, ok: bool, last_index: int
    ) -> None:
        reply = AppendReply(self.term, self.name, self.standing, ok, last_index, request.sent_at)
        self._effects.append(Send(request.sender, reply))

    def _handle_snapshot(self, request: SnapshotRequest) -> None:
        if request.term < self.term:
            self._reply_append(request, False, self.last_index)
            return
        self._accept_leader(request.term, request.sender)
        if request.snapshot.index > self.commit_index:
            self.snapshot = request.snapshot
            self.log = []
            self.commit_index = request.snapshot.index
            self._effects.append(SaveSnapshot(replace(request.snapshot), install=True))
        self._reply_append(request, True, max(self.commit_index, request.snapshot.index))

    def _drain_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
