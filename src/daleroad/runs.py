"""Delivery of streaming responses, including resumption on another upstream after a cut.

A cut stream goes on from copied memory on another engine, or is restarted on another upstream after
its last event. Events are passed on in the order in which they arrive; one that the client already
has is dropped, provided that event ids are decimal numbers that increase within the stream.
"""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Protocol

import anyio

from daleroad.dispatch import Attempt, CopySource, Lost, NotRun, Stream, StreamEvent, Whole
from daleroad.draining import DurationEstimate
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.fingerprints import describe_evidence
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState
from daleroad.notices import Demand
from daleroad.onsets import MIN_WAIT_SECONDS
from daleroad.playout import PlayoutSchedule
from daleroad.suspects import Standing


class StreamEnd(StrEnum):
    """How a stream to a client ended."""

    WHOLE = "whole"
    CLIENT = "left by the client"
    STOP = "ended by this gateway's stop"
    DEADLINE = "the time was over"
    UPSTREAM = "broken off upstream"
    UNREAD = "cut off as its client did not read"


@dataclass(frozen=True)
class ResumePoint:
    """An engine that can resume a generation, and the source of the generation's memory."""

    instance: Instance
    source: CopySource


@dataclass
class StopOrder:
    """An order to an engine to stop a generation, whose stream then ends, copied or not.

    :ivar answered: set once the engine has answered, or the answer was given up.
    """

    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class RetryState:
    """The attempts of one request, and the limit on restarting its stream.

    :param tried_ids: ids of the upstreams that it was sent to.
    :param max_runs: allowed number of executions on upstreams if the route allows a restart
        elsewhere, else 0.
    :param ran: number of sends so far that may have led to an execution; resuming from copied
        memory does not count.
    :param need: estimated duration of another execution.
    """

    tried_ids: set[str] = field(default_factory=set)
    max_runs: int = 0
    ran: int = 1
    need: DurationEstimate = DurationEstimate(0.0, 0.0)


@dataclass
class StreamRun:
    """One stream that is being delivered to a client, even if its upstream changes midway.

    :param attempt: the current attempt and its upstream.
    :param stream: the upstream's stream.
    :param deadline: the earlier of the client's deadline and the route's timeout.
    :param tokens: memory in tokens that is counted for it at its engine and at its backup.
    :param backup: an engine that receives a copy of the memory while the generation runs.
    :param events: number of events delivered.
    :param last_event: id of the last event that had one.
    :param migrating: whether a migration off its engine was started.
    :param recovering: whether a copy is under way because its stream hangs.
    :param stop_order: the order to its engine to stop it for a final copy, if there was one.
    :param resume_point: set once the generation was stopped and its memory copied elsewhere.
    :param migration_done: set when the migration has ended, successfully or not, or the stream is
        closed.
    :param refused_ids: ids of the engines that this gateway refused to resume it on, since it left
        the engine that ran it last.
    :param ended: whether the stream was closed.
    :param outcome: how the stream ended. A client disconnect only cancels the delivery, so it is
        assumed until another end is known.
    :param reason: why the stream failed; set only if it was cut and could not be resumed.
    :param tries: attempts so far, and the limit on restarting the stream.
    :param max_pause: longest pause between events that the route allows, in seconds; 0 for no
        limit.
    :param longest_pause: longest pause between events so far, in seconds.
    :param last_event_at: when the last event arrived.
    :param ready_at: when the client had taken the last event that its engine sent; infinite until
        then, so that no gap spans two engines.
    :param gap_from: when the last event arrived, if the gateway waited for it at its engine.
    :param demand: what the request demands, if requests to its service compete.
    :param playout: when its events are delivered; nothing to do so as they arrive.
    :param answering_since: when its engine's answer began to arrive.
    :param answered: how long that had arrived for when it was cut, in seconds.
    """

    attempt: Attempt
    stream: Stream
    deadline: float
    tokens: int
    backup: Instance | None = None
    events: int = 0
    last_event: str = ""
    migrating: bool = False
    recovering: bool = False
    stop_order: StopOrder | None = None
    resume_point: ResumePoint | None = None
    migration_done: anyio.Event = field(default_factory=anyio.Event)
    refused_ids: set[str] = field(default_factory=set)
    ended: bool = False
    outcome: StreamEnd = StreamEnd.CLIENT
    reason: str = ""
    tries: RetryState = field(default_factory=RetryState)
    max_pause: float = 0.0
    longest_pause: float = 0.0
    last_event_at: float = 0.0
    ready_at: float = float("inf")
    gap_from: float | None = None
    demand: Demand | None = None
    playout: PlayoutSchedule | None = None
    answering_since: float = 0.0
    answered: float = 0.0

    def count_guarded(self) -> int:
        """Return 1 if the stream is guarded, else 0, as it counts in the load of its engine."""
        return int(self.demand is not None and self.demand.guarded)

    def get_delivered_pause(self) -> float:
        """Return the longest pause between events as the client saw it, in seconds."""
        return self.longest_pause if self.playout is None else self.playout.longest_pause


