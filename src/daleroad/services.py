"""Proxy for HTTP calls to plain services, at /services/ROUTE/; retries only where allowed.

Calls that may be repeated are retried on other upstreams. Others run at most once per idempotency
key, by a claim in the claim journal.
"""

import base64
from dataclasses import dataclass
from http import HTTPStatus

import anyio
import httpx
import orjson
from xxhash import xxh3_128_hexdigest

from daleroad.claimclient import ClaimClient, make_unclaimed_failure
from daleroad.claimjournal import Claim, ClaimState
from daleroad.compression import unpack
from daleroad.defaults import LAST_ANSWER_SECONDS, MAX_CLAIM_ANSWER_BYTES
from daleroad.ending import make_shutdown_failure
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.jobs import authenticate, get_idempotency_key, parse_deadline
from daleroad.links import BodyTooLargeError, Fetched, fetch
from daleroad.ranking import rank_upstreams
from daleroad.records import Organisation, Route, Upstream
from daleroad.requestholds import RequestHolds, fingerprint_call, is_success_status
from daleroad.retries import get_backoff
from daleroad.security import make_generation
from daleroad.serving import Answer, Request, Response

_IDEMPOTENT = ("GET", "HEAD", "OPTIONS")
_MAX_ATTEMPTS = 4
_DROPPED_HEADERS = (
    "host",
    "authorization",
    "accept-encoding",
    "content-length",
    "connection",
    "transfer-encoding",
)
_PLAIN = "identity"

ANSWER_BYTES = 8_000_000
"""Largest body of a plain service's response, as sent and in its plain form."""


@dataclass(frozen=True)
class _Call:
    """A call with its route and its sender.

    :param rest: the path after the route's name.
    """

    request: Request
    route: Route
    rest: str
    organisation: Organisation

    def find_fingerprint(self) -> str:
        """Return the fingerprint, which is the same when the request is sent again."""
        path = f"{self.request.method} {self.rest}?{self.request.query}"
        return fingerprint_call(self.organisation, self.route, path, self.request.body)


