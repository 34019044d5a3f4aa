"""A generation request from job to answer: place, permit, claim, dispatch, deliver."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass, field, replace
from uuid import uuid4

import anyio
import orjson

from daleroad.claiming import Claims, refuse_unclaimed
from daleroad.claims import Claim, ClaimState
from daleroad.defaults import CLAIM_ANSWER_BYTES
from daleroad.delivery import Delivery
from daleroad.ending import make_leaving
from daleroad.environment import Environment, Inflight
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.finishing import expect_tokens, find_latest_start
from daleroad.holding import Holding, find_call_fingerprint
from daleroad.jobs import Job, identify, make_work, parse_job
from daleroad.limiting import Limits
from daleroad.messages import EngineCompletion, PermitAnswer, PermitEnd, Work
from daleroad.placement import rank_candidates
from daleroad.records import Organisation, Upstream
from daleroad.relay import Broken, Ended, Part, Piece, Relay, forbid
from daleroad.retries import get_backoff
from daleroad.security import get_upstream, make_generation
from daleroad.serving import Answer, Request, Response, Stream, make_error
from daleroad.stewardship import Stewardship

_TRY_MOST = 3
_PASSING = (FailureKind.CONFLICT, FailureKind.UNREACHABLE, FailureKind.DRAINING)
_GENERATION_HEADER = "x-generation"


@dataclass(frozen=True)
class Placed:
    """A permit for a generation on an upstream."""

    upstream: Upstream
    work: Work


@dataclass
class Flow:
    """A generation whose first part has come.

    :param placed: nothing for a stream that was only resumed.
    """

    generation: str
    first: Part
    parts: AsyncGenerator[Part, None]
    relay: Relay
    placed: Placed | None = None
    job: Job | None = None
    slot: str = ""
    answer: list[bytes] = field(default_factory=list)


class Generations:
    """Serves generation requests of one entry.

    :param env: the entry's environment.
    :param stewardship: gives permits.
    :param limits: keeps the limits of organisations.
    :param holding: knows which requests reach no upstream.
    """

    def __init__(
        self, env: Environment, stewardship: Stewardship, limits: Limits, holding: Holding
    ) -> None:
        self._env = env
        self._holding = holding
        self._limits = limits
        self._stewardship = stewardship
        self._claims = Claims(env)
        self._placing: dict[anyio.CancelScope, Job] = {}

    async def serve(self, request: Request) -> Answer:
        """Answer one request for a generation, new or resumed.

        :param request: the request.
        """
        last = request.headers.get("last-event-id")
        if last is not None:
            return await self._serve_resume(request, last)
        now = anyio.current_time()
        job = parse_job(self._env.directory, request, now)
        if isinstance(job, Failure):
            return self._refuse("", job)
        if not self._can_be_over(job):
            return await self._refuse_early(job, make_leaving(Ran.NO))
        slot = uuid4().hex
        refused = await self._limits.take(job.organisation, slot)
        if refused is not None:
            return await self._refuse_early(job, refused)
        flow: Flow | Failure = Failure(FailureKind.UNREACHABLE, "ended early", Ran.UNKNOWN)
        try:
            flow = await self._start(job)
        finally:
            if isinstance(flow, Failure):
                self._env.spawn(self._limits.release, job.organisation, slot)
        if isinstance(flow, Failure):
            return self._refuse(job.route.name, flow)
        flow.slot = slot
        waited = anyio.current_time() - now
        self._env.metrics.first_token.labels(str(job.route.urgent)).observe(waited)
        return await self._deliver(flow, job.completion.stream)

    async def _refuse_early(self, job: Job, refused: Failure) -> Answer:
        found = await self._refuse_unplaced(job, refused)
        if isinstance(found, Failure):
            return self._refuse(job.route.name, found)
        return await self._deliver(found, job.completion.stream)

    def _refuse(self, route: str, failure: Failure) -> Failure:
        self._env.metrics.accepted.labels(route, failure.kind.value).inc()
        log_event(Event.REQUEST_REFUSED, route=route, kind=failure.kind, ran=failure.ran)
        return failure

    # The entry's end.

    def note_end(self) -> None:
        """Let what waits for a permit wait no longer than until the entry's end allows."""
        for scope, job in self._placing.items():
            scope.deadline = self._find_latest_start(job)

    def _find_latest_start(self, job: Job) -> float:
        env = self._env
        most = job.completion.max_tokens
        tokens = expect_tokens(env.lengths, job.route.name, job.model, most)
        return find_latest_start(env.ends_at, job.deadline_at - job.arrived_at, tokens)

    def _can_be_over(self, job: Job) -> bool:
        return anyio.current_time() < self._find_latest_start(job)

    async def _place_in_time(self, job: Job, avoid: set[str]) -> Placed | Failure:
        """Place a job as long as it can be over before the entry ends."""
        placed: Placed | Failure = make_leaving(Ran.NO)
        scope = anyio.CancelScope(deadline=self._find_latest_start(job))
        self._placing[scope] = job
        try:
            with scope:
                placed = await self._place(job, avoid)
        finally:
            del self._placing[scope]
        if self._can_be_over(job):
            return placed
        if isinstance(placed, Placed):
            await self._end(placed, 0, started=False, ok=False)
        return make_leaving(Ran.NO)

    # From job to first token.

    async def _start(self, job: Job) -> Flow | Failure:
        """Dispatch a job; it may move to other upstreams until its first token."""
        self._env.budget.note_try()
        ran = Ran.NO
        avoid: set[str] = set()
        attempt = 0
        while True:
            held = self._holding.find_refusal(_find_fingerprint(job))
            placed = held or await self._place_in_time(job, avoid)
            if isinstance(placed, Failure):
                return await self._refuse_unplaced(job, _worsen(placed, ran))
            flow = await self._dispatch(job, placed)
            if isinstance(flow, Flow):
                return flow
            if not job.route.repeatable and flow.ran is not Ran.NO:
                return flow
            if flow.kind not in (FailureKind.UPSTREAM_LOST, FailureKind.UPSTREAM_REFUSED):
                return _worsen(flow, ran)
            ran = flow.ran if flow.ran is not Ran.NO else ran
            late = anyio.current_time() >= job.deadline_at
            if late or not self._env.budget.take():
                return _worsen(flow, ran)
            avoid.add(placed.upstream.name)
            log_event(Event.REQUEST_MOVED, route=job.route.name, away=placed.upstream.name)
            self._env.metrics.moved.inc()
            await anyio.sleep(get_backoff(attempt, self._env.random))
            attempt += 1

    async def _place(self, job: Job, avoid: set[str]) -> Placed | Failure:
        """Find an upstream and get a permit for it, while the membership settles if need be."""
        attempt = 0
        while True:
            placed = await self._place_once(job, avoid)
            # The steward changed or is not reached: the membership will tell of another.
            if isinstance(placed, Placed) or placed.kind not in _PASSING:
                return placed
            if anyio.current_time() >= job.deadline_at:
                reason = f"no steward answered: {placed.reason}"
                return Failure(FailureKind.NO_UPSTREAM, reason, retry_after=1.0)
            attempt += 1
            await anyio.sleep(get_backoff(attempt, self._env.random))

    async def _place_once(self, job: Job, avoid: set[str]) -> Placed | Failure:
        candidates = self._rank(job, avoid)
        if not candidates:
            reason = f"no upstream of {job.route.service} serves {job.model}"
            return Failure(FailureKind.NO_UPSTREAM, reason, retry_after=2.0)
        best = candidates[0]
        least = float("inf")
        for upstream in candidates[:_TRY_MOST]:
            placed = await self._ask(job, upstream, wait=False)
            if isinstance(placed, Placed) or placed.kind is not FailureKind.OVERLOADED:
                return placed
            if (placed.retry_after or 0.0) < least:
                least = placed.retry_after or 0.0
                best = upstream
        return await self._ask(job, best, wait=True)

    def _rank(self, job: Job, avoid: set[str]) -> list[Upstream]:
        env = self._env
        now = anyio.current_time()
        known = env.directory.list_upstreams(job.route.service, job.model)
        healthy = [u for u in known if env.ejector.is_open(u.name, now)]
        fresh = [u for u in healthy or known if u.name not in avoid]

        def get_load(name: str) -> float:
            return env.loads.get(name, 0.0)

        return rank_candidates(fresh or healthy or known, job.prefix, get_load, env.random)

    async def _ask(self, job: Job, upstream: Upstream, wait: bool) -> Placed | Failure:
        env = self._env
        secret = env.settings.cluster_secret
        generation = make_generation(upstream.name, job.organisation.name, secret)
        # The steward forgets it by itself when it can't be over any more.
        deadline_at = min(job.deadline_at, self._find_latest_start(job))
        work = make_work(replace(job, deadline_at=deadline_at), generation, anyio.current_time())
        answer = await self._stewardship.ask(upstream, work, wait)
        if isinstance(answer, PermitAnswer):
            return Placed(upstream, work)
        return answer

    async def _dispatch(self, job: Job, placed: Placed) -> Flow | Failure:
        """Claim the key if need be, send the work and wait for its first token."""
        if job.route.repeatable:
            return await self._open(job, placed)
        generation = placed.work.generation
        name = job.organisation.name
        outcome = await self._claims.acquire(
            name, job.key, job.digest, placed.upstream.name, generation
        )
        refused = outcome if isinstance(outcome, Failure) else outcome.failure
        if refused is not None:
            await self._end(placed, 0, started=False, ok=False)
            return refuse_unclaimed(refused)
        assert not isinstance(outcome, Failure)
        if not outcome.acquired and outcome.claim is not None:
            await self._end(placed, 0, started=False, ok=False)
            return await self._attach(job, outcome.claim)
        flow = await self._open(job, placed)
        if isinstance(flow, Failure):
            return await self._settle_failed(job, placed, flow)
        return flow

    async def _refuse_unplaced(self, job: Job, failure: Failure) -> Flow | Failure:
        """Refuse work without a permit; an earlier try under its key may have run, though."""
        if job.route.repeatable:
            return failure
        outcome = await self._claims.look(job.organisation.name, job.key, job.digest)
        if isinstance(outcome, Failure):
            reason = f"{failure.reason}; whether an earlier try ran is not known"
            return Failure(failure.kind, reason, Ran.UNKNOWN, failure.retry_after)
        if outcome.failure is not None:
            return outcome.failure
        return await self._attach(job, outcome.claim) if outcome.claim else failure

    async def _open(self, job: Job, placed: Placed) -> Flow | Failure:
        work, upstream = placed.work, placed.upstream
        order = EngineCompletion(
            work.generation,
            job.model,
            job.completion.prompt,
            job.completion.max_tokens,
            job.priority,
        )
        relay = self._make_relay(upstream.address, Delivery(work.generation), job.route.urgent)
        self._env.inflight[work.generation] = Inflight(work, upstream.name)
        self._env.ejector.take_trial(upstream.name, anyio.current_time())
        parts = relay.start(order)
        first = await anext(parts)
        ok = not isinstance(first, Broken)
        self._note_health(upstream, ok)
        if isinstance(first, Broken):
            await parts.aclose()
            return await self._give_up(job, placed, first.failure)
        return Flow(work.generation, first, parts, relay, placed, job)

    async def _give_up(self, job: Job, placed: Placed, failure: Failure) -> Failure:
        """Make sure that work without a first token won't run any more; say whether it did."""
        ran = failure.ran
        if ran is not Ran.NO:
            self._note_lost(job, placed, failure)
            known = await forbid(self._env.links, placed.upstream.address, placed.work.generation)
            unseen = not isinstance(known, Failure) and known.state == "unseen"
            ran = Ran.NO if unseen else Ran.UNKNOWN
        await self._end(placed, 0, started=False, ok=False)
        return Failure(failure.kind, failure.reason, ran, failure.retry_after or 1.0)

    async def _settle_failed(self, job: Job, placed: Placed, failure: Failure) -> Flow | Failure:
        """Settle the claim of work that gave no token."""
        generation = placed.work.generation
        name = job.organisation.name
        if failure.ran is not Ran.NO:
            await self._claims.settle(name, job.key, generation, ClaimState.UNKNOWN, "")
            return failure
        outcome = await self._claims.release(name, job.key, generation)
        if isinstance(outcome, Failure) or outcome.acquired or outcome.claim is None:
            return failure
        # Another entry took the key over while this one was away.
        return await self._attach(job, outcome.claim)

    # Keys that were claimed before.

    async def _attach(self, job: Job, claim: Claim) -> Flow | Failure:
        """Answer a request whose key was claimed by an earlier try."""
        match claim.state:
            case ClaimState.DONE if claim.answer:
                return _replay(job, claim)
            case ClaimState.UNKNOWN:
                reason = "an earlier try was lost; it is not known whether it ran"
                return Failure(FailureKind.ALREADY_RAN, reason, Ran.UNKNOWN)
        upstream = self._env.catalog.upstreams.get(claim.upstream)
        if upstream is None:
            return self._refuse_attach(claim, "its upstream is gone")
        delivery = Delivery(claim.generation)
        relay = self._make_relay(upstream.address, delivery, job.route.urgent)
        parts = relay.resume()
        first = await anext(parts)
        if not isinstance(first, Broken):
            return Flow(claim.generation, first, parts, relay, None, job)
        await parts.aclose()
        return await self._attach_failed(job, claim, upstream)

    async def _attach_failed(self, job: Job, claim: Claim, upstream: Upstream) -> Failure:
        if claim.state is ClaimState.DONE:
            return self._refuse_attach(claim, "its answer is no longer kept")
        known = await forbid(self._env.links, upstream.address, claim.generation)
        if isinstance(known, Failure):
            reason = "an earlier try holds this key and its upstream does not answer"
            return Failure(FailureKind.KEY_RUNNING, reason, Ran.UNKNOWN, 2.0)
        if known.state == "unseen":
            # The upstream's word: it never ran there and never will.
            name = job.organisation.name
            await self._claims.release(name, job.key, claim.generation)
            reason = "an earlier try never ran; send the request again"
            return Failure(FailureKind.KEY_RUNNING, reason, Ran.NO, 0.5)
        return self._refuse_attach(claim, "its stream can't be resumed")

    def _refuse_attach(self, claim: Claim, reason: str) -> Failure:
        ran = Ran.YES if claim.state is ClaimState.DONE else Ran.UNKNOWN
        return Failure(FailureKind.ALREADY_RAN, f"an earlier try has this key; {reason}", ran)

    # From first token to end.

    async def _serve_resume(self, request: Request, last: str) -> Answer:
        found = self._parse_resume(request, last)
        if isinstance(found, Failure):
            return self._refuse("", found)
        delivery, upstream = found
        relay = self._make_relay(upstream.address, delivery, urgent=True)
        parts = relay.resume()
        first = await anext(parts)
        if isinstance(first, Broken):
            await parts.aclose()
            failure = first.failure
            return self._refuse(
                "", Failure(failure.kind, failure.reason, Ran.PARTIAL, failure.retry_after)
            )
        return await self._deliver(Flow(delivery.generation, first, parts, relay), stream=True)

    def _parse_resume(self, request: Request, last: str) -> tuple[Delivery, Upstream] | Failure:
        organisation: Organisation | Failure = identify(self._env.directory, request)
        if isinstance(organisation, Failure):
            return organisation
        generation, _, index = last.rpartition(":")
        secret = self._env.settings.cluster_secret
        name = get_upstream(generation, organisation.name, secret)
        if name is None or not index.isdigit():
            reason = "Last-Event-ID is not a generation of this organisation"
            return Failure(FailureKind.BAD_REQUEST, reason)
        upstream = self._env.catalog.upstreams.get(name)
        if upstream is None:
            reason = "the generation's upstream is gone"
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.PARTIAL)
        return Delivery(generation, int(index) + 1), upstream

    def _make_relay(self, address: str, delivery: Delivery, urgent: bool) -> Relay:
        env = self._env
        return Relay(env.links, address, delivery, env.settings.stall, urgent, env.random)

    async def _deliver(self, flow: Flow, stream: bool) -> Answer:
        headers = ((_GENERATION_HEADER, flow.generation),)
        pieces = self._write(flow)
        if stream:
            return Stream(pieces, headers=headers)
        async with aclosing(pieces):
            return await _gather(flow, pieces, headers)

    async def _write(self, flow: Flow) -> AsyncGenerator[bytes, None]:
        """Yield what the caller gets, and settle everything at the end."""
        env = self._env
        env.metrics.inflight.inc()
        last: Part = flow.first
        try:
            async for part in _chain(flow):
                last = part
                match part:
                    case Piece(raw, count):
                        self._note_progress(flow, raw, count)
                        yield raw
                    case Ended(raw, _):
                        flow.answer.append(raw)
                        yield raw
                    case Broken(failure):
                        yield make_error(failure)
        finally:
            env.metrics.inflight.dec()
            env.metrics.resumed.inc(flow.relay.resumes)
            env.inflight.pop(flow.generation, None)
            env.spawn(self._finish, flow, last)

    def _note_progress(self, flow: Flow, raw: bytes, count: int) -> None:
        self._env.metrics.tokens.inc(count)
        flight = self._env.inflight.get(flow.generation)
        if flight is not None:
            flight.produced += count
        if flow.job is not None and not flow.job.route.repeatable:
            flow.answer.append(raw)

    async def _finish(self, flow: Flow, last: Part) -> None:
        """Give the permit back, settle the claim, note the evidence."""
        job = flow.job
        if job is not None:
            await self._limits.release(job.organisation, flow.slot)
        tokens = flow.relay.delivery.next_index
        whole = isinstance(last, Ended)
        end = "whole" if whole else "broken" if isinstance(last, Broken) else "left"
        self._env.metrics.accepted.labels(job.route.name if job else "", end).inc()
        if end == "broken":
            log_event(Event.STREAM_ENDED, generation=flow.generation, tokens=tokens)
        if flow.placed is not None and end != "left":
            if end == "broken":
                self._note_health(flow.placed.upstream, False)
                if job is not None and isinstance(last, Broken):
                    self._note_lost(job, flow.placed, last.failure)
            await self._end(flow.placed, tokens, started=True, ok=whole)
        if job is not None and whole:
            self._holding.note_whole(_find_fingerprint(job))
        if job is not None and not job.route.repeatable and whole:
            answer = b"".join(flow.answer)
            kept = answer.decode() if len(answer) <= CLAIM_ANSWER_BYTES else ""
            name = job.organisation.name
            await self._claims.settle(name, job.key, flow.generation, ClaimState.DONE, kept)

    async def _end(self, placed: Placed, tokens: int, started: bool, ok: bool) -> None:
        self._env.inflight.pop(placed.work.generation, None)
        end = PermitEnd(placed.upstream.name, placed.work.generation, tokens, started, ok)
        await self._stewardship.end(end)

    def _note_lost(self, job: Job, placed: Placed, failure: Failure) -> None:
        if failure.kind is not FailureKind.UPSTREAM_LOST:
            # It answered, or only its link is slow.
            return
        name = placed.upstream.name
        self._holding.note_lost(_find_fingerprint(job), job.organisation, job.route, name)

    def _note_health(self, upstream: Upstream, ok: bool) -> None:
        env = self._env
        among = len(env.directory.list_upstreams(upstream.service, ""))
        if env.ejector.note(upstream.name, ok, among, anyio.current_time()):
            log_event(Event.UPSTREAM_EJECTED, upstream=upstream.name)


