"""Claims of requests that may not be repeated, as a deterministic state driven by a log.

A claim is committed before its request is dispatched. It is settled by the entry that holds it,
or by another one that has the upstream's word that the generation never ran and never will.
"""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from daleroad.codec import decode, encode, register_union
from daleroad.defaults import CLAIM_KEEP_SECONDS, CLAIM_MOST
from daleroad.errors import Failure, FailureKind, Ran


class ClaimState(StrEnum):
    """What is known of a claimed request."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Claim:
    """A request that may not be repeated, and the one dispatch that is allowed for it.

    :param digest: hash of the request, to tell another request under the same key.
    :param at: seconds since the epoch on the proposing entry's clock.
    :param answer: the recorded answer once done, if it was small enough.
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
    """Claim a key, if nobody has."""

    claim: Claim


@dataclass(frozen=True)
class Settle:
    """Record how a claimed request ended, if the claim is still of this generation."""

    organisation: str
    key: str
    generation: str
    state: ClaimState
    answer: str
    at: float


@dataclass(frozen=True)
class Release:
    """Forget a claim whose generation is known never to run."""

    organisation: str
    key: str
    generation: str


@dataclass(frozen=True)
class Look:
    """Ask for the claim that stands, without any change."""

    organisation: str
    key: str
    digest: str


ClaimCommand = Acquire | Settle | Release | Look


@dataclass(frozen=True)
class ClaimOutcome:
    """The claim that stands after a command, or why there is none.

    :param acquired: whether the command's own claim stands.
    """

    acquired: bool
    claim: Claim | None = None
    failure: Failure | None = None


register_union(ClaimCommand)


@dataclass
class ClaimJournal:
    """All claims of one shard, oldest first.

    :param most: claims remembered at most.
    :param keep_seconds: how long a settled claim is remembered.
    """

    most: int = CLAIM_MOST
    keep_seconds: float = CLAIM_KEEP_SECONDS
    claims: dict[tuple[str, str], Claim] = field(default_factory=dict)

    def apply_payload(self, index: int, payload: str) -> Any:
        """Apply a committed command given as text.

        :param index: its index in the log.
        :param payload: the command.
        """
        command = decode(ClaimCommand, payload)
        if isinstance(command, Failure):
            return ClaimOutcome(False, None, command)
        return self.apply(command)

    def apply(self, command: ClaimCommand) -> ClaimOutcome:
        """Apply one command and return the claim that stands.

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
        """Return the claims as text."""
        return encode(tuple(self.claims.values())).decode()

    def load(self, text: str) -> None:
        """Replace the claims by dumped ones.

        :param text: what :meth:`dump` gave.
        """
        loaded: tuple[Claim, ...] = decode(tuple[Claim, ...], text) if text else ()
        self.claims = {(claim.organisation, claim.key): claim for claim in loaded}

    def _acquire(self, claim: Claim) -> ClaimOutcome:
        self._expire(claim.at)
        slot = (claim.organisation, claim.key)
        known = self.claims.get(slot)
        if known is None and len(self.claims) >= self.most:
            failure = Failure(FailureKind.OVERLOADED, "the claim journal is full", Ran.NO, 60.0)
            return ClaimOutcome(False, None, failure)
        if known is None:
            self.claims[slot] = claim
            return ClaimOutcome(True, claim)
        if known.digest != claim.digest:
            return _conflict()
        return ClaimOutcome(known.generation == claim.generation, known)

    def _look(self, command: Look) -> ClaimOutcome:
        known = self.claims.get((command.organisation, command.key))
        if known is not None and known.digest != command.digest:
            return _conflict()
        return ClaimOutcome(False, known)

    def _settle(self, command: Settle) -> ClaimOutcome:
        slot = (command.organisation, command.key)
        known = self.claims.get(slot)
        if known is None or known.generation != command.generation:
            return ClaimOutcome(False, known)
        if known.state is ClaimState.DONE:
            return ClaimOutcome(True, known)
        settled = replace(known, state=command.state, answer=command.answer, at=command.at)
        # A settled claim moves to the young end, so that expiry may stop at the first to keep.
        del self.claims[slot]
        self.claims[slot] = settled
        return ClaimOutcome(True, settled)

    def _release(self, command: Release) -> ClaimOutcome:
        slot = (command.organisation, command.key)
        known = self.claims.get(slot)
        if known is None or known.generation != command.generation:
            return ClaimOutcome(known is None, known)
        if known.state is not ClaimState.RUNNING:
            return ClaimOutcome(False, known)
        del self.claims[slot]
        return ClaimOutcome(True)

    def _expire(self, now: float) -> None:
        """Forget claims past their time; those whose end is not known wait as long again."""
        while self.claims:
            slot, oldest = next(iter(self.claims.items()))
            keep = self.keep_seconds
            if oldest.state is ClaimState.RUNNING:
                keep *= 2
            if oldest.at + keep > now:
                return
            del self.claims[slot]


def _conflict() -> ClaimOutcome:
    reason = "this key was used for another request"
    return ClaimOutcome(False, None, Failure(FailureKind.KEY_CONFLICT, reason))
