"""One request's way through a gateway: route, organisation, upstream, answer.

What may be repeated is decided here alone: a request goes to another upstream when the first one
surely did not run it, or when it is idempotent, while the shared retry budget and the route's
limit of attempts allow it.
"""

from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from daleroad.choosing import Crowded
from daleroad.defaults import (
    CROWDED_OBJECTIVES,
    CROWDED_PAUSE_SECONDS,
    ENGINE_RETRY_AFTER_SECONDS,
    EVACUATED_RETRY_SECONDS,
    LAST_ANSWER_SECONDS,
    NO_CONFIG_RETRY_SECONDS,
    PLAIN_RETRY_AFTER_SECONDS,
    SPARE_SECONDS,
    START_SECONDS,
)
from daleroad.dispatch import (
    Attempt,
    Headers,
    Job,
    Lost,
    NotRun,
    Prompt,
    Reply,
    Stream,
    Whole,
)
from daleroad.draining import Need, estimate_need, find_return, takes
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.fingerprints import find_fingerprint
from daleroad.gateway import Gateway
from daleroad.instances import Instance
from daleroad.metrics import RequestMetrics
from daleroad.routing import Repeat, RouteRule, RoutingTable, ServiceRule
from daleroad.runs import Run, Runs, Tries
from daleroad.suspects import TRIAL_SECONDS, Standing


@dataclass(frozen=True)
class Flow:
    """A stream for the client: whole events, then nothing more, or a failure at a cut.

    :param deadline: when it must be over.
    :param close: ends it; must be called in any case.
    """

    status: int
    headers: Headers
    pieces: AsyncGenerator[bytes | Failure, None]
    deadline: float
    close: Callable[[], Awaitable[None]]


Outcome = Whole | Flow | Failure


@dataclass
class _Way:
    """What is known of one request on its way.

    :param deadline: when its client or its route's timeout ends it.
    :param limit: the same, less the time of the answer's way.
    :param need: time that it may need.
    :param arrived: whether its last try may have reached an upstream.
    """

    job: Job
    table: RoutingTable
    route: RouteRule
    service: ServiceRule
    organisation: str
    rank: int
    deadline: float
    limit: float
    need: Need
    tried: dict[str, None] = field(default_factory=dict)
    ran: int = 0
    sends: int = 0
    last: Whole | None = None
    arrived: bool = True


