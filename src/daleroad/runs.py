"""Streams that a gateway delivers, wherever their generations go on.

A generation belongs to one client and is never made twice. The client gets each event once and
in order, also when the generation moves to another engine midway.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Protocol

import anyio

from daleroad.dispatch import Attempt, Lost, NotRun, Piece, Source, Stream, Whole
from daleroad.draining import Need
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.fingerprints import find_fingerprint
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState
from daleroad.suspects import Standing


class StreamEnd(StrEnum):
    """How a stream to a client ended."""

    WHOLE = "whole"
    CLIENT = "left by the client"
    STOP = "ended by this gateway's stop"
    DEADLINE = "the time was over"
    UPSTREAM = "broken off upstream"


@dataclass(frozen=True)
class Continuation:
    """An engine that has a generation's memory, and how to ask it to go on."""

    instance: Instance
    source: Source


@dataclass
class Tries:
    """The upstreams that one request ran on, and how many there may be.

    :param upstreams: ids of those that it was sent to.
    :param most: runs allowed where a stream may be made anew elsewhere, else 0.
    :param ran: runs so far; one that goes on from its own memory is the same run.
    :param need: time that another run may need.
    """

    upstreams: set[str] = field(default_factory=set)
    most: int = 0
    ran: int = 1
    need: Need = Need(0.0, 0.0)


@dataclass
class Run:
    """One stream on its way to a client.

    :param attempt: what was sent, and where.
    :param stream: what comes back.
    :param deadline: when the client or the route's timeout ends it.
    :param tokens: memory noted for it, also at its backup.
    :param backup: an engine that keeps a copy while the generation runs.
    :param moving: whether it is being moved off its engine.
    :param continuation: set once it stopped there and its memory is elsewhere.
    :param settled: set when a move is over, whether it went well or not.
    :param outcome: how it ended. A client that leaves just ends the delivery, so that stands until
        another way is known.
    :param reason: what broke it off upstream.
    :param tries: where it ran, and whether it may be made anew elsewhere.
    :param pause: longest pause between events that its route allows, in seconds; 0 for any.
    :param longest_pause: the longest so far.
    """

    attempt: Attempt
    stream: Stream
    deadline: float
    tokens: int
    backup: Instance | None = None
    events: int = 0
    last_event: str = ""
    moving: bool = False
    continuation: Continuation | None = None
    settled: anyio.Event = field(default_factory=anyio.Event)
    ended: bool = False
    outcome: StreamEnd = StreamEnd.CLIENT
    reason: str = ""
    tries: Tries = field(default_factory=Tries)
    pause: float = 0.0
    longest_pause: float = 0.0
    event_at: float = 0.0


class Mover(Protocol):
    """Moves generations off engines that leave or died."""

    def begin(self, run: Run) -> None:
        """Begin to move a run off an engine that leaves."""

    async def continue_cut(self, run: Run) -> Continuation | None:
        """Return where a run whose stream was cut can go on, if anywhere."""


