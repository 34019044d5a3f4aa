"""Requests that an entry holds back, since upstreams ended while they ran them.

The rule is the gateways' (suspects). Entries tell each other what they saw at once; one that was
not reached learns of it with the next end. Calls that an upstream makes while it runs a request
come in as requests of their own, and so pass here too.
"""

from http import HTTPStatus

import anyio

from daleroad.codec import encode
from daleroad.defaults import STILL_THERE_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.fingerprints import make_fingerprint
from daleroad.guarding import log_suspicion
from daleroad.messages import Suspicions
from daleroad.records import Organisation, Route, State
from daleroad.suspects import Standing, Suspicion


class Holding:
    """What one entry holds against requests.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env

    def find_refusal(self, fingerprint: str) -> Failure | None:
        """Return why a request reaches no upstream, if it does not.

        :param fingerprint: the request.
        """
        suspects = self._env.suspects
        now = anyio.current_time()
        if suspects.get_standing(fingerprint, now) is not Standing.HELD:
            return None
        left = suspects.get_held_left(fingerprint, now)
        reason = "upstreams ended while they ran this request"
        return Failure(FailureKind.HELD, reason, Ran.NO, round(left))

    def note_lost(
        self, fingerprint: str, organisation: Organisation, route: Route, upstream: str
    ) -> None:
        """Take in that an upstream lost a request which it may have begun.

        :param fingerprint: the request.
        :param organisation: who sent it.
        :param route: the route that it took.
        :param upstream: the upstream's name, of one start.
        """
        known = self._env.catalog.upstreams.get(upstream)
        if known is not None and known.state is not State.SERVING:
            # It said that it would go.
            return
        now = anyio.current_time()
        news = self._env.suspects.note_crash(
            fingerprint, organisation.name, route.name, upstream, now
        )
        if news is None:
            return
        standing = self._env.suspects.get_standing(fingerprint, now)
        if standing is not Standing.CLEAR:
            log_suspicion(self._env.suspects.get(fingerprint, now), standing)
        self._env.spawn(self._tell, [news])
        self._env.spawn(self._check_there, upstream)

    def note_whole(self, fingerprint: str) -> None:
        """Take in that a request had a whole answer.

        :param fingerprint: the request.
        """
        news = self._env.suspects.note_whole(fingerprint, anyio.current_time())
        if news is not None:
            self._env.spawn(self._tell, [news])

    def take(self, told: Suspicions) -> None:
        """Take in what another entry saw.

        :param told: what it saw.
        """
        now = anyio.current_time()
        for suspicion in told.suspicions:
            self._env.suspects.merge(suspicion, now)
            refuted = self._env.suspects.refute(suspicion.fingerprint, now)
            if refuted is not None:
                self._env.spawn(self._tell, [refuted])
        self._env.suspects.prune(now)

    async def _check_there(self, upstream: str) -> None:
        """Take the end of an upstream back that is still a member when it should be gone."""
        await anyio.sleep(self._env.settings.upstream_lease + STILL_THERE_SECONDS)
        if upstream not in self._env.catalog.upstreams:
            return
        news = self._env.suspects.note_alive(upstream, anyio.current_time())
        if news:
            await self._tell(news)

    async def _tell(self, suspicions: list[Suspicion]) -> None:
        env = self._env
        body = encode(Suspicions(tuple(suspicions)))
        async with anyio.create_task_group() as tasks:
            for entry in list(env.catalog.entries.values()):
                if entry.name != env.settings.name:
                    url = f"{entry.address}/suspicions"
                    tasks.start_soon(env.links.call, url, body, type(None))


def find_call_fingerprint(organisation: Organisation, route: Route, path: str, body: bytes) -> str:
    """Return what an entry knows a request by.

    :param organisation: who sent it.
    :param route: the route that it takes.
    :param path: the path behind the route, with the query; empty for a generation.
    :param body: its body, or what stands for it.
    """
    return make_fingerprint(organisation.name, "", route.name, path.encode(), body)


def is_whole(status: int) -> bool:
    """Return whether an answer's status shows that its upstream bore the request.

    :param status: the status.
    """
    return status < HTTPStatus.INTERNAL_SERVER_ERROR
