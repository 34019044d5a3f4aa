"""State machine of the catalog: records, membership, results of operations and the audit trail.

:meth:`Catalog.apply` is deterministic: the same commands in the same order produce the same state
on each replica. Entries follow it through the accepted changes, see :meth:`Catalog.apply_accepted`.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from daleroad.codec import decode, encode, register_union
from daleroad.defaults import MAX_AUDIT_ROWS, MAX_KEPT_OPERATIONS
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
    """Add an entry to the membership, or update it."""

    entry: EntryMember


@dataclass(frozen=True)
class DropEntry:
    """Remove an entry from the membership."""

    name: str


@dataclass(frozen=True)
class SetUpstream:
    """Add an upstream to the membership, or update it."""

    upstream: Upstream


@dataclass(frozen=True)
class DropUpstream:
    """Remove an upstream from the membership."""

    name: str


Change = Put | Remove | SetEntry | DropEntry | SetUpstream | DropUpstream


@dataclass(frozen=True)
class Command:
    """A change with its author and the record version that it expects.

    :param operation: idempotency key; empty for changes of the membership.
    :param base: expected current version of the record; 0 if it should not exist.
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
    """The result of a command.

    :param version: the record's version afterwards, or the log index of a membership change; 0 if
        the change is forbidden.
    :param failure: why the command was rejected.
    :param current: the stored record, after a version conflict.
    """

    version: int
    failure: Failure | None = None
    current: Record | None = None

    @property
    def accepted(self) -> bool:
        """Whether the change was accepted."""
        return self.failure is None


@dataclass(frozen=True)
class AuditRow:
    """A row of the audit trail; ``outcome`` is ``accepted`` or the kind of failure."""

    index: int
    at: float
    operator: str
    partner: str
    operation: str
    what: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Versioned:
    """A record with the log index of its last change."""

    record: Record
    version: int


@dataclass(frozen=True)
class CompletedOperation:
    """A completed operation, kept so that a repeated request gets the same result.

    :param operation: idempotency key.
    :param change: the encoded change, to detect reuse of the key for another one.
    :param outcome: the first result.
    """

    operation: str
    change: str
    outcome: Outcome


@dataclass(frozen=True)
class CatalogState:
    """The serialised form of a catalog, in snapshots and in answers to entries."""

    revision: int
    epoch: int
    records: tuple[Versioned, ...]
    entries: tuple[EntryMember, ...]
    upstreams: tuple[Upstream, ...]
    answered: tuple[CompletedOperation, ...]
    audit: tuple[AuditRow, ...]


register_union(Change)


