"""Every failure, typed.

Failures are values: a function returns what it made or a :class:`Failure` with a reason.
Exceptions derive from :class:`DaleroadError` and are raised only where a program can't go on.
"""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether a refused request ran on an upstream; ``yes`` is said of an earlier try only."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
    PARTIAL = "partial"


class FailureKind(StrEnum):
    """The kinds of failure, as callers and operators see them."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown-route"
    NOT_FOUND = "not-found"
    DEADLINE = "deadline-passed"
    OVERLOADED = "overloaded"
    NO_MEMORY = "no-memory"
    LIMIT = "organisation-limit"
    NO_UPSTREAM = "no-upstream"
    NO_LEASE = "no-lease"
    NO_MAJORITY = "no-majority"
    NOT_LEADER = "not-leader"
    LEADERSHIP_LOST = "leadership-lost"
    CONFLICT = "version-conflict"
    INVALID = "invalid-change"
    KEY_CONFLICT = "key-conflict"
    KEY_RUNNING = "key-running"
    ALREADY_RAN = "already-ran"
    UPSTREAM_LOST = "upstream-lost"
    UPSTREAM_REFUSED = "upstream-refused"
    STALLED = "stalled"
    DRAINING = "draining"
    HELD = "held-back"
    EVACUATED = "evacuated"
    UNREACHABLE = "unreachable"
    STALE_FENCING = "stale-fencing"
    DAMAGED = "damaged-storage"


@dataclass(frozen=True)
class Failure:
    """A sentinel value that stands for a result that could not be had.

    :param kind: what went wrong, for programs.
    :param reason: the same for people.
    :param ran: whether the request ran on an upstream.
    :param retry_after: seconds after which another try makes sense, if any does.
    """

    kind: FailureKind
    reason: str
    ran: Ran = Ran.NO
    retry_after: float | None = None


class DaleroadError(Exception):
    """Base of all exceptions of this package."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind}: {failure.reason}")
        self.failure = failure


class SettingsError(DaleroadError):
    """The settings can't be used."""


class StorageError(DaleroadError):
    """The data folder can't be used."""
