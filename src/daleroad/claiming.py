"""Calls to the claim journal."""

import time

from xxhash import xxh3_64_intdigest

from daleroad.claims import (
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
from daleroad.leader import LeaderClient
from daleroad.messages import ClaimRequest

_READ_SECONDS = 1.5
_ACQUIRE_SECONDS = 3.0
_SETTLE_SECONDS = 30.0
_LOOK_SECONDS = 1.0


class Claims:
    """The claim journal as an entry sees it: shards by hash of the key.

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

        :param organisation: whose key.
        :param key: the key.
        :param digest: hash of the request.
        :param upstream: where it will run.
        :param generation: the generation that may run.
        """
        entry = self._env.settings.name
        claim = Claim(organisation, key, digest, entry, upstream, generation, time.time())
        return await self._call(organisation, key, Acquire(claim), _ACQUIRE_SECONDS)

    async def look(self, organisation: str, key: str, digest: str) -> ClaimOutcome | Failure:
        """Return the claim that stands for a key, if any.

        :param organisation: whose key.
        :param key: the key.
        :param digest: hash of the request.
        """
        return await self._call(organisation, key, Look(organisation, key, digest), _LOOK_SECONDS)

    async def settle(
        self, organisation: str, key: str, generation: str, state: ClaimState, answer: str
    ) -> ClaimOutcome | Failure:
        """Record how a claimed generation ended.

        :param organisation: whose key.
        :param key: the key.
        :param generation: the generation.
        :param state: how it ended.
        :param answer: its answer, or empty.
        """
        command = Settle(organisation, key, generation, state, answer, time.time())
        return await self._call(organisation, key, command, _SETTLE_SECONDS)

    async def release(self, organisation: str, key: str, generation: str) -> ClaimOutcome | Failure:
        """Forget a claim whose generation never ran and never will.

        :param organisation: whose key.
        :param key: the key.
        :param generation: the generation.
        """
        command = Release(organisation, key, generation)
        return await self._call(organisation, key, command, _ACQUIRE_SECONDS)

    async def _call(
        self, organisation: str, key: str, command: ClaimCommand, limit: float
    ) -> ClaimOutcome | Failure:
        shard = xxh3_64_intdigest(f"{organisation}\x00{key}".encode()) % len(self._leaders)
        payload = encode(command, ClaimCommand).decode()
        body = encode(ClaimRequest(payload))
        path = f"/claims/{shard}"
        return await self._leaders[shard].call(path, body, ClaimOutcome, _READ_SECONDS, limit)


def refuse_unclaimed(failure: Failure) -> Failure:
    """Return the answer to a request whose key could not be claimed.

    This try was not sent. Whether an earlier one under the same key ran is known only if the
    journal answered.

    :param failure: why there is no claim.
    """
    answered = (FailureKind.KEY_CONFLICT, FailureKind.OVERLOADED)
    if failure.kind in answered:
        return Failure(failure.kind, failure.reason, Ran.NO, failure.retry_after)
    reason = f"{failure.reason}; this try was not sent, an earlier one may have been"
    return Failure(failure.kind, reason, Ran.UNKNOWN, failure.retry_after)
