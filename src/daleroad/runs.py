"""Streams that a gateway delivers, and their way off an engine that leaves.

A generation belongs to one client and is never made twice: when its engine leaves, its memory is
copied to another engine while it runs, then once more after it stopped, and the other engine goes
on from there. The client gets each event once and in order.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field, replace

import anyio

from daleroad.defaults import MOVE_RETRY_SECONDS, MOVE_WORTH_SECONDS, TOKEN_SECONDS
from daleroad.dispatch import (
    Attempt,
    Copied,
    Lost,
    NotCopied,
    NotRun,
    Piece,
    Source,
    Stream,
    Whole,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.fleet import Instance, InstanceState
from daleroad.gateway import Gateway
from daleroad.picking import pick_upstream


@dataclass
class Run:
    """One stream on its way to a client.

    :param attempt: what was sent, and where.
    :param stream: what comes back.
    :param deadline: when the client or the route's timeout ends it.
    :param tokens: the load noted for it.
    :param moved: set once the generation stopped and its copy waits at another engine.
    """

    attempt: Attempt
    stream: Stream
    deadline: float
    tokens: int
    events: int = 0
    last_event: str = ""
    moving: bool = False
    moved: tuple[Instance, Source] | None = None
    settled: anyio.Event = field(default_factory=anyio.Event)
    ended: bool = False
    outcome: str = "left by the client"


class Runs:
    """The streams of one gateway.

    :param gateway: the gateway.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
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
                self._begin_move(run)

    def open(self, run: Run) -> None:
        """Take charge of a stream; :meth:`close` must follow.

        :param run: the stream.
        """
        self._runs[run.attempt.job.id] = run
        known = self._gateway.fleet.get(run.attempt.instance.id)
        if known is not None and known.state is not InstanceState.READY:
            self._begin_move(run)

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
                self._note_piece(run, piece)
                yield piece.data
            if cut is None:
                run.outcome = "whole"
                return
            failure = await self._go_on(run, cut)
            if failure is not None:
                run.outcome = failure.reason
                yield failure
                return

    async def close(self, run: Run) -> None:
        """End a stream, whether it is over or not.

        :param run: the stream.
        """
        run.ended = True
        run.settled.set()
        self._runs.pop(run.attempt.job.id, None)
        self._gateway.remove_load(run.attempt.instance, run.tokens)
        with anyio.CancelScope(shield=True):
            await run.stream.close()
        self._log_end(run)

    def _note_piece(self, run: Run, piece: Piece) -> None:
        run.events += 1
        if piece.event:
            run.last_event = piece.event

    async def _go_on(self, run: Run, cut: Lost) -> Failure | None:
        """Continue a stream that was cut, if its generation was moved."""
        if run.moving and run.moved is None:
            await run.settled.wait()
        if run.moved is None:
            self._gateway.note_result(run.attempt.instance, False)
            return Failure(FailureKind.UPSTREAM_LOST, cut.reason, Ran.PARTIAL)
        instance, source = run.moved
        run.moved = None
        run.moving = False
        run.settled = anyio.Event()
        seconds = run.deadline - anyio.current_time()
        if seconds <= 0:
            return Failure(FailureKind.DEADLINE, "the time is over", Ran.PARTIAL)
        source = replace(source, last_event=run.last_event)
        attempt = replace(run.attempt, instance=instance, seconds=seconds, source=source)
        reply = await self._gateway.dispatcher.send(attempt)
        if isinstance(reply, NotRun | Lost | Whole):
            reason = reply.reason if not isinstance(reply, Whole) else f"status {reply.status}"
            log_event(Event.MOVE_FAILED, request=run.attempt.job.id, to=instance.id, reason=reason)
            return Failure(FailureKind.UPSTREAM_LOST, reason, Ran.PARTIAL)
        await run.stream.close()
        self._gateway.remove_load(run.attempt.instance, run.tokens)
        self._gateway.add_load(instance, run.tokens)
        run.attempt = attempt
        run.stream = reply
        log_event(
            Event.STREAM_MOVED,
            request=run.attempt.job.id,
            to=instance.id,
            after=run.last_event,
            seconds=round(seconds, 3),
        )
        known = self._gateway.fleet.get(instance.id)
        if known is not None and known.state is not InstanceState.READY:
            self._begin_move(run)
        return None

    def _begin_move(self, run: Run) -> None:
        table = self._gateway.table
        service = table.services.get(run.attempt.instance.service) if table else None
        if run.moving or run.ended or service is None or service.engine is None:
            return
        if not service.engine.moves:
            return
        run.moving = True
        run.settled = anyio.Event()
        self._gateway.spawn(self._move, run)

    async def _move(self, run: Run) -> None:
        """Copy a run's memory elsewhere while it runs, then stop it there."""
        try:
            await self._copy_twice(run)
        finally:
            if run.moved is None:
                run.moving = False
            run.settled.set()

    async def _copy_twice(self, run: Run) -> None:
        gateway = self._gateway
        job = run.attempt.job
        origin = run.attempt.instance
        while not run.ended and not self._ends_soon(run):
            destination = self._pick_destination(run)
            if destination is None:
                log_event(Event.MOVE_FAILED, request=job.id, to="", reason="no destination")
                return
            first = await gateway.dispatcher.copy(job, origin, destination, False)
            if isinstance(first, Copied):
                final = await gateway.dispatcher.copy(job, origin, destination, True)
                if isinstance(final, Copied):
                    source = Source(origin.address, final.handle, run.last_event)
                    run.moved = (destination, source)
                    return
                first = final
            assert isinstance(first, NotCopied)
            log_event(Event.MOVE_FAILED, request=job.id, to=destination.id, reason=first.reason)
            known = gateway.fleet.get(origin.id)
            if known is None or known.state is InstanceState.GONE and not first.absent:
                return
            await anyio.sleep(MOVE_RETRY_SECONDS)

    def _ends_soon(self, run: Run) -> bool:
        prompt = run.attempt.job.prompt
        return prompt is not None and prompt.most_output * TOKEN_SECONDS < MOVE_WORTH_SECONDS

    def _pick_destination(self, run: Run) -> Instance | None:
        gateway = self._gateway
        table = gateway.table
        origin = run.attempt.instance
        service = table.services.get(origin.service) if table else None
        if service is None:
            return None
        prompt = run.attempt.job.prompt
        tokens = prompt.tokens + prompt.most_output if prompt else 0
        candidates = gateway.list_candidates(service, tokens, {origin.id})
        found = pick_upstream(candidates, origin.zone, gateway.random)
        return found.instance if found else None

    def _log_end(self, run: Run) -> None:
        log_event(
            Event.STREAM_ENDED,
            request=run.attempt.job.id,
            upstream=run.attempt.instance.id,
            events=run.events,
            outcome=run.outcome,
            seconds=round(anyio.current_time() - run.attempt.job.received_at, 3),
        )