def _find_fingerprint(job: Job) -> str:
    return find_call_fingerprint(job.organisation, job.route, "", job.digest.encode())


async def _chain(flow: Flow) -> AsyncIterator[Part]:
    yield flow.first
    async with aclosing(flow.parts) as parts:
        async for part in parts:
            yield part


def _replay(job: Job, claim: Claim) -> Flow:
    """Return the recorded answer of a claim as a flow."""

    async def get_nothing() -> AsyncGenerator[Part, None]:
        nothing: tuple[Part, ...] = ()
        for part in nothing:
            yield part

    raw = claim.answer.encode()
    delivery = Delivery(claim.generation)
    relay = Relay(None, "", delivery, 0.0, False, None)  # type: ignore[arg-type]
    return Flow(claim.generation, Ended(raw, 0), get_nothing(), relay, None, job)


def _worsen(failure: Failure, ran: Ran) -> Failure:
    """Return a failure that admits what earlier tries may have run."""
    if failure.ran is Ran.NO and ran is not Ran.NO:
        return Failure(failure.kind, failure.reason, ran, failure.retry_after)
    return failure


async def _gather(
    flow: Flow, pieces: AsyncIterator[bytes], headers: tuple[tuple[str, str], ...]
) -> Answer:
    """Return a whole answer as one JSON document, or a failure."""
    raw = b"".join([piece async for piece in pieces])
    texts: list[str] = []
    for event in raw.split(b"\n\n"):
        data = event.rpartition(b"data: ")[2]
        if event.startswith(b"event: error"):
            detail = orjson.loads(data)["detail"]
            return Failure(FailureKind.UPSTREAM_LOST, detail, Ran.PARTIAL, 1.0)
        if event.startswith(b"id: "):
            texts.append(orjson.loads(data)["text"])
    body = {"generation": flow.generation, "text": "".join(texts), "tokens": len(texts)}
    return Response(200, orjson.dumps(body), headers=headers)
