"""Serves generation requests on an entry, from upstream selection to the end of the answer."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass, field, replace
from uuid import uuid4

import anyio
import orjson

from daleroad.claimclient import ClaimClient, make_unclaimed_failure
from daleroad.claimjournal import Claim, ClaimState
from daleroad.defaults import MAX_CLAIM_ANSWER_BYTES
from daleroad.delivery import TokenSequence
from daleroad.ending import make_shutdown_failure
from daleroad.environment import Environment, Inflight
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.finishing import compute_latest_start, estimate_max_tokens
from daleroad.jobs import Job, authenticate, describe_work, parse_job
from daleroad.messages import EngineCompletion, PermitAnswer, PermitEnd, Work
from daleroad.onsets import Onset, Progress
from daleroad.organisationlimits import OrganisationLimits
from daleroad.ranking import rank_upstreams
from daleroad.records import Organisation, Upstream
from daleroad.relay import (
    EngineStream,
    StreamEnded,
    StreamFailed,
    StreamPart,
    TokenChunk,
    cancel_generation,
)
from daleroad.requestholds import RequestHolds, fingerprint_call
from daleroad.retries import get_backoff
from daleroad.security import get_upstream, make_generation
from daleroad.serving import Answer, Request, Response, Stream, make_error
from daleroad.stewardship import Stewardship

_MAX_CANDIDATES = 3
_TRANSIENT_KINDS = (FailureKind.CONFLICT, FailureKind.UNREACHABLE, FailureKind.DRAINING)
_GENERATION_HEADER = "x-generation"


@dataclass(frozen=True)
class Permit:
    """A steward's permission to run one generation on an upstream."""

    upstream: Upstream
    work: Work


@dataclass
class ActiveGeneration:
    """A generation whose first part has been received.

    :param permit: the permit, or ``None`` if an earlier request dispatched the generation.
    :param job: the request, or ``None`` when resumed with ``Last-Event-ID``.
    :param slot: identifies the request to the organisation's limits.
    :param answer: raw events received so far, to be stored with the claim of a request that may not
        be repeated.
    :param onset: tells whether its upstream got far with it.
    """

    generation: str
    first: StreamPart
    parts: AsyncGenerator[StreamPart, None]
    relay: EngineStream
    permit: Permit | None = None
    job: Job | None = None
    slot: str = ""
    answer: list[bytes] = field(default_factory=list)
    onset: Onset = field(default_factory=lambda: Onset(anyio.current_time()))