class PlainCalls:
    """Forwards calls to plain services.

    :param env: the entry's environment.
    :param holding: decides which suspected poison requests are held.
    """

    def __init__(self, env: Environment, holding: RequestHolds) -> None:
        self._env = env
        self._holding = holding
        self._claims = ClaimClient(env)

    async def serve(self, request: Request) -> Answer:
        """Answer one call; its path is ``/services/ROUTE/...``.

        :param request: the request.
        """
        env = self._env
        organisation = authenticate(env.directory, request)
        if isinstance(organisation, Failure):
            return organisation
        name, _, rest = request.tail.partition("/")
        route = env.directory.get_route(name, organisation.partner)
        if route is None or route.models:
            return Failure(FailureKind.UNKNOWN_ROUTE, f"no route {name} to a plain service")
        deadline = parse_deadline(request, route, anyio.current_time())
        if isinstance(deadline, Failure):
            return deadline
        deadline = min(deadline, env.ends_at - LAST_ANSWER_SECONDS)
        if route.repeatable or request.method in _IDEMPOTENT:
            return await self._call_repeatable(request, route, rest, organisation, deadline)
        key = get_idempotency_key(request, route)
        if isinstance(key, Failure):
            return key
        return await self._call_once(request, route, rest, organisation, key, deadline)

    async def _call_repeatable(
        self,
        request: Request,
        route: Route,
        rest: str,
        organisation: Organisation,
        deadline: float,
    ) -> Answer:
        self._env.budget.record_first_attempt()
        answer: Answer = _make_no_upstream_failure(route)
        ran = Ran.NO
        for attempt in range(_MAX_ATTEMPTS):
            upstream = self._pick(route, attempt)
            if upstream is None:
                return answer
            call = _Call(request, route, rest, organisation)
            answer = await self._send_unless_held(call, upstream, deadline)
            if not isinstance(answer, Failure):
                return answer
            ran = answer.ran if answer.ran is not Ran.NO else ran
            is_late = anyio.current_time() >= deadline
            if is_late or not self._env.budget.try_acquire():
                break
            await anyio.sleep(get_backoff(attempt, self._env.random))
        assert isinstance(answer, Failure)
        return Failure(answer.kind, answer.reason, ran, answer.retry_after)

    async def _call_once(
        self,
        request: Request,
        route: Route,
        rest: str,
        organisation: Organisation,
        key: str,
        deadline: float,
    ) -> Answer:
        upstream = self._pick(route, 0)
        if upstream is None:
            return await self._answer_without_upstream(request, route, organisation, key)
        secret = self._env.settings.cluster_secret
        generation = make_generation(upstream.name, organisation.name, secret)
        digest = _hash_call(request)
        name = organisation.name
        outcome = await self._claims.acquire(name, key, digest, upstream.name, generation)
        refused = outcome if isinstance(outcome, Failure) else outcome.failure
        if refused is not None:
            return make_unclaimed_failure(refused)
        assert not isinstance(outcome, Failure)
        if not outcome.acquired and outcome.claim is not None:
            return _answer_claimed(outcome.claim)
        call = _Call(request, route, rest, organisation)
        answer = await self._send_unless_held(call, upstream, deadline)
        await self._settle(answer, name, key, generation)
        return answer

    async def _answer_without_upstream(
        self, request: Request, route: Route, organisation: Organisation, key: str
    ) -> Answer:
        """Answer a call for which there is no upstream from its claim, or else refuse it.

        An earlier attempt with the same key may have run.
        """
        outcome = await self._claims.read(organisation.name, key, _hash_call(request))
        if isinstance(outcome, Failure):
            return make_unclaimed_failure(outcome)
        if outcome.failure is not None:
            return outcome.failure
        return _answer_claimed(outcome.claim) if outcome.claim else _make_no_upstream_failure(route)

    async def _settle(self, answer: Answer, name: str, key: str, generation: str) -> None:
        if isinstance(answer, Failure) and answer.ran is Ran.NO:
            await self._claims.release(name, key, generation)
            return
        if isinstance(answer, Response):
            encoded = _encode_response(answer)
            self._env.spawn(self._claims.settle, name, key, generation, ClaimState.DONE, encoded)
            return
        await self._claims.settle(name, key, generation, ClaimState.UNKNOWN, "")

    def _pick(self, route: Route, attempt: int) -> Upstream | None:
        env = self._env
        now = anyio.current_time()
        known = env.directory.list_upstreams(route.service, "")
        healthy = [u for u in known if env.ejector.is_open(u.name, now)] or known

        def get_load(name: str) -> float:
            return env.loads.get(name, 0.0)

        ranked = rank_upstreams(healthy, "", get_load, env.random)
        return ranked[attempt % len(ranked)] if ranked else None

    async def _send_unless_held(
        self, call: "_Call", upstream: Upstream, deadline: float
    ) -> Response | Failure:
        """Send a call unless it is held; record a complete response or the loss of its upstream."""
        fingerprint = call.find_fingerprint()
        held = self._holding.find_refusal(fingerprint)
        if held is not None:
            return held
        answer = await self._send(call.request, upstream, call.rest, deadline)
        if isinstance(answer, Response):
            if is_success_status(answer.status):
                self._holding.record_success(fingerprint)
        elif answer.kind is FailureKind.UPSTREAM_LOST and answer.ran is not Ran.NO:
            name = upstream.name
            self._holding.record_lost(fingerprint, call.organisation, call.route, name)
        return answer

    async def _send(
        self, request: Request, upstream: Upstream, rest: str, deadline: float
    ) -> Response | Failure:
        env = self._env
        query = f"?{request.query}" if request.query else ""
        url = f"{upstream.address}/{rest}{query}"
        headers = {k: v for k, v in request.headers.items() if k not in _DROPPED_HEADERS}
        timeout = max(0.05, deadline - anyio.current_time())
        failure: Failure
        env.ejector.take_trial(upstream.name, anyio.current_time())
        with env.answers.open_request() as held:
            try:
                fetched = await fetch(
                    env.links.urgent,
                    request.method,
                    url,
                    ANSWER_BYTES,
                    timeout,
                    held,
                    content=request.body,
                    headers=headers,
                )
                self._record_result(upstream, fetched.status < HTTPStatus.INTERNAL_SERVER_ERROR)
                return _make_response(fetched)
            except BodyTooLargeError as error:
                # The upstream works; that it sends so much is a matter of this call.
                self._record_result(upstream, True)
                return Failure(FailureKind.UPSTREAM_REFUSED, str(error), Ran.UNKNOWN)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                failure = Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.NO, 1.0)
            except TimeoutError:
                failure = self._make_timeout_failure()
                if held.starved:
                    # The response waited for room here.
                    return failure
            except httpx.HTTPError as error:
                failure = Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN, 1.0)
        self._record_result(upstream, False)
        return failure

    def _make_timeout_failure(self) -> Failure:
        """Return the failure of a call that timed out: a shutdown of this entry or its deadline."""
        if anyio.current_time() >= self._env.ends_at - LAST_ANSWER_SECONDS:
            return make_shutdown_failure(Ran.UNKNOWN)
        return Failure(
            FailureKind.DEADLINE,
            "the upstream did not answer before the deadline",
            Ran.UNKNOWN,
            1.0,
        )

    def _record_result(self, upstream: Upstream, ok: bool) -> None:
        env = self._env
        among = len(env.directory.list_upstreams(upstream.service, ""))
        env.ejector.note(upstream.name, ok, among, anyio.current_time())