@dataclass
class Catalog:
    """The catalog and the rules by which commands change it.

    :ivar revision: log index of the last command.
    :ivar changed_revision: log index of the last command that changed the state.
    :ivar epoch: log index of the last change of the entries in the membership.
    :ivar upstreams_revision: log index of the last change of the upstreams.
    :ivar organisations_by_token_hash: organisations by token hash.
    :ivar records: records by the name of their class, then by their own name.
    :ivar answered: completed operations by idempotency key, oldest first.
    """

    revision: int = 0
    changed_revision: int = 0
    epoch: int = 0
    upstreams_revision: int = 0
    organisations_by_token_hash: dict[str, Organisation] = field(default_factory=dict)
    records: dict[str, dict[str, Versioned]] = field(default_factory=dict)
    entries: dict[str, EntryMember] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    answered: dict[str, CompletedOperation] = field(default_factory=dict)
    audit: list[AuditRow] = field(default_factory=list)

    def get(self, type_name: str, name: str) -> Record | None:
        """Return a record, or ``None`` if it does not exist.

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
        """Apply a committed command and return its outcome.

        A repeated operation returns its first outcome and changes nothing.

        :param index: log index of the command.
        :param command: the command.
        """
        if index <= self.revision:
            return Outcome(
                self.revision, Failure(FailureKind.CONFLICT, "log index was already applied")
            )
        self.revision = index
        if not command.operation:
            return self._apply_membership_change(index, command.change)
        text = encode(command.change, Change).decode()
        known = self.answered.get(command.operation)
        if known is not None:
            return self._repeat_outcome(known, text)
        outcome = self._apply_record_change(index, command)
        self._record_operation(index, command, text, outcome)
        return outcome

    def apply_accepted(self, index: int, change: Change) -> None:
        """Apply a change that the leader accepted, without validating it.

        :param index: log index of the command; ignored if not above the current revision.
        :param change: the change of the command.
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
                self._apply_membership_change(index, change)

    def dump(self, include_history: bool = True) -> str:
        """Return the serialised state.

        :param include_history: include completed operations and the audit trail, which entries do
            not need.
        """
        records = tuple(v for kind in self.records.values() for v in kind.values())
        state = CatalogState(
            self.revision,
            self.epoch,
            records,
            tuple(self.entries.values()),
            tuple(self.upstreams.values()),
            tuple(self.answered.values()) if include_history else (),
            tuple(self.audit) if include_history else (),
        )
        return encode(state).decode()

    def load(self, text: str) -> None:
        """Replace the state with a serialised one.

        :param text: output of :meth:`dump`.
        """
        state: CatalogState = decode(CatalogState, text)
        self.revision = state.revision
        self.changed_revision = state.revision
        self.epoch = state.epoch
        self.upstreams_revision = state.revision
        self.records = {}
        self.organisations_by_token_hash = {}
        for versioned in state.records:
            record = versioned.record
            self.records.setdefault(type(record).__name__, {})[record.name] = versioned
            if isinstance(record, Organisation):
                self.organisations_by_token_hash[record.token_hash] = record
        self.entries = {entry.name: entry for entry in state.entries}
        self.upstreams = {upstream.name: upstream for upstream in state.upstreams}
        self.answered = {answered.operation: answered for answered in state.answered}
        self.audit = list(state.audit)

    def _apply_membership_change(self, index: int, change: Change) -> Outcome:
        self.changed_revision = index
        match change:
            case SetEntry(entry):
                self.epoch = index
                self.entries[entry.name] = entry
            case DropEntry(name):
                self.epoch = index
                self.entries.pop(name, None)
            case SetUpstream(upstream):
                self.upstreams_revision = index
                self.upstreams[upstream.name] = upstream
            case DropUpstream(name):
                self.upstreams_revision = index
                self.upstreams.pop(name, None)
        return Outcome(index)

    def _apply_record_change(self, index: int, command: Command) -> Outcome:
        change = command.change
        match change:
            case Put(record):
                type_name, name, partner = type(record).__name__, record.name, record.partner
            case Remove(type_name, name):
                partner = ""
            case _:
                return Outcome(0, Failure(FailureKind.FORBIDDEN, "not an operator's change"))
        known = self.records.get(type_name, {}).get(name)
        partners = {partner or command.partner, known.record.partner if known else command.partner}
        if partners != {command.partner}:
            return Outcome(0, Failure(FailureKind.FORBIDDEN, "not this partner's record"))
        version = known.version if known else 0
        if command.base != version:
            reason = f"based on version {command.base}, the record has {version}"
            failure = Failure(FailureKind.CONFLICT, reason)
            return Outcome(version, failure, known.record if known else None)
        new_record = change.record if isinstance(change, Put) else None
        rejection = find_fault(self, type_name, name, new_record)
        if rejection is not None:
            return Outcome(version, rejection)
        self.store(index, type_name, name, new_record)
        return Outcome(index)

    def store(self, index: int, type_name: str, name: str, record: Record | None) -> None:
        """Set or remove a record without validation.

        :param index: the new version of the record.
        :param type_name: the record's class name.
        :param name: the record's name.
        :param record: the record, or ``None`` to remove it.
        """
        self.changed_revision = index
        records = self.records.setdefault(type_name, {})
        known = records.get(name)
        if record is None:
            records.pop(name, None)
        else:
            records[name] = Versioned(record, index)
        if known is not None and isinstance(known.record, Organisation):
            self._index_token_hash(known.record.token_hash)
        if isinstance(record, Organisation):
            self.organisations_by_token_hash[record.token_hash] = record

    def _index_token_hash(self, token_hash: str) -> None:
        """Find the organisation of a token hash anew; another record may have the same."""
        self.organisations_by_token_hash.pop(token_hash, None)
        for versioned in self.list_records("Organisation"):
            found = versioned.record
            if isinstance(found, Organisation) and found.token_hash == token_hash:
                self.organisations_by_token_hash[token_hash] = found

    def _repeat_outcome(self, known: CompletedOperation, text: str) -> Outcome:
        if known.change == text:
            return known.outcome
        reason = "operation id was already used for a different change"
        return Outcome(known.outcome.version, Failure(FailureKind.KEY_CONFLICT, reason))

    def _record_operation(self, index: int, command: Command, text: str, outcome: Outcome) -> None:
        self.answered[command.operation] = CompletedOperation(command.operation, text, outcome)
        if len(self.answered) > MAX_KEPT_OPERATIONS:
            del self.answered[next(iter(self.answered))]
        result = "accepted" if outcome.failure is None else outcome.failure.kind.value
        row = AuditRow(
            index,
            command.at,
            command.operator,
            command.partner,
            command.operation,
            _summarise_change(command.change),
            result,
        )
        self.audit.append(row)
        if len(self.audit) > MAX_AUDIT_ROWS:
            del self.audit[0]


def _summarise_change(change: Change) -> str:
    """Return a one-line summary of a change that contains no token hash."""
    match change:
        case Put(record):
            return f"put {type(record).__name__} {record.name}"
        case Remove(type_name, name):
            return f"remove {type_name} {name}"
        case _:
            return type(change).__name__
