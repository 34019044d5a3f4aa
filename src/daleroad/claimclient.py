"""Client of the claim journal, used by entries for requests that may not be repeated."""

import time

from xxhash import xxh3_64_intdigest

from daleroad.claimjournal import (
    Acquire,
    Claim,
    ClaimCommand,
    ClaimOutcome,
    ClaimState,
    Look,
    Release,
    Settle,
)
from daleroad.codec import encode
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.leaderclient import LeaderClient
from daleroad.messages import ClaimRequest

_READ_TIMEOUT_SECONDS = 1.5
_ACQUIRE_TIMEOUT_SECONDS = 3.0
_SETTLE_TIMEOUT_SECONDS = 30.0
_LOOK_TIMEOUT_SECONDS = 1.0


class ClaimClient:
    """Sends commands to the shard of the claim journal that a key hashes to.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        shards = env.settings.claim_shards
        self._leaders = [LeaderClient(env.settings, env.links) for _ in range(shards)]

    async def acquire(
        self, organisation: str, key: str, digest: str, upstream: str, generation: str
    ) -> ClaimOutcome | Failure:
        """Claim a key for a generation.

        :param organisation: owner of the key.
        :param key: the idempotency key.
        :param digest: hash of the request.
        :param upstream: the upstream to which the request will be sent.
        :param generation: the only generation that may run.
        """
        entry = self._env.settings.name
        claim = Claim(organisation, key, digest, entry, upstream, generation, time.time())
        return await self._call(organisation, key, Acquire(claim), _ACQUIRE_TIMEOUT_SECONDS)

    async def read(self, organisation: str, key: str, digest: str) -> ClaimOutcome | Failure:
        """Return the current claim of a key, if any.

        :param organisation: owner of the key.
        :param key: the idempotency key.
        :param digest: hash of the request.
        """
        return await self._call(
            organisation, key, Look(organisation, key, digest), _LOOK_TIMEOUT_SECONDS
        )

    async def settle(
        self, organisation: str, key: str, generation: str, state: ClaimState, answer: str
    ) -> ClaimOutcome | Failure:
        """Record how a claimed generation ended.

        :param organisation: owner of the key.
        :param key: the idempotency key.
        :param generation: the generation.
        :param state: the final state.
        :param answer: the answer to record, or empty.
        """
        command = Settle(organisation, key, generation, state, answer, time.time())
        return await self._call(organisation, key, command, _SETTLE_TIMEOUT_SECONDS)

    async def release(self, organisation: str, key: str, generation: str) -> ClaimOutcome | Failure:
        """Remove a claim whose generation has not run and never will.

        :param organisation: owner of the key.
        :param key: the idempotency key.
        :param generation: the generation.
        """
        command = Release(organisation, key, generation)
        return await self._call(organisation, key, command, _ACQUIRE_TIMEOUT_SECONDS)

    async def _call(
        self, organisation: str, key: str, command: ClaimCommand, timeout_seconds: float
    ) -> ClaimOutcome | Failure:
        shard = xxh3_64_intdigest(f"{organisation}\x00{key}".encode()) % len(self._leaders)
        payload = encode(command, ClaimCommand).decode()
        body = encode(ClaimRequest(payload))
        path = f"/claims/{shard}"
        return await self._leaders[shard].call(
            path, body, ClaimOutcome, _READ_TIMEOUT_SECONDS, timeout_seconds
        )


def make_unclaimed_failure(failure: Failure) -> Failure:
    """Return the failure for a request whose key could not be claimed.

    This attempt was not sent. If the journal did not answer, an earlier attempt with the same key
    may have run.

    :param failure: why the key could not be claimed.
    """
    answered = (FailureKind.KEY_CONFLICT, FailureKind.OVERLOADED)
    if failure.kind in answered:
        return Failure(failure.kind, failure.reason, Ran.NO, failure.retry_after)
    reason = f"{failure.reason}; this attempt was not sent, an earlier one may have been"
    return Failure(failure.kind, reason, Ran.UNKNOWN, failure.retry_after)
