"""The replicated state: records, membership, answers to operations and the audit trail.

:meth:`Catalog.apply` is deterministic: the same commands in the same order give the same state
on each replica and on each entry.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from daleroad.codec import decode, encode, register_union
from daleroad.defaults import AUDIT_KEPT, OPERATIONS_KEPT
from daleroad.errors import Failure, FailureKind
from daleroad.records import EntryMember, Organisation, Record, Upstream
from daleroad.rules import find_fault


@dataclass(frozen=True)
class Put:
    """Create or replace a record."""

    record: Record


@dataclass(frozen=True)
class Remove:
    """Remove a record; ``type`` is its class name."""

    type: str
    name: str


@dataclass(frozen=True)
class SetEntry:
    """An entry joined or changed."""

    entry: EntryMember


@dataclass(frozen=True)
class DropEntry:
    """An entry is gone."""

    name: str


@dataclass(frozen=True)
class SetUpstream:
    """An upstream joined or changed."""

    upstream: Upstream


@dataclass(frozen=True)
class DropUpstream:
    """An upstream is gone."""

    name: str


Change = Put | Remove | SetEntry | DropEntry | SetUpstream | DropUpstream


@dataclass(frozen=True)
class Command:
    """A change with who asked for it and on what it was based.

    :param operation: idempotency key; empty for changes of the membership.
    :param base: version of the record it was based on; 0 creates.
    :param at: seconds since the epoch on the proposing leader's clock, for the audit trail.
    """

    operation: str
    operator: str
    partner: str
    base: int
    at: float
    change: Change


@dataclass(frozen=True)
class Outcome:
    """The answer to a command. ``version`` is the record's version afterwards."""

    version: int
    failure: Failure | None = None
    current: Record | None = None

    @property
    def accepted(self) -> bool:
        """Whether the change was accepted."""
        return self.failure is None


@dataclass(frozen=True)
class AuditRow:
    """Who tried what and when, and how it ended."""

    index: int
    at: float
    operator: str
    partner: str
    operation: str
    what: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Versioned:
    """A record with the log index that last changed it."""

    record: Record
    version: int


@dataclass(frozen=True)
class Answered:
    """An operation that was answered, with the text of its change."""

    operation: str
    change: str
    outcome: Outcome


@dataclass(frozen=True)
class CatalogState:
    """All of a catalog, as it is saved and sent."""

    revision: int
    epoch: int
    records: tuple[Versioned, ...]
    entries: tuple[EntryMember, ...]
    upstreams: tuple[Upstream, ...]
    answered: tuple[Answered, ...]
    audit: tuple[AuditRow, ...]


register_union(Change)