class Forwarder:
    """Serves requests for a gateway.

    :param gateway: the gateway.
    :param runs: the streams that it delivers.
    :param metrics: counts requests.
    """

    def __init__(self, gateway: Gateway, runs: Runs, metrics: RequestMetrics) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._runs = runs
        self._started_at = anyio.current_time()

    async def serve(self, job: Job) -> Outcome:
        """Return the answer to a request.

        :param job: the request.
        """
        way = self._prepare(job)
        if isinstance(way, Failure):
            self._log_end(job, None, way)
            return way
        outcome = await self._find_outcome(way)
        self._log_end(job, way, outcome)
        return outcome

    def _prepare(self, job: Job) -> _Way | Failure:
        gateway = self._gateway
        table = gateway.table
        if table is None or gateway.is_outdated():
            reason = "no current configuration"
            return Failure(FailureKind.NO_LEASE, reason, Ran.NO, self._expect_config())
        route = table.match(job.host, job.path)
        if isinstance(route, Failure):
            return route
        organisation, rank = "", route.rank
        if table.config.organisations and not route.public:
            found = table.identify(job.key)
            if isinstance(found, Failure):
                return found
            organisation = found.name
            rank = route.rank if found.rank is None else found.rank
        service = table.services[table.pick_service(route, gateway.random.random())]
        deadline = min(job.deadline, job.received_at + route.timeout)
        event_tokens = service.engine.event_tokens if service.engine else 1
        need = estimate_need(route, job.prompt, event_tokens)
        limit = deadline - SPARE_SECONDS
        return _Way(job, table, route, service, organisation, rank, deadline, limit, need)

    def _expect_config(self) -> float:
        """Return the seconds after which this gateway should have a configuration."""
        uptime = anyio.current_time() - self._started_at
        return round(max(NO_CONFIG_RETRY_SECONDS, START_SECONDS - uptime), 2)

    async def _find_outcome(self, way: _Way) -> Outcome:
        self._gateway.budget.note_first(way.service.name, anyio.current_time())
        while True:
            now = anyio.current_time()
            if now >= way.limit:
                return self._give_up(way, "the time is over")
            refusal = self._refuse_late(way, now)
            if refusal is not None:
                return refusal
            if now >= self._find_latest_begin(way):
                return self._give_up(way, "this gateway stops")
            standing = self._gateway.guard.get_standing(way.job, way.organisation)
            if standing is Standing.HELD or not await self._may_try(way, standing):
                return self._hold_back(way)
            instance = await self._place(way, standing)
            if isinstance(instance, Crowded):
                await anyio.sleep(CROWDED_PAUSE_SECONDS)
                continue
            if instance is None:
                return self._give_up(way, "no upstream is left")
            way.sends += 1
            outcome = await self._try(way, instance, way.limit - anyio.current_time())
            if outcome is not None:
                return outcome
            if not self._may_repeat(way):
                return self._give_up(way, "no repeat is allowed")

    async def _place(self, way: _Way, standing: Standing) -> Instance | Crowded | None:
        gateway = self._gateway
        prompt = way.job.prompt
        tokens = count_tokens(prompt)
        if standing is not Standing.CLEAR:
            return gateway.chooser.pick_quiet(way.service, tokens, way.tried)
        patient = self._is_patient(way, anyio.current_time())
        return await gateway.chooser.place(way.service, tokens, way.tried, prompt, patient)

    def _is_patient(self, way: _Way, now: float) -> bool:
        """Return whether a long generation may wait for room and still begin in time.

        Where none is left it would be preempted, or preempt another, and be late by the pause.
        """
        prompt = way.job.prompt
        if prompt is None or prompt.ends_soon():
            return False
        return now - way.job.received_at < CROWDED_OBJECTIVES * way.route.objective

    async def _may_try(self, way: _Way, standing: Standing) -> bool:
        """Return whether nobody else tries this request where only one may."""
        if standing is not Standing.TRIAL:
            return True
        return await self._gateway.may_try(find_fingerprint(way.job, way.organisation))

    def _hold_back(self, way: _Way) -> Failure:
        """Return the final answer to a request that reaches no upstream any more.

        It is given at once, and says when another try makes sense: not soon.
        """
        reason = "upstreams ended while they ran this request"
        if way.ran:
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN)
        now = anyio.current_time()
        fingerprint = find_fingerprint(way.job, way.organisation)
        left = self._gateway.suspects.get_held_left(fingerprint, now)
        return Failure(FailureKind.HELD, reason, Ran.NO, round(max(left, TRIAL_SECONDS)))

    async def _try(self, way: _Way, instance: Instance, seconds: float) -> Outcome | None:
        """Send to one instance; return the outcome, or nothing if another may be tried."""
        gateway = self._gateway
        way.tried[instance.id] = None
        gateway.chooser.ejector.take_trial(instance.id, anyio.current_time())
        tokens = count_tokens(way.job.prompt)
        rank = way.rank if way.service.engine else None
        backup = gateway.chooser.pick_backup(instance, tokens, way.job.prompt)
        attempt = Attempt(
            way.job,
            instance,
            way.organisation,
            seconds,
            rank,
            backup=backup,
            own_connection=way.route.repeat is Repeat.STREAM,
            silence=way.route.find_silence(),
        )
        unread = way.job.prompt.tokens if way.job.prompt else 0
        gateway.loads.add(instance, 1, tokens, unread)
        if backup is not None:
            gateway.loads.add(backup, 0, tokens)
        kept = False
        try:
            latest_begin = self._find_latest_begin(way)
            with gateway.give_up_at(latest_begin) as scope:
                reply = await gateway.dispatcher.send(attempt)
                if isinstance(reply, NotRun | Lost | Whole):
                    return self._judge(way, instance, reply)
                kept = True
                return self._start_flow(self._make_run(way, attempt, reply, tokens, backup))
            way.ran += 1
            way.last = None
            stopped = scope.deadline < way.limit
            if stopped:
                return Failure(FailureKind.DRAINING, "this gateway stops", Ran.UNKNOWN)
            gateway.chooser.note_result(instance, False)
            return Failure(FailureKind.DEADLINE, f"{instance.id} took too long", Ran.UNKNOWN)
        finally:
            gateway.loads.add(instance, 0, 0, -unread)
            if not kept:
                gateway.loads.add(instance, -1, -tokens)
                if backup is not None:
                    gateway.loads.add(backup, 0, -tokens)

    def _refuse_late(self, way: _Way, now: float) -> Failure | None:
        """Return a refusal of what this gateway's stop would break off, if nothing ran of it."""
        gateway = self._gateway
        if gateway.serving or way.ran:
            return None
        left = gateway.ends_at - LAST_ANSWER_SECONDS - now
        back = find_return(left, gateway.others, gateway.chooser.gateways)
        if takes(way.need, left, way.limit - now, back):
            return None
        reason = "this gateway stops before the answer could be whole"
        return Failure(FailureKind.DRAINING, reason, Ran.NO, back)

    def _find_latest_begin(self, way: _Way) -> float:
        """Return until when an answer must have begun; a later one our end would break off."""
        ends_at = self._gateway.ends_at - LAST_ANSWER_SECONDS
        if way.limit <= ends_at:
            return way.limit
        return min(way.limit, way.need.find_latest_begin(ends_at))

    def _make_run(
        self, way: _Way, attempt: Attempt, stream: Stream, tokens: int, backup: Instance | None
    ) -> Run:
        """Return a stream that was begun, with what may be done if its upstream breaks it off."""
        most = way.route.attempts if way.route.resumable else 0
        tries = Tries(set(way.tried), most, way.ran + 1, way.need)
        allowed = way.route.pause
        return Run(attempt, stream, way.deadline, tokens, backup, tries=tries, pause=allowed)

    def _judge(self, way: _Way, instance: Instance, reply: Reply) -> Outcome | None:
        match reply:
            case NotRun(reason, gone, sent, held):
                self._log_try(way, instance, "not run", reason)
                way.arrived = sent
                if gone:
                    self._gateway.note_replaced(instance)
                elif not sent and not held:
                    self._gateway.chooser.note_unreached(instance)
                return None
            case Lost(reason):
                way.ran += 1
                fingerprint = find_fingerprint(way.job, way.organisation)
                self._log_try(way, instance, "lost", reason, fingerprint)
                self._gateway.chooser.note_result(instance, False)
                if way.route.is_repeatable():
                    return None
                return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN)
            case Whole(status):
                way.ran += 1
                self._gateway.chooser.note_result(instance, not reply.is_failed())
                if not reply.is_failed() or not way.route.is_repeatable():
                    return reply
                self._log_try(way, instance, "failed", str(status))
                way.last = reply
                return None
        return None

    def _may_repeat(self, way: _Way) -> bool:
        if not way.arrived:
            # No upstream has seen the last try, so the next repeats nothing. Where a third of the
            # engines ended at once, 95 of 119 streams that were refused within three seconds had
            # reached none: each gateway's part of the budget was two repeats in ten seconds.
            way.arrived = True
            return True
        if way.ran >= max(1, way.route.attempts):
            return False
        gateway = self._gateway
        return gateway.take_repeat(way.service.name)

    def _give_up(self, way: _Way, reason: str) -> Outcome:
        """Return the final answer of a request that gets no further try."""
        if way.last is not None:
            return way.last
        if way.ran:
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN)
        if self._gateway.is_evacuated(way.service):
            reason = "all zones with upstreams are evacuated"
            return Failure(FailureKind.EVACUATED, reason, Ran.NO, EVACUATED_RETRY_SECONDS)
        after = ENGINE_RETRY_AFTER_SECONDS if way.service.engine else PLAIN_RETRY_AFTER_SECONDS
        return Failure(FailureKind.NO_UPSTREAM, reason, Ran.NO, after)

    def _start_flow(self, run: Run) -> Flow:
        runs = self._runs
        stream = run.stream
        runs.open(run)

        async def close() -> None:
            await runs.close(run)

        return Flow(stream.status, stream.headers, runs.deliver(run), run.deadline, close)

    def _log_try(
        self, way: _Way, instance: Instance, outcome: str, reason: str, fingerprint: str = ""
    ) -> None:
        gateway = self._gateway
        log_event(
            Event.ATTEMPT_FAILED,
            request=way.job.id,
            route=way.route.name,
            upstream=instance.id,
            outcome=outcome,
            reason=reason,
            fingerprint=fingerprint,
            config=way.table.config.version,
            fleet=gateway.fleet.revision,
            heartbeat_age=round(gateway.fleet.get_age(instance.id, anyio.current_time()), 3),
        )

    def _log_end(self, job: Job, way: _Way | None, outcome: Outcome) -> None:
        seconds = anyio.current_time() - job.received_at
        kind_of_route = way.route.repeat.value if way else "unrouted"
        fields: dict[str, object] = {"request": job.id, "seconds": round(seconds, 4)}
        if way is not None:
            fields |= {
                "kind": kind_of_route,
                "late": 0 < way.route.objective < seconds,
                "route": way.route.name,
                "service": way.service.name,
                "sends": way.sends,
                "config": way.table.config.version,
            }
        if not self._gateway.serving:
            left = self._gateway.ends_at - job.received_at
            fields["left_at_arrival"] = round(left, 3)
        end = outcome.kind.value if isinstance(outcome, Failure) else str(outcome.status)
        sends = way.sends if way else 0
        self._metrics.note_end(kind_of_route, end, sends, job.received_at)
        match outcome:
            case Failure(kind, reason, ran):
                fields |= {"failure": kind.value, "reason": reason, "ran": ran.value}
                heard = round(anyio.current_time() - self._gateway.heard_at, 3)
                log_event(Event.REQUEST_REFUSED, **fields, heard_age=heard)
            case Whole(status):
                log_event(Event.REQUEST_ANSWERED, **fields, status=status)
            case Flow(status):
                upstream = list(way.tried)[-1] if way else ""
                log_event(Event.STREAM_BEGUN, **fields, status=status, upstream=upstream)


def count_tokens(prompt: Prompt | None) -> int:
    """Return the memory that a request may take on an engine, in tokens.

    The output's length is not known; half of its limit stands for it.

    :param prompt: the request's prompt, if it has one.
    """
    return prompt.tokens + prompt.most_output // 2 if prompt else 0
