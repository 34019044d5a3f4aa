"""Entries, messages and effects of the replicated log."""

from dataclasses import dataclass
from enum import StrEnum

from daleroad.defaults import MAX_REMEMBERED_RUNS


class EntryKind(StrEnum):
    """What a log entry holds."""

    EMPTY = "empty"
    CHANGE = "change"
    MEMBERS = "members"


@dataclass(frozen=True)
class Member:
    """A member and the incarnation of its disk that counts."""

    name: str
    incarnation: str


@dataclass(frozen=True)
class LogEntry:
    """One entry of the log. ``members`` is set for entries of that kind only."""

    index: int
    term: int
    kind: EntryKind
    payload: str = ""
    members: tuple[Member, ...] = ()


@dataclass(frozen=True)
class Snapshot:
    """The state after ``index``, with the membership at that point."""

    index: int
    term: int
    members: tuple[Member, ...]
    state: str


@dataclass(frozen=True)
class Run:
    """One run of a member, from start to end, with the newest mark that it saved."""

    name: str
    mark: int


@dataclass(frozen=True)
class Standing:
    """How a member identifies itself: its disk and the disk's last runs, the present one last."""

    incarnation: str
    runs: tuple[Run, ...]

    def includes(self, other: "Standing") -> bool:
        """Return whether this disk has all that was seen of it before.

        :param other: an earlier standing of the same disk.
        """
        last = other.runs[-1]
        for run in self.runs:
            if run.name == last.name:
                return run.mark >= last.mark
        # A run from before all that is remembered says nothing against the disk.
        return len(self.runs) >= MAX_REMEMBERED_RUNS and self.runs[0].mark > last.mark


@dataclass(frozen=True)
class Durable:
    """What a member has on its disk when it starts.

    :param settled: index up to which the log was known as committed when entries were last
        written, or a change of the membership was settled.
    :param runs: the last runs; their marks grow with each start and every MARK_ENTRIES entries.
    :param seen: the newest standing seen of each disk of the others.
    """

    incarnation: str
    term: int = 0
    vote: str = ""
    settled: int = 0
    runs: tuple[Run, ...] = ()
    seen: tuple[Standing, ...] = ()
    snapshot: Snapshot = Snapshot(0, 0, (), "")
    log: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class VoteRequest:
    """Asks for a vote, or with ``trial`` whether one would be given."""

    term: int
    sender: str
    standing: Standing
    last_index: int
    last_term: int
    trial: bool


@dataclass(frozen=True)
class VoteReply:
    """Answers a vote request."""

    term: int
    sender: str
    standing: Standing
    granted: bool
    trial: bool


@dataclass(frozen=True)
class AppendRequest:
    """Carries entries and the leader's commit index; without entries it is a heartbeat.

    :param seen: the standings that the leader has seen, while the receiver may not know them.
    """

    term: int
    sender: str
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: float
    seen: tuple[Standing, ...] = ()


@dataclass(frozen=True)
class AppendReply:
    """Acknowledges entries up to ``last_index``, or refuses and hints where to go on."""

    term: int
    sender: str
    standing: Standing
    ok: bool
    last_index: int
    sent_at: float


@dataclass(frozen=True)
class SnapshotRequest:
    """Carries a whole snapshot to a member that is too far behind."""

    term: int
    sender: str
    snapshot: Snapshot
    sent_at: float


@dataclass(frozen=True)
class Distrust:
    """Tells a member that its disk was seen in a newer state than it shows."""

    sender: str
    seen: Standing


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | Distrust


@dataclass(frozen=True)
class SaveVote:
    """Save the term and the vote."""

    term: int
    vote: str


@dataclass(frozen=True)
class SaveStanding:
    """Save this member's own standing, and those seen of others."""

    standing: Standing
    seen: tuple[Standing, ...]


@dataclass(frozen=True)
class SaveSettled:
    """Save that the log is committed up to an index: its state, and which membership counts."""

    index: int


@dataclass(frozen=True)
class SaveEntries:
    """Remove all saved entries from ``first`` on, then save these."""

    first: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True)
class SaveSnapshot:
    """Save a snapshot and remove the entries it covers; ``install`` replaces the state."""

    snapshot: Snapshot
    install: bool


@dataclass(frozen=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True)
class Commit:
    """Apply these entries to the state."""

    entries: tuple[LogEntry, ...]


Effect = SaveVote | SaveStanding | SaveSettled | SaveEntries | SaveSnapshot | Send | Commit
