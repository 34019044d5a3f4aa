"""Request forwarding: routes and authenticates a request, sends it upstream, and retries it.

Retries before a response or stream starts are decided here. A request is sent to another upstream
if the previous one certainly did not run it, or if its route allows it to run more than once. The
route's attempt limit covers the attempts that may have run, and each retry takes from the budget
that all gateways share; an attempt that reached no upstream counts against neither. Restarts of a
started stream are decided in :mod:`daleroad.runs`, which takes from the same budget.
"""

from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import anyio

from daleroad.choosing import InsufficientMemory, Refused, UpstreamQuery
from daleroad.crashevidence import Verdict
from daleroad.defaults import (
    ENGINE_RETRY_AFTER_SECONDS,
    EVACUATED_RETRY_SECONDS,
    LAST_ANSWER_SECONDS,
    MAX_MEMORY_WAIT_OBJECTIVES,
    MEMORY_WAIT_PAUSE_SECONDS,
    NO_CONFIG_RETRY_SECONDS,
    PLAIN_RETRY_AFTER_SECONDS,
    SPARE_SECONDS,
    START_SECONDS,
)
from daleroad.demands import make_demand
from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    Headers,
    Lost,
    NotRun,
    Prompt,
    Reply,
    Stream,
    Whole,
)
from daleroad.draining import DurationEstimate, estimate_duration, find_retry_after, should_accept
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.fingerprints import describe_evidence
from daleroad.gateway import Gateway
from daleroad.instances import Instance
from daleroad.metrics import RequestMetrics
from daleroad.notices import Demand
from daleroad.paths import PROBE_SECONDS, Reach
from daleroad.playout import PlayoutSchedule
from daleroad.routing import Repeat, RouteRule, RoutingTable, ServiceRule
from daleroad.runs import RetryState, StreamRegistry, StreamRun
from daleroad.suspects import TRIAL_INTERVAL_SECONDS, Standing

TICKET_BITS = 64
"""Length of a ticket, so that a gateway that starts anew gives none that its leader still knows."""


@dataclass(frozen=True)
class StreamResponse:
    """A streaming response: complete events, then a failure if it was cut and not resumed.

    :param deadline: when the response must be complete.
    :param close: releases the stream; must always be called.
    :param playout: when its events are delivered; nothing to do so as they arrive.
    """

    status: int
    headers: Headers
    pieces: AsyncGenerator[bytes | Failure, None]
    deadline: float
    close: Callable[[], Awaitable[None]]
    playout: PlayoutSchedule | None = None


Outcome = Whole | StreamResponse | Failure


@dataclass
class _RequestState:
    """The state of one request while it is being forwarded.

    :param deadline: the earlier of the client's deadline and the route's timeout.
    :param response_deadline: when the upstream's response must have arrived: SPARE_SECONDS before
        the deadline, to send it on.
    :param need: estimated duration, up to the start of the response and from there to its end.
    :param tried_ids: ids of the instances picked so far, in order.
    :param possible_runs: number of attempts that may have run on an upstream.
    :param sends: number of sends, including those that certainly did not run and those that the
        guard refused.
    :param failed_response: the last complete response that reported a server error, if any.
    :param reached_upstream: whether the last attempt may have reached an upstream.
    :param ticket: identifies the request while it waits for room.
    :param is_waiting: whether it waits in a queue.
    :param held_by: the fingerprint of the suspect for which it was refused; empty if it was not.
    """

    job: ClientRequest
    table: RoutingTable
    route: RouteRule
    service: ServiceRule
    organisation: str
    rank: int
    deadline: float
    response_deadline: float
    need: DurationEstimate
    tried_ids: dict[str, None] = field(default_factory=dict)
    possible_runs: int = 0
    sends: int = 0
    failed_response: Whole | None = None
    reached_upstream: bool = True
    ticket: str = ""
    is_waiting: bool = False
    held_by: str = ""

    def get_kind(self) -> tuple[str, str]:
        """Return the route and the service, which together tell how long an answer takes."""
        return self.route.name, self.service.name


