"""Durable storage of a Raft replica in an SQLite file that is synced at each commit."""

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

_MAX_INDEX = 2**63 - 1

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
    """The durable state of a replica: term, vote, standings, log and snapshot.

    :param path: the database file, created if missing; without a path the database is in memory.
    """

    def __init__(self, path: Path | None) -> None:
        self.path = path
        try:
            if path is not None:
                path.parent.mkdir(parents=True, exist_ok=True)
            self._db = sqlite3.connect(
                path or ":memory:", check_same_thread=False, isolation_level=None
            )
            # With exclusive locking, SQLite keeps the WAL index out of shared memory.
            self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            self._check_integrity()
            self._db.executescript(_SCHEMA)
        except (sqlite3.Error, OSError) as error:
            if "locked" in str(error):
                failure = Failure(FailureKind.CONFLICT, f"{path} is in use by another process")
                raise StorageError(failure) from error
            raise StorageError(self._make_damage_failure(str(error))) from error

    def _make_damage_failure(self, reason: str) -> Failure:
        text = f"{self.path}: {reason}; back up the file, then run: daleroad repair SETTINGS.ini"
        return Failure(FailureKind.DAMAGED, text)

    def _check_integrity(self) -> None:
        result = self._db.execute("PRAGMA quick_check").fetchone()[0]
        if result != "ok":
            raise StorageError(self._make_damage_failure(result))

    def load(self) -> Durable:
        """Return the saved state; an empty file is first given a new incarnation."""
        meta = dict(self._db.execute("SELECT key, value FROM meta"))
        if "incarnation" not in meta:
            meta = {"incarnation": uuid4().hex, "term": "0", "vote": ""}
            self._write_meta(meta)
        snapshot = self._load_snapshot()
        log = tuple(self._load_log())
        expected = range(snapshot.index + 1, snapshot.index + 1 + len(log))
        if [entry.index for entry in log] != list(expected):
            raise StorageError(self._make_damage_failure("the log indexes are not contiguous"))
        settled = int(meta.get("settled", "0"))
        term = int(meta["term"])
        runs = decode(tuple[Run, ...], meta.get("runs", "[]"))
        seen = decode(tuple[Standing, ...], meta.get("seen", "[]"))
        return Durable(meta["incarnation"], term, meta["vote"], settled, runs, seen, snapshot, log)

    def bootstrap(self, incarnation: str, members: tuple[Member, ...], state: str) -> None:
        """Write the initial state of a new group to an empty file.

        :param incarnation: this member's first incarnation.
        :param members: the initial membership.
        :param state: the initial state, serialised.
        """
        if not self.is_empty():
            raise StorageError(
                Failure(FailureKind.CONFLICT, f"{self.path} already holds the state of a group")
            )
        snapshot = Snapshot(1, 0, members, state)
        self._db.execute("BEGIN IMMEDIATE")
        self._write_meta({"incarnation": incarnation, "term": "0", "vote": ""})
        self._save_snapshot(snapshot)
        self._db.execute("COMMIT")

    def save(self, effects: Iterable[Effect]) -> None:
        """Execute the effects that save state, in one synced transaction.

        :param effects: the effects; those that save nothing are ignored.
        """
        self._db.execute("BEGIN IMMEDIATE")
        for effect in effects:
            match effect:
                case SaveVote(term, vote):
                    self._write_meta({"term": str(term), "vote": vote})
                case SaveStanding(standing, seen):
                    runs_json = encode(standing.runs).decode()
                    seen_json = encode(seen).decode()
                    meta = {
                        "incarnation": standing.incarnation,
                        "runs": runs_json,
                        "seen": seen_json,
                    }
                    self._write_meta(meta)
                case SaveSettled(index):
                    self._write_meta({"settled": str(index)})
                case SaveEntries(first, entries):
                    self._db.execute("DELETE FROM log WHERE idx >= ?", (first,))
                    self._insert_entries(entries)
                case SaveSnapshot(snapshot, install):
                    self._save_snapshot(snapshot)
                    last = _MAX_INDEX if install else snapshot.index
                    self._db.execute("DELETE FROM log WHERE idx <= ?", (last,))
        self._db.execute("COMMIT")

    def roll_back(self) -> None:
        """Roll back the open transaction, if any."""
        if self._db.in_transaction:
            self._db.execute("ROLLBACK")

    def is_empty(self) -> bool:
        """Return whether nothing has been saved yet."""
        return not self._db.execute("SELECT count(*) FROM meta").fetchone()[0]

    def close(self) -> None:
        """Close the database."""
        self._db.close()

    def _write_meta(self, meta: dict[str, str]) -> None:
        self._db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", meta.items())

    def _insert_entries(self, entries: Iterable[LogEntry]) -> None:
        rows = (
            (e.index, e.term, e.kind.value, e.payload, _encode_members(e.members)) for e in entries
        )
        self._db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        row = (snapshot.index, snapshot.term, _encode_members(snapshot.members), snapshot.state)
        self._db.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?)", row)

    def _load_snapshot(self) -> Snapshot:
        row = self._db.execute("SELECT idx, term, members, state FROM snapshot").fetchone()
        if row is None:
            return Snapshot(0, 0, (), "")
        return Snapshot(row[0], row[1], _decode_members(row[2]), row[3])

    def _load_log(self) -> Iterable[LogEntry]:
        query = "SELECT idx, term, kind, payload, members FROM log ORDER BY idx"
        for index, term, kind, payload, members in self._db.execute(query):
            yield LogEntry(index, term, EntryKind(kind), payload, _decode_members(members))


def _encode_members(members: tuple[Member, ...]) -> str:
    return encode(members).decode()


def _decode_members(text: str) -> tuple[Member, ...]:
    return decode(tuple[Member, ...], text)