class GenerationHandler:
    """Serves the generation requests that one entry receives.

    :param env: the entry's environment.
    :param stewardship: obtains and returns permits.
    :param limits: enforces the organisations' limits on concurrent requests.
    :param holding: blocks requests suspected of crashing upstreams.
    """

    def __init__(
        self,
        env: Environment,
        stewardship: Stewardship,
        limits: OrganisationLimits,
        holding: RequestHolds,
    ) -> None:
        self._env = env
        self._holding = holding
        self._limits = limits
        self._stewardship = stewardship
        self._claims = ClaimClient(env)
        self._permit_waits: dict[anyio.CancelScope, Job] = {}

    async def serve(self, request: Request) -> Answer:
        """Handle a request for a new generation, or for the rest of an earlier one.

        :param request: a request with ``Last-Event-ID`` resumes a generation.
        """
        last_event_id = request.headers.get("last-event-id")
        if last_event_id is not None:
            return await self._serve_resume(request, last_event_id)
        now = anyio.current_time()
        job = parse_job(self._env.directory, request, now)
        if isinstance(job, Failure):
            return self._refuse("", job)
        if not self._can_finish_in_time(job):
            return await self._refuse_or_deliver_earlier(job, make_shutdown_failure(Ran.NO))
        slot = uuid4().hex
        refused = await self._limits.acquire(job.organisation, slot)
        if refused is not None:
            return await self._refuse_or_deliver_earlier(job, refused)
        # Never returned: makes `finally` release the slot if `_start` raises or is cancelled.
        active: ActiveGeneration | Failure = Failure(
            FailureKind.UNREACHABLE, "request handling was interrupted", Ran.UNKNOWN
        )
        try:
            active = await self._start(job)
        finally:
            if isinstance(active, Failure):
                self._env.spawn(self._limits.release, job.organisation, slot)
        if isinstance(active, Failure):
            return self._refuse(job.route.name, active)
        active.slot = slot
        waited = anyio.current_time() - now
        self._env.metrics.first_token.labels(str(job.route.urgent)).observe(waited)
        return await self._deliver(active, job.completion.stream)

    async def _refuse_or_deliver_earlier(self, job: Job, refused: Failure) -> Answer:
        """Refuse a request, or deliver the generation of an earlier attempt with its key."""
        found = await self._attach_or_refuse(job, refused)
        if isinstance(found, Failure):
            return self._refuse(job.route.name, found)
        return await self._deliver(found, job.completion.stream)

    def _refuse(self, route: str, failure: Failure) -> Failure:
        self._env.metrics.accepted.labels(route, failure.kind.value).inc()
        log_event(Event.REQUEST_REFUSED, route=route, kind=failure.kind, ran=failure.ran)
        return failure

    # Shutdown of the entry.

    def apply_shutdown_deadline(self) -> None:
        """Limit pending waits for permits to what the shutdown deadline allows."""
        for scope, job in self._permit_waits.items():
            scope.deadline = self._find_latest_start(job)

    def _find_latest_start(self, job: Job) -> float:
        env = self._env
        max_tokens = job.completion.max_tokens
        tokens = estimate_max_tokens(env.lengths, job.route.name, job.model, max_tokens)
        return compute_latest_start(env.ends_at, job.deadline_at - job.arrived_at, tokens)

    def _can_finish_in_time(self, job: Job) -> bool:
        return anyio.current_time() < self._find_latest_start(job)

    async def _obtain_permit_in_time(self, job: Job, avoid: set[str]) -> Permit | Failure:
        """Obtain a permit, unless the generation could not finish before the entry shuts down."""
        permit: Permit | Failure = make_shutdown_failure(Ran.NO)
        scope = anyio.CancelScope(deadline=self._find_latest_start(job))
        self._permit_waits[scope] = job
        try:
            with scope:
                permit = await self._obtain_permit(job, avoid)
        finally:
            del self._permit_waits[scope]
        if self._can_finish_in_time(job):
            return permit
        if isinstance(permit, Permit):
            await self._return_permit(permit, 0, started=False, ok=False)
        return make_shutdown_failure(Ran.NO)

    # From job to first token.

    async def _start(self, job: Job) -> ActiveGeneration | Failure:
        """Dispatch a request and wait for its first token, retrying on other upstreams."""
        self._env.budget.record_first_attempt()
        ran = Ran.NO
        avoid: set[str] = set()
        attempt = 0
        while True:
            held = self._holding.find_refusal(
                _make_fingerprint(job), job.organisation.name, job.find_shared_part()
            )
            permit = held or await self._obtain_permit_in_time(job, avoid)
            if isinstance(permit, Failure):
                return await self._attach_or_refuse(job, _include_earlier_ran(permit, ran))
            active = await self._dispatch(job, permit)
            if isinstance(active, ActiveGeneration):
                return active
            if not job.route.repeatable and active.ran is not Ran.NO:
                return active
            if active.kind not in (FailureKind.UPSTREAM_LOST, FailureKind.UPSTREAM_REFUSED):
                return _include_earlier_ran(active, ran)
            ran = active.ran if active.ran is not Ran.NO else ran
            late = anyio.current_time() >= job.deadline_at
            if late or not self._env.budget.try_acquire():
                return _include_earlier_ran(active, ran)
            avoid.add(permit.upstream.name)
            log_event(Event.REQUEST_MOVED, route=job.route.name, away=permit.upstream.name)
            self._env.metrics.moved.inc()
            await anyio.sleep(get_backoff(attempt, self._env.random))
            attempt += 1

    async def _obtain_permit(self, job: Job, avoid: set[str]) -> Permit | Failure:
        """Obtain a permit for one of the upstreams, retrying until the deadline.

        Only failures of _TRANSIENT_KINDS are retried.
        """
        attempt = 0
        while True:
            permit = await self._try_candidates(job, avoid)
            # If the steward changed or is unreachable, a membership update names its successor; a
            # draining upstream is no longer listed after one.
            if isinstance(permit, Permit) or permit.kind not in _TRANSIENT_KINDS:
                return permit
            if anyio.current_time() >= job.deadline_at:
                reason = f"no permit before the deadline: {permit.reason}"
                return Failure(FailureKind.NO_UPSTREAM, reason, retry_after=1.0)
            attempt += 1
            await anyio.sleep(get_backoff(attempt, self._env.random))

    async def _try_candidates(self, job: Job, avoid: set[str]) -> Permit | Failure:
        """Request a permit for each of the first candidates in turn, without queueing.

        If all are overloaded, queue for the one that stated the shortest wait.
        """
        candidates = self._rank_upstreams(job, avoid)
        if not candidates:
            reason = f"service {job.route.service} has no upstream that serves model {job.model}"
            return Failure(FailureKind.NO_UPSTREAM, reason, retry_after=2.0)
        best = candidates[0]
        shortest_wait = float("inf")
        for upstream in candidates[:_MAX_CANDIDATES]:
            permit = await self._request_permit(job, upstream, wait=False)
            if isinstance(permit, Permit) or permit.kind is not FailureKind.OVERLOADED:
                return permit
            if (permit.retry_after or 0.0) < shortest_wait:
                shortest_wait = permit.retry_after or 0.0
                best = upstream
        return await self._request_permit(job, best, wait=True)

    def _rank_upstreams(self, job: Job, avoid: set[str]) -> list[Upstream]:
        env = self._env
        now = anyio.current_time()
        known = env.directory.list_upstreams(job.route.service, job.model)
        healthy = [u for u in known if env.ejector.is_open(u.name, now)]
        untried = [u for u in healthy or known if u.name not in avoid]

        def get_load(name: str) -> float:
            return env.loads.get(name, 0.0)

        return rank_upstreams(untried or healthy or known, job.prefix, get_load, env.random)

    async def _request_permit(self, job: Job, upstream: Upstream, wait: bool) -> Permit | Failure:
        env = self._env
        secret = env.settings.cluster_secret
        generation = make_generation(upstream.name, job.organisation.name, secret)
        # With this deadline, the steward drops the work from its queue once the work could not
        # finish before this entry shuts down.
        deadline_at = min(job.deadline_at, self._find_latest_start(job))
        work = describe_work(
            replace(job, deadline_at=deadline_at), generation, anyio.current_time()
        )
        answer = await self._stewardship.request_permit(upstream, work, wait)
        if isinstance(answer, PermitAnswer):
            return Permit(upstream, work)
        return answer

    async def _dispatch(self, job: Job, permit: Permit) -> ActiveGeneration | Failure:
        """Claim the key of non-repeatable work, send the work and wait for its first token."""
        if job.route.repeatable:
            return await self._send_work(job, permit)
        generation = permit.work.generation
        name = job.organisation.name
        outcome = await self._claims.acquire(
            name, job.key, job.digest, permit.upstream.name, generation
        )
        refused = outcome if isinstance(outcome, Failure) else outcome.failure
        if refused is not None:
            await self._return_permit(permit, 0, started=False, ok=False)
            return make_unclaimed_failure(refused)
        assert not isinstance(outcome, Failure)
        if not outcome.acquired and outcome.claim is not None:
            await self._return_permit(permit, 0, started=False, ok=False)
            return await self._attach_to_claim(job, outcome.claim)
        active = await self._send_work(job, permit)
        if isinstance(active, Failure):
            return await self._settle_failed_claim(job, permit, active)
        return active

    async def _attach_or_refuse(self, job: Job, failure: Failure) -> ActiveGeneration | Failure:
        """Attach to an earlier attempt with the job's key if there is one, else refuse the job.

        The keys of repeatable requests are not claimed, so these are refused at once.
        """
        if job.route.repeatable:
            return failure
        outcome = await self._claims.read(job.organisation.name, job.key, job.digest)
        if isinstance(outcome, Failure):
            reason = f"{failure.reason}; it is unknown whether an earlier attempt ran"
            return Failure(failure.kind, reason, Ran.UNKNOWN, failure.retry_after)
        if outcome.failure is not None:
            return outcome.failure
        return await self._attach_to_claim(job, outcome.claim) if outcome.claim else failure

    async def _send_work(self, job: Job, permit: Permit) -> ActiveGeneration | Failure:
        work, upstream = permit.work, permit.upstream
        completion = EngineCompletion(
            work.generation,
            job.model,
            job.completion.prompt,
            job.completion.max_tokens,
            job.priority,
        )
        relay = self._make_relay(upstream.address, TokenSequence(work.generation), job.route.urgent)
        self._env.inflight[work.generation] = Inflight(work, upstream.name)
        self._env.ejector.take_trial(upstream.name, anyio.current_time())
        parts = relay.start(completion)
        first = await anext(parts)
        ok = not isinstance(first, StreamFailed)
        self._record_health(upstream, ok)
        if isinstance(first, StreamFailed):
            await parts.aclose()
            return await self._cancel_failed_work(job, permit, first.failure)
        return ActiveGeneration(work.generation, first, parts, relay, permit, job)

    async def _cancel_failed_work(self, job: Job, permit: Permit, failure: Failure) -> Failure:
        """Return the permit of work that yielded no token; cancel the work if it may have run.

        The returned failure says whether it may have run: it certainly did not if the upstream had
        not seen it before the cancellation.
        """
        ran = failure.ran
        if ran is not Ran.NO:
            self._record_loss(job, permit, failure)
            known = await cancel_generation(
                self._env.links, permit.upstream.address, permit.work.generation
            )
            unseen = not isinstance(known, Failure) and known.state == "unseen"
            ran = Ran.NO if unseen else Ran.UNKNOWN
        await self._return_permit(permit, 0, started=False, ok=False)
        return Failure(failure.kind, failure.reason, ran, failure.retry_after or 1.0)

    async def _settle_failed_claim(
        self, job: Job, permit: Permit, failure: Failure
    ) -> ActiveGeneration | Failure:
        """Settle or release the claim of work that yielded no token."""
        generation = permit.work.generation
        name = job.organisation.name
        if failure.ran is not Ran.NO:
            await self._claims.settle(name, job.key, generation, ClaimState.UNKNOWN, "")
            return failure
        outcome = await self._claims.release(name, job.key, generation)
        if isinstance(outcome, Failure) or outcome.acquired or outcome.claim is None:
            return failure
        # The release failed because another attempt has claimed the key in the meantime.
        return await self._attach_to_claim(job, outcome.claim)

    # Keys claimed by an earlier attempt.

    async def _attach_to_claim(self, job: Job, claim: Claim) -> ActiveGeneration | Failure:
        """Replay or resume the generation of an earlier attempt with the same key."""
        match claim.state:
            case ClaimState.DONE if claim.answer:
                return _replay_answer(job, claim)
            case ClaimState.UNKNOWN:
                reason = "an earlier attempt was lost; it is unknown whether it ran"
                return Failure(FailureKind.ALREADY_RAN, reason, Ran.UNKNOWN)
        upstream = self._env.catalog.upstreams.get(claim.upstream)
        if upstream is None:
            return self._refuse_attach(claim, "its upstream is no longer a member")
        delivery = TokenSequence(claim.generation)
        relay = self._make_relay(upstream.address, delivery, job.route.urgent)
        parts = relay.resume()
        first = await anext(parts)
        if not isinstance(first, StreamFailed):
            return ActiveGeneration(claim.generation, first, parts, relay, None, job)
        await parts.aclose()
        return await self._handle_failed_attach(job, claim, upstream)

    async def _handle_failed_attach(self, job: Job, claim: Claim, upstream: Upstream) -> Failure:
        if claim.state is ClaimState.DONE:
            return self._refuse_attach(
                claim,
                "its answer is not kept with the claim and could not be read from its upstream",
            )
        known = await cancel_generation(self._env.links, upstream.address, claim.generation)
        if isinstance(known, Failure):
            reason = "an earlier attempt holds this key and its upstream does not respond"
            return Failure(FailureKind.KEY_RUNNING, reason, Ran.UNKNOWN, 2.0)
        if known.state == "unseen":
            # The upstream never ran the generation and now refuses it.
            name = job.organisation.name
            await self._claims.release(name, job.key, claim.generation)
            reason = "an earlier attempt never ran; retry the request"
            return Failure(FailureKind.KEY_RUNNING, reason, Ran.NO, 0.5)
        return self._refuse_attach(claim, "its stream cannot be resumed")

    def _refuse_attach(self, claim: Claim, reason: str) -> Failure:
        ran = Ran.YES if claim.state is ClaimState.DONE else Ran.UNKNOWN
        return Failure(FailureKind.ALREADY_RAN, f"an earlier attempt holds this key; {reason}", ran)

    # From first token to end.

    async def _serve_resume(self, request: Request, last_event_id: str) -> Answer:
        found = self._parse_resume(request, last_event_id)
        if isinstance(found, Failure):
            return self._refuse("", found)
        delivery, upstream = found
        relay = self._make_relay(upstream.address, delivery, urgent=True)
        parts = relay.resume()
        first = await anext(parts)
        if isinstance(first, StreamFailed):
            await parts.aclose()
            failure = first.failure
            return self._refuse(
                "", Failure(failure.kind, failure.reason, Ran.PARTIAL, failure.retry_after)
            )
        return await self._deliver(
            ActiveGeneration(delivery.generation, first, parts, relay), stream=True
        )

    def _parse_resume(
        self, request: Request, last_event_id: str
    ) -> tuple[TokenSequence, Upstream] | Failure:
        organisation: Organisation | Failure = authenticate(self._env.directory, request)
        if isinstance(organisation, Failure):
            return organisation
        # An event id is GENERATION:INDEX.
        generation, _, index = last_event_id.rpartition(":")
        secret = self._env.settings.cluster_secret
        name = get_upstream(generation, organisation.name, secret)
        if name is None or not index.isdigit():
            reason = "Last-Event-ID does not identify a generation of this organisation"
            return Failure(FailureKind.BAD_REQUEST, reason)
        upstream = self._env.catalog.upstreams.get(name)
        if upstream is None:
            reason = "the generation's upstream is no longer a member"
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.PARTIAL)
        return TokenSequence(generation, int(index) + 1), upstream

    def _make_relay(self, address: str, delivery: TokenSequence, urgent: bool) -> EngineStream:
        env = self._env
        return EngineStream(env.links, address, delivery, env.settings.stall, urgent, env.random)

    async def _deliver(self, active: ActiveGeneration, stream: bool) -> Answer:
        headers = ((_GENERATION_HEADER, active.generation),)
        pieces = self._stream_body(active)
        if stream:
            return Stream(pieces, headers=headers)
        async with aclosing(pieces):
            return await _collect_response(active, pieces, headers)

    async def _stream_body(self, active: ActiveGeneration) -> AsyncGenerator[bytes, None]:
        """Yield the response body; clean up in the background when it ends or is cancelled."""
        env = self._env
        env.metrics.inflight.inc()
        last_part: StreamPart = active.first
        ready_at = anyio.current_time()
        try:
            async for part in _iterate_parts(active):
                last_part = part
                match part:
                    case TokenChunk(raw, count):
                        self._record_progress(active, raw, count)
                        self._note_onset(active, anyio.current_time() - ready_at)
                        yield raw
                        ready_at = anyio.current_time()
                    case StreamEnded(raw, _):
                        active.answer.append(raw)
                        yield raw
                    case StreamFailed(failure):
                        yield make_error(failure)
        finally:
            env.metrics.inflight.dec()
            env.metrics.resumed.inc(active.relay.resumes)
            env.inflight.pop(active.generation, None)
            env.spawn(self._clean_up, active, last_part)

    def _record_progress(self, active: ActiveGeneration, raw: bytes, count: int) -> None:
        self._env.metrics.tokens.inc(count)
        inflight = self._env.inflight.get(active.generation)
        if inflight is not None:
            inflight.produced += count
        if active.job is not None and not active.job.route.repeatable:
            active.answer.append(raw)

    def _note_onset(self, active: ActiveGeneration, waited: float) -> None:
        """Clear the part that a prompt shares, once its upstream has got far with the answer."""
        if not active.onset.note_event(waited, anyio.current_time()) or active.job is None:
            return
        part = active.job.find_shared_part()
        if part is not None:
            self._holding.record_far(part, active.job.organisation.name)

    async def _clean_up(self, active: ActiveGeneration, last_part: StreamPart) -> None:
        """Release what a generation holds, by how its delivery ended: whole, broken or left.

        The organisation's slot is released in each case. The permit is returned unless the client
        left before the end; the claim is settled only if the answer is whole.
        """
        job = active.job
        if job is not None:
            await self._limits.release(job.organisation, active.slot)
        tokens = active.relay.delivery.next_index
        whole = isinstance(last_part, StreamEnded)
        end = "whole" if whole else "broken" if isinstance(last_part, StreamFailed) else "left"
        self._env.metrics.accepted.labels(job.route.name if job else "", end).inc()
        if end == "broken":
            log_event(Event.STREAM_ENDED, generation=active.generation, tokens=tokens)
        if active.permit is not None and end != "left":
            if end == "broken":
                self._record_health(active.permit.upstream, False)
                if job is not None and isinstance(last_part, StreamFailed):
                    progress = active.onset.get_progress()
                    self._record_loss(job, active.permit, last_part.failure, progress)
            await self._return_permit(active.permit, tokens, started=True, ok=whole)
        if job is not None and whole:
            part = job.find_shared_part()
            self._holding.record_success(_make_fingerprint(job), job.organisation.name, part)
        if job is not None and not job.route.repeatable and whole:
            answer = b"".join(active.answer)
            kept = answer.decode() if len(answer) <= MAX_CLAIM_ANSWER_BYTES else ""
            name = job.organisation.name
            await self._claims.settle(name, job.key, active.generation, ClaimState.DONE, kept)

    async def _return_permit(self, permit: Permit, tokens: int, started: bool, ok: bool) -> None:
        self._env.inflight.pop(permit.work.generation, None)
        end = PermitEnd(permit.upstream.name, permit.work.generation, tokens, started, ok)
        await self._stewardship.return_permit(end)

    def _record_loss(
        self,
        job: Job,
        permit: Permit,
        failure: Failure,
        progress: Progress = Progress.UNBEGUN,
    ) -> None:
        if failure.kind is not FailureKind.UPSTREAM_LOST:
            # A refusal, or a stall after the response began, is not a crash.
            return
        name = permit.upstream.name
        part = job.find_shared_part()
        self._holding.record_lost(
            _make_fingerprint(job), job.organisation, job.route, name, part, progress
        )

    def _record_health(self, upstream: Upstream, ok: bool) -> None:
        env = self._env
        among = len(env.directory.list_upstreams(upstream.service, ""))
        if env.ejector.note(upstream.name, ok, among, anyio.current_time()):
            log_event(Event.UPSTREAM_EJECTED, upstream=upstream.name)