class Runs:
    """The streams of one gateway.

    :param gateway: the gateway.
    :param mover: moves generations.
    """

    def __init__(self, gateway: Gateway, mover: Mover) -> None:
        self._gateway = gateway
        self._mover = mover
        self._runs: dict[str, Run] = {}

    def count(self) -> int:
        """Return how many streams are under way."""
        return len(self._runs)

    def leave_engine(self, instance: Instance) -> None:
        """Begin to move the streams off an instance that leaves.

        :param instance: the instance.
        """
        for run in list(self._runs.values()):
            if run.attempt.instance.id == instance.id:
                self._mover.begin(run)

    def open(self, run: Run) -> None:
        """Take charge of a stream; :meth:`close` must follow.

        :param run: the stream.
        """
        self._runs[run.attempt.job.id] = run
        self._move_if_leaving(run)

    async def deliver(self, run: Run) -> AsyncGenerator[bytes | Failure, None]:
        """Yield a stream's events, wherever its generation goes on.

        :param run: the stream.
        """
        while True:
            cut: Lost | None = None
            async for piece in run.stream.pieces():
                if isinstance(piece, Lost):
                    cut = piece
                    break
                if _note_piece(run, piece):
                    yield piece.data
            if cut is None:
                run.outcome = StreamEnd.WHOLE
                return
            failure = await self._go_on(run, cut)
            if failure is not None:
                run.outcome = _find_end(failure)
                run.reason = failure.reason
                yield failure
                return

    def note_stop(self) -> None:
        """Note that this gateway stops; streams that are not whole by then end for that."""
        for run in self._runs.values():
            run.outcome = StreamEnd.STOP

    async def close(self, run: Run) -> None:
        """End a stream, whether it is over or not.

        :param run: the stream.
        """
        if run.outcome is StreamEnd.CLIENT and anyio.current_time() >= run.deadline:
            run.outcome = StreamEnd.DEADLINE
        run.ended = True
        run.settled.set()
        self._runs.pop(run.attempt.job.id, None)
        self._remove_loads(run)
        with anyio.CancelScope(shield=True):
            await run.stream.close()
        self._log_end(run)

    async def _go_on(self, run: Run, cut: Lost) -> Failure | None:
        """Continue a stream that was cut: from its generation's memory, or else made anew."""
        cut_at = anyio.current_time()
        found = await self._mover.continue_cut(run)
        if found is not None:
            failure = await self._go_on_at(run, found.instance, found.source, cut_at)
        else:
            self._gateway.chooser.note_result(run.attempt.instance, False)
            failure = Failure(FailureKind.UPSTREAM_LOST, cut.reason, Ran.PARTIAL)
        while failure is not None and failure.kind is FailureKind.UPSTREAM_LOST:
            instance = self._pick_anew(run)
            if instance is None:
                break
            failure = await self._go_on_at(run, instance, None, cut_at)
        return failure

    def _pick_anew(self, run: Run) -> Instance | None:
        """Return where a stream may be made anew after its last event, if anywhere."""
        gateway = self._gateway
        tries = run.tries
        service = gateway.get_service(run.attempt.instance.service)
        if service is None or tries.ran >= tries.most:
            return None
        job, organisation = run.attempt.job, run.attempt.organisation
        if gateway.guard.get_standing(job, organisation) is not Standing.CLEAR:
            # Another upstream may end as the last one did; its client may ask again.
            return None
        now = anyio.current_time()
        if not tries.need.fits(gateway.ends_at - now, run.deadline - now):
            # This gateway stops before it would be over; the client can resume elsewhere at once.
            return None
        prompt = run.attempt.job.prompt
        chooser = gateway.chooser
        found = chooser.pick(service, run.tokens, tries.upstreams, prompt)
        found = found or chooser.pick_limited(service, run.tokens, tries.upstreams)
        if found is None or not gateway.take_repeat(service.name):
            return None
        return found

    async def _go_on_at(
        self, run: Run, instance: Instance, source: Source | None, cut_at: float
    ) -> Failure | None:
        """Let an upstream go on with a stream: from its memory, or made anew without any."""
        seconds = run.deadline - anyio.current_time()
        if seconds <= 0:
            return Failure(FailureKind.DEADLINE, "the time is over", Ran.PARTIAL)
        run.tries.upstreams.add(instance.id)
        backup = None
        if source is None:
            # Two upstreams must not make one stream: the first stops when its connection closes.
            await run.stream.close()
        else:
            source = replace(source, last_event=run.last_event)
            backup = self._gateway.chooser.pick_backup(instance, run.tokens, run.attempt.job.prompt)
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
        if isinstance(reply, NotRun | Lost | Whole):
            return self._note_not_continued(run, instance, reply)
        if source is not None:
            await run.stream.close()
        self._continue_on(run, attempt, reply, backup, cut_at)
        return None

    def _note_not_continued(
        self, run: Run, instance: Instance, reply: NotRun | Lost | Whole
    ) -> Failure:
        reason = f"status {reply.status}" if isinstance(reply, Whole) else reply.reason
        log_event(Event.MOVE_FAILED, request=run.attempt.job.id, to=instance.id, reason=reason)
        return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.PARTIAL)

    def _continue_on(
        self, run: Run, attempt: Attempt, stream: Stream, backup: Instance | None, cut_at: float
    ) -> None:
        self._remove_loads(run)
        self._take_over(run, attempt, stream, backup)
        log_event(
            Event.STREAM_MOVED,
            request=run.attempt.job.id,
            to=attempt.instance.id,
            after=run.last_event,
            copied=attempt.source is not None,
            pause=round(anyio.current_time() - cut_at, 3),
        )
        self._move_if_leaving(run)

    def _take_over(
        self, run: Run, attempt: Attempt, stream: Stream, backup: Instance | None
    ) -> None:
        run.attempt = attempt
        run.stream = stream
        run.backup = backup
        run.moving = False
        run.continuation = None
        run.settled = anyio.Event()
        self._gateway.loads.add(attempt.instance, 1, run.tokens)
        if backup is not None:
            self._gateway.loads.add(backup, 0, run.tokens)

    def _move_if_leaving(self, run: Run) -> None:
        known = self._gateway.fleet.get(run.attempt.instance.id)
        if known is None or self._gateway.fleet.is_replaced(known):
            return
        if known.state is not InstanceState.READY:
            self._mover.begin(run)

    def _remove_loads(self, run: Run) -> None:
        self._gateway.loads.add(run.attempt.instance, -1, -run.tokens)
        if run.backup is not None:
            self._gateway.loads.add(run.backup, 0, -run.tokens)

    def _log_end(self, run: Run) -> None:
        fingerprint = ""
        if run.outcome is StreamEnd.UPSTREAM:
            fingerprint = find_fingerprint(run.attempt.job, run.attempt.organisation)
        log_event(
            Event.STREAM_ENDED,
            request=run.attempt.job.id,
            upstream=run.attempt.instance.id,
            events=run.events,
            prompt=run.attempt.job.prompt.tokens if run.attempt.job.prompt else 0,
            most=run.attempt.job.prompt.most_output if run.attempt.job.prompt else 0,
            outcome=run.outcome.value,
            reason=run.reason,
            fingerprint=fingerprint,
            longest_pause=round(run.longest_pause, 3),
            paused=0 < run.pause < run.longest_pause,
            seconds=round(anyio.current_time() - run.attempt.job.received_at, 3),
        )


def _find_end(failure: Failure) -> StreamEnd:
    """Return how a stream ended that could not go on."""
    return StreamEnd.DEADLINE if failure.kind is FailureKind.DEADLINE else StreamEnd.UPSTREAM


def _note_piece(run: Run, piece: Piece) -> bool:
    """Note an event; return whether the client lacks it. Ids of one stream increase."""
    known, fresh = run.last_event, piece.event
    if known.isdecimal() and fresh.isdecimal() and int(fresh) <= int(known):
        log_event(Event.EVENT_DOUBLED, request=run.attempt.job.id, event_id=fresh, last=known)
        return False
    now = anyio.current_time()
    if run.events:
        run.longest_pause = max(run.longest_pause, now - run.event_at)
    run.event_at = now
    run.events += 1
    if fresh:
        run.last_event = fresh
    return True