def _hash_call(request: Request) -> str:
    """Return a hash that tells different calls with the same idempotency key apart."""
    text = f"{request.method} {request.path}?{request.query}\x00"
    return xxh3_128_hexdigest(text.encode() + request.body)


def _make_response(fetched: Fetched) -> Response | Failure:
    """Return a response for the caller, who gets the body in its plain form."""
    body = fetched.body
    encoding = fetched.headers.get("content-encoding", _PLAIN).lower()
    if body and encoding != _PLAIN:
        plain = unpack(body, ANSWER_BYTES, encoding)
        if isinstance(plain, Failure):
            return Failure(FailureKind.UPSTREAM_REFUSED, plain.reason, Ran.UNKNOWN)
        body = plain
    content_type = fetched.headers.get("content-type", "application/octet-stream")
    return Response(fetched.status, body, content_type)


def _make_no_upstream_failure(route: Route) -> Failure:
    reason = f"no upstream of {route.service} is available"
    return Failure(FailureKind.NO_UPSTREAM, reason, retry_after=2.0)


def _encode_response(response: Response) -> str:
    """Return a response as text for the claim journal, or an empty text if it is too large."""
    if len(response.body) > MAX_CLAIM_ANSWER_BYTES // 2:
        return ""
    body = base64.b64encode(response.body).decode()
    return orjson.dumps([response.status, body, response.content_type]).decode()


def _answer_claimed(claim: Claim) -> Answer:
    """Return the answer to a call whose key is claimed by an earlier attempt."""
    if claim.state is ClaimState.DONE and claim.answer:
        status, body, content_type = orjson.loads(claim.answer)
        return Response(status, base64.b64decode(body), content_type)
    if claim.state is ClaimState.DONE:
        reason = "an earlier attempt with this key ran; its answer was not stored"
        return Failure(FailureKind.ALREADY_RAN, reason, Ran.YES)
    if claim.state is ClaimState.UNKNOWN:
        reason = "an earlier attempt with this key was lost; it may have run"
        return Failure(FailureKind.ALREADY_RAN, reason, Ran.UNKNOWN)
    reason = "an earlier attempt with this key is recorded as running"
    return Failure(FailureKind.KEY_RUNNING, reason, Ran.UNKNOWN, 1.0)