class Forwarder:
    """Forwards a gateway's requests to upstreams.

    :param gateway: the gateway.
    :param runs: delivers streaming responses.
    :param metrics: request metrics.
    """

    def __init__(self, gateway: Gateway, runs: StreamRegistry, metrics: RequestMetrics) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._runs = runs
        self._started_at = anyio.current_time()

    async def serve(self, job: ClientRequest) -> Outcome:
        """Forward a request and return its response, stream or failure.

        :param job: the request.
        """
        state = self._resolve_request(job)
        if isinstance(state, Failure):
            self._log_outcome(job, None, state)
            return state
        try:
            outcome = await self._run_attempts(state)
        finally:
            if state.is_waiting:
                self._gateway.spawn(
                    self._gateway.selector.withdraw, state.service.name, state.ticket
                )
        self._log_outcome(job, state, outcome)
        return outcome

    def refuse_if_draining(self, job: ClientRequest) -> Failure | None:
        """Return a refusal if a draining gateway should not read the body of a request.

        :param job: the request, without its body.
        """
        if self._gateway.serving:
            return None
        state = self._resolve_request(job)
        if isinstance(state, Failure):
            return None
        return self._refuse_if_draining(state, anyio.current_time())

    def make_unread_failure(self) -> Failure:
        """Return the failure of a request whose body did not arrive before this gateway exits."""
        gateway = self._gateway
        left = gateway.exits_at - anyio.current_time()
        retry_after = find_retry_after(left, gateway.other_gateways, gateway.selector.gateways)
        reason = "the gateway is shutting down before the request was read"
        return Failure(FailureKind.DRAINING, reason, Ran.NO, retry_after)

    def note_refusal(self, job: ClientRequest, failure: Failure) -> None:
        """Log and count a request that was refused before it was read completely.

        :param job: the request, without its body.
        :param failure: why it was refused.
        """
        self._log_outcome(job, None, failure)

    def _resolve_request(self, job: ClientRequest) -> _RequestState | Failure:
        gateway = self._gateway
        table = gateway.table
        if table is None or gateway.is_outdated():
            reason = "no current configuration"
            return Failure(FailureKind.NO_LEASE, reason, Ran.NO, self._find_config_retry_after())
        route = table.match(job.host, job.path)
        if isinstance(route, Failure):
            return route
        organisation, rank = "", route.rank
        if table.config.needs_key(route):
            identified = table.find_organisation(job.key)
            if isinstance(identified, Failure):
                return identified
            organisation = identified.name
            rank = route.rank if identified.rank is None else identified.rank
        service = table.services[table.pick_service(route, gateway.random.random())]
        deadline = min(job.deadline, job.received_at + route.timeout)
        event_tokens = service.engine.event_tokens if service.engine else 1
        recent = gateway.durations.get((route.name, service.name), anyio.current_time())
        need = estimate_duration(route, job.prompt, event_tokens, recent)
        response_deadline = deadline - SPARE_SECONDS
        return _RequestState(
            job, table, route, service, organisation, rank, deadline, response_deadline, need
        )

    def _find_config_retry_after(self) -> float:
        """Return the Retry-After time in seconds without a current configuration."""
        uptime = anyio.current_time() - self._started_at
        return round(max(NO_CONFIG_RETRY_SECONDS, START_SECONDS - uptime), 2)

    async def _run_attempts(self, state: _RequestState) -> Outcome:
        self._gateway.budget.record_first_attempt(state.service.name, anyio.current_time())
        while True:
            now = anyio.current_time()
            if now >= state.response_deadline:
                return self._make_final_outcome(state, "the deadline has passed")
            refusal = self._refuse_if_draining(state, now)
            if refusal is not None:
                return refusal
            if now >= self._find_start_deadline(state):
                return self._make_final_outcome(state, "the gateway is shutting down")
            verdict = self._find_verdict(state)
            if verdict.standing is Standing.HELD or not await self._may_send(verdict):
                return self._make_held_failure(state, verdict)
            instance = await self._pick_instance(state, verdict.standing)
            if isinstance(instance, InsufficientMemory):
                if not state.is_waiting:
                    await anyio.sleep(MEMORY_WAIT_PAUSE_SECONDS)
                continue
            if isinstance(instance, Refused):
                return self._make_refusal(state, instance)
            if instance is None:
                return self._make_final_outcome(state, "no upstream is available")
            state.sends += 1
            outcome = await self._send_attempt(
                state, instance, state.response_deadline - anyio.current_time()
            )
            if outcome is not None:
                return outcome
            if not self._may_retry(state):
                return self._make_final_outcome(state, "no further retry is allowed")

    async def _pick_instance(
        self, state: _RequestState, standing: Standing
    ) -> Instance | InsufficientMemory | Refused | None:
        gateway = self._gateway
        prompt = state.job.prompt
        tokens = count_tokens(prompt)
        if standing is not Standing.CLEAR:
            state.is_waiting = False
            return gateway.selector.pick_least_busy(state.service, tokens, state.tried_ids)
        now = anyio.current_time()
        can_wait = self._can_wait_for_memory(state, now)
        demand = self._make_demand(state, now)
        if demand is not None and not state.is_waiting:
            state.ticket = f"{gateway.random.getrandbits(TICKET_BITS):x}"
        query = UpstreamQuery(
            state.service,
            tokens,
            state.tried_ids,
            prompt,
            can_wait,
            demand,
            state.ticket,
            state.is_waiting,
            self._can_repeat(state),
        )
        placed = await gateway.selector.place(query)
        state.is_waiting = demand is not None and isinstance(placed, InsufficientMemory)
        return placed

    def _make_demand(self, state: _RequestState, now: float) -> Demand | None:
        """Return what a request demands, if requests to its service compete."""
        contention = self._gateway.get_contention(state.service.name)
        return make_demand(
            state.job, state.route, contention, state.organisation, state.rank, state.deadline, now
        )

    def _can_wait_for_memory(self, state: _RequestState, now: float) -> bool:
        """Return whether a long generation may wait for free engine memory and still start in time.

        On a full engine it would be preempted or preempt another generation; either delays one of
        them.
        """
        prompt = state.job.prompt
        if prompt is None or prompt.ends_soon():
            return False
        return now - state.job.received_at < MAX_MEMORY_WAIT_OBJECTIVES * state.route.objective

    def _find_verdict(self, state: _RequestState) -> Verdict:
        """Return whether and how the request may run, by the crashes that were recorded."""
        evidence = self._gateway.guard.evidence
        return evidence.find_verdict(state.job, state.organisation, state.service.name)

    async def _may_send(self, verdict: Verdict) -> bool:
        """Return whether this gateway may send the request; in a trial only one gateway may."""
        if verdict.standing is not Standing.TRIAL:
            return True
        return await self._gateway.acquire_trial(verdict.fingerprint)

    def _make_held_failure(self, state: _RequestState, verdict: Verdict) -> Failure:
        """Return the failure for a request that is held, or whose trial was not granted.

        Upstreams crashed while running it. Retry-After is the remaining hold time,
        TRIAL_INTERVAL_SECONDS at least; a request that may have run gets UPSTREAM_LOST without
        Retry-After.
        """
        reason = verdict.describe()
        state.held_by = verdict.fingerprint
        if state.possible_runs:
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN)
        now = anyio.current_time()
        hold_seconds = self._gateway.suspects.get_hold_remaining(verdict.fingerprint, now)
        return Failure(
            FailureKind.HELD, reason, Ran.NO, round(max(hold_seconds, TRIAL_INTERVAL_SECONDS))
        )

    async def _send_attempt(
        self, state: _RequestState, instance: Instance, seconds: float
    ) -> Outcome | None:
        """Send to one instance; return the outcome, or ``None`` if :meth:`_may_retry` decides."""
        gateway = self._gateway
        state.tried_ids[instance.id] = None
        # An ejected upstream gets one request at a time; unrelated to trials of held requests.
        gateway.selector.ejector.take_trial(instance.id, anyio.current_time())
        tokens = count_tokens(state.job.prompt)
        rank = state.rank if state.service.engine else None
        backup = gateway.selector.pick_backup(instance, tokens, state.job.prompt)
        attempt = Attempt(
            state.job,
            instance,
            state.organisation,
            seconds,
            rank,
            backup=backup,
            new_connection=state.route.repeat is Repeat.STREAM,
            silence_timeout_seconds=state.route.get_silence_timeout(),
            repeatable=self._can_repeat(state),
        )
        unread_tokens = state.job.prompt.tokens if state.job.prompt else 0
        demand = self._make_demand(state, anyio.current_time())
        guarded = int(demand is not None and demand.guarded)
        gateway.loads.add_load(instance, 1, tokens, unread_tokens, guarded)
        if backup is not None:
            gateway.loads.add_load(backup, 0, tokens)
        streaming = False
        try:
            start_by = self._find_start_deadline(state)
            begun = anyio.current_time()
            kind = state.get_kind()
            with gateway.limit_attempt(start_by) as scope, gateway.durations.watch(kind, begun):
                reply = await gateway.dispatcher.send(attempt)
                if not isinstance(reply, NotRun | Lost):
                    now = anyio.current_time()
                    gateway.durations.note(kind, now - begun, now)
                if isinstance(reply, NotRun | Lost | Whole):
                    return self._handle_reply(state, instance, reply)
                streaming = True
                return self._start_stream(
                    self._make_run(state, attempt, reply, tokens, backup, demand)
                )
            state.possible_runs += 1
            state.failed_response = None
            draining = scope.deadline < state.response_deadline
            if draining:
                return Failure(FailureKind.DRAINING, "the gateway is shutting down", Ran.UNKNOWN)
            if state.job.held is None or not state.job.held.starved:
                gateway.selector.record_result(instance, False)
            return Failure(FailureKind.DEADLINE, f"{instance.id} took too long", Ran.UNKNOWN)
        finally:
            gateway.loads.add_load(instance, 0, 0, -unread_tokens)
            if not streaming:
                gateway.loads.add_load(instance, -1, -tokens, guarded=-guarded)
                if backup is not None:
                    gateway.loads.add_load(backup, 0, -tokens)

    def _refuse_if_draining(self, state: _RequestState, now: float) -> Failure | None:
        """Return a refusal if a draining gateway should not accept the request, else ``None``.

        :func:`should_accept` decides from the request's estimated duration. A request that may have
        run on an upstream is never refused here.
        """
        gateway = self._gateway
        if gateway.serving or state.possible_runs:
            return None
        left = gateway.exits_at - LAST_ANSWER_SECONDS - now
        retry_after = find_retry_after(left, gateway.other_gateways, gateway.selector.gateways)
        if should_accept(state.need, left, state.response_deadline - now, retry_after):
            return None
        reason = "the gateway is shutting down before the response could be complete"
        return Failure(FailureKind.DRAINING, reason, Ran.NO, retry_after)

    def _find_start_deadline(self, state: _RequestState) -> float:
        """Return the latest start of a response that should still end before the gateway exits."""
        respond_by = self._gateway.exits_at - LAST_ANSWER_SECONDS
        if state.response_deadline <= respond_by:
            return state.response_deadline
        return min(state.response_deadline, state.need.find_latest_start(respond_by))

    def _make_run(
        self,
        state: _RequestState,
        attempt: Attempt,
        stream: Stream,
        tokens: int,
        backup: Instance | None,
        demand: Demand | None,
    ) -> StreamRun:
        """Return the state of a started stream, with the limits for resuming it after a cut."""
        max_runs = state.route.attempts if state.route.resumable else 0
        tries = RetryState(set(state.tried_ids), max_runs, state.possible_runs + 1, state.need)
        max_pause = state.route.pause
        guarded = demand is not None and demand.guarded
        return StreamRun(
            attempt,
            stream,
            state.deadline,
            tokens,
            backup,
            tries=tries,
            max_pause=max_pause,
            demand=demand,
            playout=PlayoutSchedule(max_pause) if guarded and max_pause else None,
        )

    def _handle_reply(
        self, state: _RequestState, instance: Instance, reply: Reply
    ) -> Outcome | None:
        match reply:
            case NotRun(reason, gone, sent, held):
                self._log_failed_attempt(state, instance, reply, "not run", reason)
                state.reached_upstream = sent
                if gone:
                    self._gateway.mark_replaced(instance)
                elif not sent and not held:
                    self._gateway.selector.record_connect_failure(instance)
                return None
            case Lost(reason):
                state.possible_runs += 1
                evidence = describe_evidence(state.job, state.organisation)
                self._log_failed_attempt(state, instance, reply, "lost", reason, evidence)
                if reply.blames_upstream():
                    self._gateway.selector.record_result(instance, False)
                if state.route.is_repeatable():
                    return None
                return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN)
            case Whole(status):
                state.possible_runs += 1
                self._gateway.selector.record_result(instance, not reply.is_failed())
                if not reply.is_failed() or not state.route.is_repeatable():
                    return reply
                self._log_failed_attempt(state, instance, reply, "failed", str(status))
                state.failed_response = reply
                return None
        return None

    def _may_retry(self, state: _RequestState) -> bool:
        if not state.reached_upstream:
            # The last attempt reached no upstream, or the guard refused to send it, so the next one
            # is not counted as a retry. Otherwise failed connections would exhaust the budget when
            # many engines end at once: where a third of them did, 95 of 119 streams that were
            # refused within three seconds had reached none, since each gateway's part of the budget
            # was two retries in ten seconds.
            state.reached_upstream = True
            return True
        if state.possible_runs >= max(1, state.route.attempts):
            return False
        gateway = self._gateway
        return gateway.take_retry(state.service.name)

    def _can_repeat(self, state: _RequestState) -> bool:
        """Return whether the request may run once more if the next attempt fails."""
        return state.route.is_repeatable() and state.possible_runs + 1 < state.route.attempts

    def _make_final_outcome(self, state: _RequestState, reason: str) -> Outcome:
        """Return the final outcome of a request that is not sent again."""
        if state.failed_response is not None:
            return state.failed_response
        if state.possible_runs:
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN)
        if self._gateway.is_evacuated(state.service):
            reason = "all zones with upstreams are evacuated"
            return Failure(FailureKind.EVACUATED, reason, Ran.NO, EVACUATED_RETRY_SECONDS)
        if self._gateway.get_reach() is Reach.NONE:
            reason = "this gateway reaches no upstream, itself or through others"
            return Failure(FailureKind.NO_UPSTREAM, reason, Ran.NO, PROBE_SECONDS)
        retry_after = (
            ENGINE_RETRY_AFTER_SECONDS if state.service.engine else PLAIN_RETRY_AFTER_SECONDS
        )
        return Failure(FailureKind.NO_UPSTREAM, reason, Ran.NO, retry_after)

    def _make_refusal(self, state: _RequestState, refused: Refused) -> Outcome:
        """Return the outcome of a request that can't start in time; it may have run before."""
        reason = "no engine has room before the client gives up"
        if state.possible_runs:
            return self._make_final_outcome(state, reason)
        retry_after = round(refused.retry_after, 2)
        return Failure(FailureKind.OVERLOADED, reason, Ran.NO, retry_after)

    def _start_stream(self, run: StreamRun) -> StreamResponse:
        runs = self._runs
        stream = run.stream
        runs.open(run)

        async def close() -> None:
            await runs.close(run)

        return StreamResponse(
            stream.status, stream.headers, runs.deliver(run), run.deadline, close, run.playout
        )

    def _log_failed_attempt(
        self,
        state: _RequestState,
        instance: Instance,
        reply: NotRun | Lost | Whole,
        outcome: str,
        reason: str,
        evidence: Mapping[str, object] = MappingProxyType({}),
    ) -> None:
        gateway = self._gateway
        log_event(
            Event.ATTEMPT_FAILED,
            request=state.job.id,
            route=state.route.name,
            upstream=instance.id,
            outcome=outcome,
            reason=reason,
            earlier=reply.earlier,
            **evidence,
            config=state.table.config.version,
            fleet=gateway.fleet.revision,
            heartbeat_age=round(gateway.fleet.get_age(instance.id, anyio.current_time()), 3),
        )

    def _log_outcome(
        self, job: ClientRequest, state: _RequestState | None, outcome: Outcome
    ) -> None:
        seconds = anyio.current_time() - job.received_at
        retry_policy = state.route.repeat.value if state else "unrouted"
        fields: dict[str, object] = {"request": job.id, "seconds": round(seconds, 4)}
        if state is not None:
            fields |= {
                "kind": retry_policy,
                "late": 0 < state.route.objective < seconds,
                "route": state.route.name,
                "service": state.service.name,
                "sends": state.sends,
                "config": state.table.config.version,
            }
            fields |= {"held_by": state.held_by} if state.held_by else {}
        if not self._gateway.serving:
            left = self._gateway.exits_at - job.received_at
            fields["left_at_arrival"] = round(left, 3)
        upstream = next(reversed(state.tried_ids), "") if state else ""
        result = outcome.kind.value if isinstance(outcome, Failure) else str(outcome.status)
        sends = state.sends if state else 0
        self._metrics.note_end(retry_policy, result, sends, job.received_at)
        match outcome:
            case Failure(kind, reason, ran):
                fields |= {"failure": kind.value, "reason": reason, "ran": ran.value}
                heard_age = round(anyio.current_time() - self._gateway.last_heard_at, 3)
                log_event(Event.REQUEST_REFUSED, **fields, heard_age=heard_age)
            case Whole(status):
                log_event(
                    Event.REQUEST_ANSWERED,
                    **fields,
                    status=status,
                    last_upstream=upstream,
                    earlier=outcome.earlier,
                )
            case StreamResponse(status):
                log_event(Event.STREAM_BEGUN, **fields, status=status, upstream=upstream)


def count_tokens(prompt: Prompt | None) -> int:
    """Return the estimated memory of a request on an engine, in tokens.

    The output length is not known in advance; half of its limit is assumed.

    :param prompt: the request's prompt, if it has one.
    """
    return prompt.tokens + prompt.max_output_tokens // 2 if prompt else 0