def _make_fingerprint(job: Job) -> str:
    return fingerprint_call(job.organisation, job.route, "", job.digest.encode())


async def _iterate_parts(active: ActiveGeneration) -> AsyncIterator[StreamPart]:
    yield active.first
    async with aclosing(active.parts) as parts:
        async for part in parts:
            yield part


def _replay_answer(job: Job, claim: Claim) -> ActiveGeneration:
    """Return a generation that replays the answer stored with a claim."""

    async def iterate_nothing() -> AsyncGenerator[StreamPart, None]:
        nothing: tuple[StreamPart, ...] = ()
        for part in nothing:
            yield part

    raw = claim.answer.encode()
    delivery = TokenSequence(claim.generation)
    relay = EngineStream(None, "", delivery, 0.0, False, None)  # type: ignore[arg-type]
    return ActiveGeneration(
        claim.generation, StreamEnded(raw, 0), iterate_nothing(), relay, None, job
    )


def _include_earlier_ran(failure: Failure, ran: Ran) -> Failure:
    """Return a failure that also covers whether earlier attempts may have run."""
    if failure.ran is Ran.NO and ran is not Ran.NO:
        return Failure(failure.kind, failure.reason, ran, failure.retry_after)
    return failure


async def _collect_response(
    active: ActiveGeneration, pieces: AsyncIterator[bytes], headers: tuple[tuple[str, str], ...]
) -> Answer:
    """Collect the events of a stream into one JSON response, or return its failure."""
    raw = b"".join([piece async for piece in pieces])
    texts: list[str] = []
    for event in raw.split(b"\n\n"):
        data = event.rpartition(b"data: ")[2]
        if event.startswith(b"event: error"):
            detail = orjson.loads(data)["detail"]
            return Failure(FailureKind.UPSTREAM_LOST, detail, Ran.PARTIAL, 1.0)
        if event.startswith(b"id: "):
            texts.append(orjson.loads(data)["text"])
    body = {"generation": active.generation, "text": "".join(texts), "tokens": len(texts)}
    return Response(200, orjson.dumps(body), headers=headers)