@dataclass
class Catalog:
    """The state and the rules by which commands change it.

    ``revision`` is the index of the last command, ``changed`` that of the last one that had an
    effect, ``epoch`` that of the last change of the entries in the membership, and ``placed``
    that of the last change of the upstreams. ``by_token`` finds organisations by token hash.
    """

    revision: int = 0
    changed: int = 0
    epoch: int = 0
    placed: int = 0
    by_token: dict[str, Organisation] = field(default_factory=dict)
    records: dict[str, dict[str, Versioned]] = field(default_factory=dict)
    entries: dict[str, EntryMember] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    answered: dict[str, Answered] = field(default_factory=dict)
    audit: list[AuditRow] = field(default_factory=list)

    def get(self, type_name: str, name: str) -> Record | None:
        """Return a record or nothing.

        :param type_name: the record's class name.
        :param name: the record's name.
        """
        found = self.records.get(type_name, {}).get(name)
        return found.record if found else None

    def list_records(self, type_name: str) -> Iterator[Versioned]:
        """Yield the records of a type.

        :param type_name: the records' class name.
        """
        yield from self.records.get(type_name, {}).values()

    def apply(self, index: int, command: Command) -> Outcome:
        """Apply one command and return its outcome.

        :param index: its index in the log.
        :param command: the command.
        """
        if index <= self.revision:
            return Outcome(self.revision, Failure(FailureKind.CONFLICT, "applied already"))
        self.revision = index
        if not command.operation:
            return self._apply_member(index, command.change)
        text = encode(command.change, Change).decode()
        known = self.answered.get(command.operation)
        if known is not None:
            return self._answer_again(known, text)
        outcome = self._apply_record(index, command)
        self._remember(index, command, text, outcome)
        return outcome

    def follow(self, index: int, change: Change) -> None:
        """Take over the effect of a command that the log accepted.

        :param index: the command's index; older ones than the revision are passed over.
        :param change: the command's change.
        """
        if index <= self.revision:
            return
        self.revision = index
        match change:
            case Put(record):
                self.store(index, type(record).__name__, record.name, record)
            case Remove(type_name, name):
                self.store(index, type_name, name, None)
            case _:
                self._apply_member(index, change)

    def dump(self, whole: bool = True) -> str:
        """Return the state as text.

        :param whole: with answers and audit trail; entries need neither.
        """
        records = tuple(v for kind in self.records.values() for v in kind.values())
        state = CatalogState(
            self.revision,
            self.epoch,
            records,
            tuple(self.entries.values()),
            tuple(self.upstreams.values()),
            tuple(self.answered.values()) if whole else (),
            tuple(self.audit) if whole else (),
        )
        return encode(state).decode()

    def load(self, text: str) -> None:
        """Replace the state by a dumped one.

        :param text: what :meth:`dump` gave.
        """
        state: CatalogState = decode(CatalogState, text)
        self.revision = state.revision
        self.changed = state.revision
        self.epoch = state.epoch
        self.placed = state.revision
        self.records = {}
        self.by_token = {}
        for versioned in state.records:
            record = versioned.record
            self.records.setdefault(type(record).__name__, {})[record.name] = versioned
            if isinstance(record, Organisation):
                self.by_token[record.token_hash] = record
        self.entries = {entry.name: entry for entry in state.entries}
        self.upstreams = {upstream.name: upstream for upstream in state.upstreams}
        self.answered = {answered.operation: answered for answered in state.answered}
        self.audit = list(state.audit)

    def _apply_member(self, index: int, change: Change) -> Outcome:
        self.changed = index
        match change:
            case SetEntry(entry):
                self.epoch = index
                self.entries[entry.name] = entry
            case DropEntry(name):
                self.epoch = index
                self.entries.pop(name, None)
            case SetUpstream(upstream):
                self.placed = index
                self.upstreams[upstream.name] = upstream
            case DropUpstream(name):
                self.placed = index
                self.upstreams.pop(name, None)
        return Outcome(index)

    def _apply_record(self, index: int, command: Command) -> Outcome:
        change = command.change
        match change:
            case Put(record):
                type_name, name, partner = type(record).__name__, record.name, record.partner
            case Remove(type_name, name):
                partner = ""
            case _:
                return Outcome(0, Failure(FailureKind.FORBIDDEN, "not an operator's change"))
        known = self.records.get(type_name, {}).get(name)
        owners = {partner or command.partner, known.record.partner if known else command.partner}
        if owners != {command.partner}:
            return Outcome(0, Failure(FailureKind.FORBIDDEN, "not this partner's record"))
        version = known.version if known else 0
        if command.base != version:
            reason = f"based on version {command.base}, the record has {version}"
            failure = Failure(FailureKind.CONFLICT, reason)
            return Outcome(version, failure, known.record if known else None)
        record_or_none = change.record if isinstance(change, Put) else None
        fault = find_fault(self, type_name, name, record_or_none)
        if fault is not None:
            return Outcome(version, fault)
        self.store(index, type_name, name, record_or_none)
        return Outcome(index)

    def store(self, index: int, type_name: str, name: str, record: Record | None) -> None:
        """Set or remove a record without any check.

        :param index: the record's version.
        :param type_name: its class name.
        :param name: its name.
        :param record: the record, or nothing to remove it.
        """
        self.changed = index
        table = self.records.setdefault(type_name, {})
        known = table.get(name)
        if known is not None and isinstance(known.record, Organisation):
            self.by_token.pop(known.record.token_hash, None)
        if isinstance(record, Organisation):
            self.by_token[record.token_hash] = record
        if record is None:
            table.pop(name, None)
        else:
            table[name] = Versioned(record, index)

    def _answer_again(self, known: Answered, text: str) -> Outcome:
        if known.change == text:
            return known.outcome
        reason = "this operation was used for another change"
        return Outcome(known.outcome.version, Failure(FailureKind.KEY_CONFLICT, reason))

    def _remember(self, index: int, command: Command, text: str, outcome: Outcome) -> None:
        self.answered[command.operation] = Answered(command.operation, text, outcome)
        if len(self.answered) > OPERATIONS_KEPT:
            del self.answered[next(iter(self.answered))]
        verdict = "accepted" if outcome.failure is None else outcome.failure.kind.value
        row = AuditRow(
            index,
            command.at,
            command.operator,
            command.partner,
            command.operation,
            _redact(command.change),
            verdict,
        )
        self.audit.append(row)
        if len(self.audit) > AUDIT_KEPT:
            del self.audit[0]


def _redact(change: Change) -> str:
    """Return a change in one line, without token hashes."""
    match change:
        case Put(record):
            return f"put {type(record).__name__} {record.name}"
        case Remove(type_name, name):
            return f"remove {type_name} {name}"
        case _:
            return type(change).__name__
