"""Replicated state machine for the claims of requests that may not be repeated.

A claim is committed before its request is dispatched. The entry that holds it settles it; another
entry may release it once the upstream confirms that the generation never ran and will be refused.
"""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from daleroad.codec import decode, encode, register_union
from daleroad.defaults import CLAIM_RETENTION_SECONDS, MAX_CLAIMS
from daleroad.errors import Failure, FailureKind, Ran


class ClaimState(StrEnum):
    """State of a claimed request."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Claim:
    """A request that may not be repeated, and the only dispatch allowed for it.

    :param digest: hash of the request, to detect a different request with the same key.
    :param at: seconds since the epoch on the proposing entry's clock.
    :param answer: the recorded answer once done; empty if it was too large.
    """

    organisation: str
    key: str
    digest: str
    entry: str
    upstream: str
    generation: str
    at: float
    state: ClaimState = ClaimState.RUNNING
    answer: str = ""


@dataclass(frozen=True)
class Acquire:
    """Claim a key that is not claimed yet."""

    claim: Claim


@dataclass(frozen=True)
class Settle:
    """Record how a claimed request ended, if this generation still holds the claim."""

    organisation: str
    key: str
    generation: str
    state: ClaimState
    answer: str
    at: float


@dataclass(frozen=True)
class Release:
    """Remove a claim whose generation has not run and never will."""

    organisation: str
    key: str
    generation: str


@dataclass(frozen=True)
class Look:
    """Read the current claim of a key."""

    organisation: str
    key: str
    digest: str


ClaimCommand = Acquire | Settle | Release | Look


@dataclass(frozen=True)
class ClaimOutcome:
    """Result of a command: the current claim, or why the command failed.

    :param acquired: whether the command's generation holds the claim, or after a release, whether
        the key is unclaimed.
    """

    acquired: bool
    claim: Claim | None = None
    failure: Failure | None = None


register_union(ClaimCommand)


@dataclass
class ClaimJournal:
    """All claims of one shard, oldest first.

    :param max_claims: maximum number of claims.
    :param retention_seconds: retention of settled claims.
    """

    max_claims: int = MAX_CLAIMS
    retention_seconds: float = CLAIM_RETENTION_SECONDS
    claims: dict[tuple[str, str], Claim] = field(default_factory=dict)

    def apply_payload(self, index: int, payload: str) -> Any:
        """Apply a committed command.

        :param index: its index in the log.
        :param payload: the encoded command.
        """
        command = decode(ClaimCommand, payload)
        if isinstance(command, Failure):
            return ClaimOutcome(False, None, command)
        return self.apply(command)

    def apply(self, command: ClaimCommand) -> ClaimOutcome:
        """Apply one command and return its outcome.

        :param command: the command.
        """
        match command:
            case Acquire(claim):
                return self._acquire(claim)
            case Settle():
                return self._settle(command)
            case Release():
                return self._release(command)
            case Look():
                return self._look(command)

    def dump(self) -> str:
        """Serialise all claims."""
        return encode(tuple(self.claims.values())).decode()

    def load(self, text: str) -> None:
        """Replace all claims with those of a dump.

        :param text: output of :meth:`dump`, or empty.
        """
        loaded: tuple[Claim, ...] = decode(tuple[Claim, ...], text) if text else ()
        self.claims = {(claim.organisation, claim.key): claim for claim in loaded}

    def _acquire(self, claim: Claim) -> ClaimOutcome:
        self._expire(claim.at)
        claim_key = (claim.organisation, claim.key)
        existing = self.claims.get(claim_key)
        if existing is None and len(self.claims) >= self.max_claims:
            failure = Failure(
                FailureKind.OVERLOADED,
                "the claim journal has reached its maximum size",
                Ran.NO,
                60.0,
            )
            return ClaimOutcome(False, None, failure)
        if existing is None:
            self.claims[claim_key] = claim
            return ClaimOutcome(True, claim)
        if existing.digest != claim.digest:
            return _make_conflict()
        return ClaimOutcome(existing.generation == claim.generation, existing)

    def _look(self, command: Look) -> ClaimOutcome:
        existing = self.claims.get((command.organisation, command.key))
        if existing is not None and existing.digest != command.digest:
            return _make_conflict()
        return ClaimOutcome(False, existing)

    def _settle(self, command: Settle) -> ClaimOutcome:
        claim_key = (command.organisation, command.key)
        existing = self.claims.get(claim_key)
        if existing is None or existing.generation != command.generation:
            return ClaimOutcome(False, existing)
        if existing.state is ClaimState.DONE:
            return ClaimOutcome(True, existing)
        settled = replace(existing, state=command.state, answer=command.answer, at=command.at)
        # A settled claim moves to the end, so that expiry can stop at the first claim to retain.
        del self.claims[claim_key]
        self.claims[claim_key] = settled
        return ClaimOutcome(True, settled)

    def _release(self, command: Release) -> ClaimOutcome:
        claim_key = (command.organisation, command.key)
        existing = self.claims.get(claim_key)
        if existing is None or existing.generation != command.generation:
            return ClaimOutcome(existing is None, existing)
        if existing.state is not ClaimState.RUNNING:
            return ClaimOutcome(False, existing)
        del self.claims[claim_key]
        return ClaimOutcome(True)

    def _expire(self, now: float) -> None:
        """Remove expired claims; running ones are retained for twice as long."""
        while self.claims:
            claim_key, oldest = next(iter(self.claims.items()))
            keep = self.retention_seconds
            if oldest.state is ClaimState.RUNNING:
                keep *= 2
            if oldest.at + keep > now:
                return
            del self.claims[claim_key]


def _make_conflict() -> ClaimOutcome:
    reason = "this idempotency key was used for a different request"
    return ClaimOutcome(False, None, Failure(FailureKind.KEY_CONFLICT, reason))
