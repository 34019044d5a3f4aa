"""Durable storage of one replicated log: an SQLite file with full synchronisation."""

import sqlite3
from collections.abc import Iterable
from pathlib import Path
from uuid import uuid4

from daleroad.codec import decode, encode
from daleroad.errors import Failure, FailureKind, StorageError
from daleroad.logtypes import (
    Durable,
    Effect,
    EntryKind,
    LogEntry,
    Member,
    Run,
    SaveEntries,
    SaveSettled,
    SaveSnapshot,
    SaveStanding,
    SaveVote,
    Snapshot,
    Standing,
)

_LAST_INDEX = 2**63 - 1

_SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS log (
    idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind TEXT NOT NULL,
    payload TEXT NOT NULL, members TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS snapshot (
    one INTEGER PRIMARY KEY CHECK (one = 1), idx INTEGER NOT NULL, term INTEGER NOT NULL,
    members TEXT NOT NULL, state TEXT NOT NULL);
"""


class Storage:
    """The durable part of a replica.

    :param path: the file; it is created, with a new incarnation, when it is missing. Without one
        the state is kept in memory and lost with the process.
    """

    def __init__(self, path: Path | None) -> None:
        self.path = path
        try:
            if path is not None:
                path.parent.mkdir(parents=True, exist_ok=True)
            self._db = sqlite3.connect(
                path or ":memory:", check_same_thread=False, isolation_level=None
            )
            # Exclusive locking keeps the index of the write-ahead log out of shared memory.
            self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            self._check()
            self._db.executescript(_SCHEMA)
        except (sqlite3.Error, OSError) as error:
            if "locked" in str(error):
                failure = Failure(FailureKind.CONFLICT, f"{path} is in use by another process")
                raise StorageError(failure) from error
            raise StorageError(self._describe_damage(str(error))) from error

    def _describe_damage(self, reason: str) -> Failure:
        text = f"{self.path}: {reason}; after saving a copy, run: daleroad repair SETTINGS.ini"
        return Failure(FailureKind.DAMAGED, text)

    def _check(self) -> None:
        verdict = self._db.execute("PRAGMA quick_check").fetchone()[0]
        if verdict != "ok":
            raise StorageError(self._describe_damage(verdict))

    def load(self) -> Durable:
        """Return what the file holds; a new file gets an incarnation of its own."""
        meta = dict(self._db.execute("SELECT key, value FROM meta"))
        if "incarnation" not in meta:
            meta = {"incarnation": uuid4().hex, "term": "0", "vote": ""}
            self._write_meta(meta)
        snapshot = self._load_snapshot()
        log = tuple(self._load_log())
        expected = range(snapshot.index + 1, snapshot.index + 1 + len(log))
        if [entry.index for entry in log] != list(expected):
            raise StorageError(self._describe_damage("the log has a gap"))
        settled = int(meta.get("settled", "0"))
        term = int(meta["term"])
        runs = decode(tuple[Run, ...], meta.get("runs", "[]"))
        seen = decode(tuple[Standing, ...], meta.get("seen", "[]"))
        return Durable(meta["incarnation"], term, meta["vote"], settled, runs, seen, snapshot, log)

    def found(self, incarnation: str, members: tuple[Member, ...], state: str) -> None:
        """Write the founding state of a new group into an empty file.

        :param incarnation: this member's first incarnation.
        :param members: the founding membership.
        :param state: the founding state of the group.
        """
        if not self.is_new():
            raise StorageError(Failure(FailureKind.CONFLICT, f"{self.path} is in use already"))
        snapshot = Snapshot(1, 0, members, state)
        self._db.execute("BEGIN IMMEDIATE")
        self._write_meta({"incarnation": incarnation, "term": "0", "vote": ""})
        self._save_snapshot(snapshot)
        self._db.execute("COMMIT")

    def save(self, effects: Iterable[Effect]) -> None:
        """Carry out the saving effects in one synced transaction.

        :param effects: any effects; those that save nothing are passed over.
        """
        self._db.execute("BEGIN IMMEDIATE")
        for effect in effects:
            match effect:
                case SaveVote(term, vote):
                    self._write_meta({"term": str(term), "vote": vote})
                case SaveStanding(standing, seen):
                    runs = encode(standing.runs).decode()
                    known = encode(seen).decode()
                    meta = {"incarnation": standing.incarnation, "runs": runs, "seen": known}
                    self._write_meta(meta)
                case SaveSettled(index):
                    self._write_meta({"settled": str(index)})
                case SaveEntries(first, entries):
                    self._db.execute("DELETE FROM log WHERE idx >= ?", (first,))
                    self._insert(entries)
                case SaveSnapshot(snapshot, install):
                    self._save_snapshot(snapshot)
                    last = _LAST_INDEX if install else snapshot.index
                    self._db.execute("DELETE FROM log WHERE idx <= ?", (last,))
        self._db.execute("COMMIT")

    def roll_back(self) -> None:
        """End a transaction that failed; the file is as it was before."""
        if self._db.in_transaction:
            self._db.execute("ROLLBACK")

    def is_new(self) -> bool:
        """Return whether nothing was ever saved."""
        return not self._db.execute("SELECT count(*) FROM meta").fetchone()[0]

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def _write_meta(self, meta: dict[str, str]) -> None:
        self._db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", meta.items())

    def _insert(self, entries: Iterable[LogEntry]) -> None:
        rows = ((e.index, e.term, e.kind.value, e.payload, _dump(e.members)) for e in entries)
        self._db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        row = (snapshot.index, snapshot.term, _dump(snapshot.members), snapshot.state)
        self._db.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?)", row)

    def _load_snapshot(self) -> Snapshot:
        row = self._db.execute("SELECT idx, term, members, state FROM snapshot").fetchone()
        if row is None:
            return Snapshot(0, 0, (), "")
        return Snapshot(row[0], row[1], _parse(row[2]), row[3])

    def _load_log(self) -> Iterable[LogEntry]:
        query = "SELECT idx, term, kind, payload, members FROM log ORDER BY idx"
        for index, term, kind, payload, members in self._db.execute(query):
            yield LogEntry(index, term, EntryKind(kind), payload, _parse(members))


def _dump(members: tuple[Member, ...]) -> str:
    return encode(members).decode()


def _parse(text: str) -> tuple[Member, ...]:
    return decode(tuple[Member, ...], text)