class Migrator(Protocol):
    """Migrates generations off engines that are shutting down or have failed."""

    def start_migration(self, run: StreamRun) -> None:
        """Start to migrate a run off an engine that is shutting down."""

    async def find_resume_point(self, run: StreamRun) -> ResumePoint | None:
        """Return the engine that can resume a run whose stream was cut, if there is one."""

    async def copy_cut_off(self, run: StreamRun) -> ResumePoint | None:
        """Stop a run whose stream hangs, and return the engine that can resume it, if any."""

    async def find_other_resume_point(
        self, run: StreamRun, refused: ResumePoint
    ) -> ResumePoint | None:
        """Return another engine that can resume a run, as this gateway refused the one found."""


class StreamRegistry:
    """The open streams of one gateway.

    :param gateway: the gateway.
    :param mover: migrates generations between engines.
    """

    def __init__(self, gateway: Gateway, mover: Migrator) -> None:
        self._gateway = gateway
        self._mover = mover
        self._runs: dict[str, StreamRun] = {}

    def count(self) -> int:
        """Return the number of open streams."""
        return len(self._runs)

    def migrate_off(self, instance: Instance) -> None:
        """Start to migrate all streams off an instance that is leaving.

        :param instance: the instance.
        """
        for run in list(self._runs.values()):
            if run.attempt.instance.id == instance.id:
                self._mover.start_migration(run)

    def open(self, run: StreamRun) -> None:
        """Register a stream; :meth:`close` must be called later.

        :param run: the stream.
        """
        self._runs[run.attempt.job.id] = run
        run.answering_since = anyio.current_time()
        self._migrate_if_leaving(run)

    def recover_cut_off(self, request: str, abandon: Callable[[], None]) -> None:
        """Let a stream that hangs go on at another engine, if its memory can be copied there.

        :param request: the id of its request.
        :param abandon: ends the stream that hangs.
        """
        run = self._runs.get(request)
        if run is None or run.migrating or run.recovering:
            return
        run.recovering = True
        self._gateway.spawn(self._recover_cut_off, run, abandon)

    async def _recover_cut_off(self, run: StreamRun, abandon: Callable[[], None]) -> None:
        """Copy a run and end its stream; without a copy, its rest may still come after the cut."""
        stream = run.stream
        try:
            found = run.resume_point or await self._mover.copy_cut_off(run)
        finally:
            run.recovering = False
        # A copy that comes too late is none of the stream that replaced this one.
        if found is not None and run.stream is stream:
            run.resume_point = found
            abandon()

    async def deliver(self, run: StreamRun) -> AsyncGenerator[bytes | Failure, None]:
        """Yield a stream's events, resuming on other upstreams after cuts; a failure is last.

        :param run: the stream.
        """
        while True:
            cut: Lost | None = None
            async for piece in run.stream.events():
                if isinstance(piece, Lost):
                    cut = piece
                    break
                if _record_event(run, piece):
                    self._note_gap(run)
                    yield piece.data
                    run.ready_at = anyio.current_time()
            if cut is None and not await self._has_been_stopped(run):
                run.outcome = StreamEnd.WHOLE
                return
            cut = cut or Lost("the stream ended as its generation was stopped")
            run.answered = anyio.current_time() - run.answering_since
            failure = await self._resume(run, cut)
            if failure is not None:
                run.outcome = _classify_end(failure)
                run.reason = failure.reason
                yield failure
                return

    async def _has_been_stopped(self, run: StreamRun) -> bool:
        """Return whether a stream may have ended because its engine was ordered to stop it.

        Without a length or chunks, that looks like the end of the whole stream.
        """
        if run.stream.delimited or run.stop_order is None:
            return False
        await run.stop_order.answered.wait()
        return run.stop_order is not None

    def _note_gap(self, run: StreamRun) -> None:
        """Record the gap before an event if the gateway waited for both events at one engine."""
        instance = run.attempt.instance
        if not self._gateway.learns_paces(instance.service):
            return
        now = run.last_event_at
        waited = now - run.ready_at >= MIN_WAIT_SECONDS
        if waited and run.gap_from is not None:
            self._gateway.paces.note_gap(instance.id, now - run.gap_from, now)
        run.gap_from = now if waited else None

    def mark_stopping(self) -> None:
        """Set the outcome of all open streams to STOP; a stream that still ends overwrites it."""
        for run in self._runs.values():
            run.outcome = StreamEnd.STOP

    async def close(self, run: StreamRun) -> None:
        """Unregister a stream, release its load, close its connection and log its end.

        :param run: the stream.
        """
        if run.outcome is StreamEnd.CLIENT and anyio.current_time() >= run.deadline:
            run.outcome = StreamEnd.DEADLINE
        run.ended = True
        run.migration_done.set()
        self._runs.pop(run.attempt.job.id, None)
        self._release_loads(run)
        with anyio.CancelScope(shield=True):
            await run.stream.close()
        self._log_end(run)

    async def _resume(self, run: StreamRun, cut: Lost) -> Failure | None:
        """Resume a stream that was cut: from copied memory, or else by a restart elsewhere."""
        if cut.unread and not run.migrating and not run.tries.max_runs:
            return Failure(FailureKind.STALLED, "the client did not read", Ran.PARTIAL)
        cut_at = anyio.current_time()
        continuation = await self._mover.find_resume_point(run)
        if continuation is not None:
            failure = await self._resume_from_copy(run, continuation, cut_at)
        else:
            if cut.blames_upstream():
                self._gateway.selector.record_result(run.attempt.instance, False)
            failure = Failure(FailureKind.UPSTREAM_LOST, cut.reason, Ran.PARTIAL)
        while failure is not None and failure.kind is FailureKind.UPSTREAM_LOST:
            instance = self._pick_restart_instance(run)
            if instance is None:
                break
            failure = await self._resume_at(run, instance, None, cut_at)
        return failure

    async def _resume_from_copy(
        self, run: StreamRun, point: ResumePoint, cut_at: float
    ) -> Failure | None:
        """Resume a stream where its copy is, or elsewhere if it may no longer be sent there.

        Since the copy was made, its engine may have begun to leave or become rate-limited.
        """
        while True:
            failure = await self._resume_at(run, point.instance, point.source, cut_at)
            was_sent = point.instance.id not in run.refused_ids
            if failure is None or was_sent or not self._is_clear(run):
                return failure
            other = await self._mover.find_other_resume_point(run, point)
            if other is None:
                return failure
            point = other

    def _is_clear(self, run: StreamRun) -> bool:
        """Return whether no upstream crashed while running the request of a stream."""
        verdict = self._gateway.guard.evidence.find_verdict(
            run.attempt.job, run.attempt.organisation, run.attempt.instance.service
        )
        return verdict.standing is Standing.CLEAR

    def _pick_restart_instance(self, run: StreamRun) -> Instance | None:
        """Return an upstream on which a stream may be restarted after its last event, if any."""
        gateway = self._gateway
        tries = run.tries
        service = gateway.get_service(run.attempt.instance.service)
        if service is None or tries.ran >= tries.max_runs:
            return None
        if not self._is_clear(run):
            # Upstreams crashed while running the request, so it is not restarted here. If its
            # client sends it again, the forwarder decides whether it may run.
            return None
        now = anyio.current_time()
        if not tries.need.fits(gateway.exits_at - now, run.deadline - now):
            # By the estimate, this gateway exits before the stream ends. A failure now lets the
            # client resume elsewhere at once.
            return None
        prompt = run.attempt.job.prompt
        selector = gateway.selector
        found = selector.pick(service, run.tokens, tries.tried_ids, prompt, run.demand)
        found = found or selector.pick_rate_limited(service, run.tokens, tries.tried_ids)
        if found is None or not gateway.take_retry(service.name):
            return None
        return found

    async def _resume_at(
        self, run: StreamRun, instance: Instance, source: CopySource | None, cut_at: float
    ) -> Failure | None:
        """Resume a stream on an upstream; without a source of memory it is restarted there."""
        seconds = run.deadline - anyio.current_time()
        if seconds <= 0:
            return Failure(FailureKind.DEADLINE, "the deadline has passed", Ran.PARTIAL)
        run.tries.tried_ids.add(instance.id)
        backup = None
        if source is None:
            # The previous upstream stops the generation if it notices that its connection closed.
            # Then only one upstream at a time runs it.
            await run.stream.close()
        else:
            source = replace(source, last_event=run.last_event)
            backup = self._gateway.selector.pick_backup(
                instance, run.tokens, run.attempt.job.prompt
            )
        attempt = replace(
            run.attempt,
            instance=instance,
            seconds=seconds,
            source=source,
            backup=backup,
            last_event=run.last_event,
        )
        reply = await self._gateway.dispatcher.send(attempt)
        if source is None and not isinstance(reply, NotRun):
            run.tries.ran += 1
        if isinstance(reply, NotRun) and reply.held:
            run.refused_ids.add(instance.id)
        if isinstance(reply, NotRun | Lost | Whole):
            return self._make_resume_failure(run, instance, reply)
        if source is not None:
            await run.stream.close()
        self._switch_upstream(run, attempt, reply, backup, cut_at)
        return None

    def _make_resume_failure(
        self, run: StreamRun, instance: Instance, reply: NotRun | Lost | Whole
    ) -> Failure:
        """Log why a stream could not be resumed on an instance, and return the failure."""
        reason = f"status {reply.status}" if isinstance(reply, Whole) else reply.reason
        log_event(Event.MOVE_FAILED, request=run.attempt.job.id, to=instance.id, reason=reason)
        return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.PARTIAL)

    def _switch_upstream(
        self,
        run: StreamRun,
        attempt: Attempt,
        stream: Stream,
        backup: Instance | None,
        cut_at: float,
    ) -> None:
        self._release_loads(run)
        self._attach(run, attempt, stream, backup)
        log_event(
            Event.STREAM_MOVED,
            request=run.attempt.job.id,
            to=attempt.instance.id,
            after=run.last_event,
            copied=attempt.source is not None,
            leaving_for=self._gateway.get_leave_age(attempt.instance),
            pause=round(anyio.current_time() - cut_at, 3),
        )
        self._migrate_if_leaving(run)

    def _attach(
        self, run: StreamRun, attempt: Attempt, stream: Stream, backup: Instance | None
    ) -> None:
        run.attempt = attempt
        run.stream = stream
        run.backup = backup
        run.migrating = False
        run.stop_order = None
        run.resume_point = None
        run.refused_ids.clear()
        run.ready_at = float("inf")
        run.answering_since = anyio.current_time()
        run.migration_done = anyio.Event()
        guarded = run.count_guarded()
        self._gateway.loads.add_load(attempt.instance, 1, run.tokens, guarded=guarded)
        if backup is not None:
            self._gateway.loads.add_load(backup, 0, run.tokens)

    def _migrate_if_leaving(self, run: StreamRun) -> None:
        known = self._gateway.fleet.get(run.attempt.instance.id)
        if known is None or self._gateway.fleet.is_replaced(known):
            return
        if known.state is not InstanceState.READY:
            self._mover.start_migration(run)

    def _release_loads(self, run: StreamRun) -> None:
        guarded = run.count_guarded()
        self._gateway.loads.add_load(run.attempt.instance, -1, -run.tokens, guarded=-guarded)
        if run.backup is not None:
            self._gateway.loads.add_load(run.backup, 0, -run.tokens)

    def _log_end(self, run: StreamRun) -> None:
        evidence: dict[str, object] = {}
        if run.outcome is StreamEnd.UPSTREAM:
            evidence = describe_evidence(run.attempt.job, run.attempt.organisation)
            evidence["answered"] = round(run.answered, 3)
        log_event(
            Event.STREAM_ENDED,
            request=run.attempt.job.id,
            upstream=run.attempt.instance.id,
            events=run.events,
            prompt=run.attempt.job.prompt.tokens if run.attempt.job.prompt else 0,
            most=run.attempt.job.prompt.max_output_tokens if run.attempt.job.prompt else 0,
            outcome=run.outcome.value,
            reason=run.reason,
            **evidence,
            longest_pause=round(run.longest_pause, 3),
            paused=0 < run.max_pause < run.get_delivered_pause(),
            shortened=run.playout.shortened if run.playout else 0,
            seconds=round(anyio.current_time() - run.attempt.job.received_at, 3),
        )


def _classify_end(failure: Failure) -> StreamEnd:
    """Return the end of a stream that failed and could not be resumed."""
    match failure.kind:
        case FailureKind.DEADLINE:
            return StreamEnd.DEADLINE
        case FailureKind.STALLED:
            return StreamEnd.UNREAD
        case _:
            return StreamEnd.UPSTREAM


def _order_decimal(text: str) -> tuple[int, str]:
    """Return what sorts decimal numbers of any length."""
    digits = text.lstrip("0")
    return len(digits), digits


def _record_event(run: StreamRun, piece: StreamEvent) -> bool:
    """Record an event; return whether it is new to the client.

    Only decimal ids are compared; they increase within a stream. Any other event counts as new.
    """
    last_id, event_id = run.last_event, piece.event
    decimal = last_id.isdecimal() and event_id.isdecimal()
    if decimal and _order_decimal(event_id) <= _order_decimal(last_id):
        log_event(Event.EVENT_DOUBLED, request=run.attempt.job.id, event_id=event_id, last=last_id)
        return False
    now = anyio.current_time()
    if run.events:
        run.longest_pause = max(run.longest_pause, now - run.last_event_at)
    run.last_event_at = now
    run.events += 1
    if event_id:
        run.last_event = event_id
    return True
