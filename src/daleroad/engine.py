"""A stand-in for a model engine, for the demo, the measurements and the tests.

It speaks the engines' protocol as the brief describes them: continuous batching in limited
memory, priorities, resume, cancel, orders with a fencing number, reports with a lag and cache
events with gaps. It records what ran, and it can be told to misbehave.
"""

import re
from collections import OrderedDict
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import anyio
import orjson
from xxhash import xxh3_64_intdigest

from daleroad.codec import decode, encode
from daleroad.daleroad_pb import Announcement, Report, RunningWork
from daleroad.enginemodel import EngineModel, EngineParameters, Step
from daleroad.enginemodel import Sequence as BatchSequence
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.messages import EngineCompletion, EngineOrder, EngineState, Forbidden
from daleroad.serving import Answer, Request, Response, Router, Stream, serve_app
from daleroad.settings import Tls
from daleroad.standin import Announcer

_TOKENS_HINT = re.compile(r"#tokens=(\d+)")
_KEPT_GENERATIONS = 2_000
_GRACE_SECONDS = 8.0
_KEEPALIVE_SECONDS = 1.0
_MAX_BODY = 4_000_000


class GenerationState(StrEnum):
    """What became of a generation."""

    UNSEEN = "unseen"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class EngineFaults:
    """How the engine misbehaves.

    :param double: sends each frame twice.
    :param cross: mixes in frames of another generation.
    :param skip: leaves out the frame of this index, once for each stream; -1 for none.
    :param cut: ends each first stream's connection before the frame of this index; -1 for none.
    :param stall: sends nothing from the frame of this index on, on first streams; -1 for none.
    :param die: closes all connections and forgets all once any generation got this long.
    """

    double: bool = False
    cross: bool = False
    skip: int = -1
    cut: int = -1
    stall: int = -1
    die: int = -1


@dataclass
class _Generation:
    """One generation and its tokens."""

    name: str
    prompt_digest: str
    state: GenerationState
    tokens: list[str] = field(default_factory=list)
    news: anyio.Event = field(default_factory=anyio.Event)
    readers: int = 0
    unread_since: float = 0.0
    preemptions: int = 0


@dataclass(frozen=True)
class EngineOptions:
    """How a stand-in engine is set up."""

    name: str
    service: str
    zone: str
    address: str
    entries: tuple[str, ...]
    token: str
    models: tuple[str, ...]
    shape: EngineParameters = EngineParameters()
    checks_fencing: bool = True
    speed: float = 1.0
    lag_reports: int = 1
    lose_events: float = 0.05
    seed: int = 0
    advertise: str = ""


class Engine:
    """One stand-in engine.

    :param options: its set-up.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.batch = EngineModel(options.shape)
        self.models = list(options.models)
        self.fencing = 0
        self.faults = EngineFaults()
        self.draining = False
        self.late_asks = 0
        self.runs: list[tuple[str, str]] = []
        self._generations: OrderedDict[str, _Generation] = OrderedDict()
        self._forbidden: OrderedDict[str, None] = OrderedDict()
        self._events: list[str] = []
        self._cache_sequence = 0
        self._reports: list[Report] = []
        self._random = Random(options.seed)
        self._work = anyio.Event()
        self._stop = anyio.Event()
        self.announcer = Announcer(
            options.entries, options.token, self._make_announcement, self._make_report
        )

    async def run(self) -> None:
        """Serve until stopped."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._decode_loop)
            tasks.start_soon(self._sweep_loop)
            tasks.start_soon(self.announcer.run)
            address = self.options.address
            await serve_app(self._make_router(), address, Tls(), self._stop.wait)
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop serving."""
        self._stop.set()

    async def drain(self) -> None:
        """Announce the leaving, finish what runs, then stop."""
        self.draining = True
        self.announcer.wake.set()
        while not self.batch.is_idle():
            await anyio.sleep(0.05)
        self.stop()

    def _make_router(self) -> Router:
        router = Router(_MAX_BODY)
        router.add("POST", "/v1/completions", self._serve_completion)
        router.add("GET", "/v1/generations/", self._serve_resume)
        router.add("POST", "/v1/forbid/", self._serve_forbid)
        router.add("POST", "/v1/orders", self._serve_order)
        router.add("GET", "/v1/state", self._serve_state)
        router.add("GET", "/record", self._serve_record)
        router.add("POST", "/faults", self._serve_faults)
        router.add("POST", "/drain", self._serve_drain)
        return router

    async def _serve_completion(self, request: Request) -> Answer:
        asked = decode(EngineCompletion, request.body)
        if isinstance(asked, Failure):
            return asked
        name = asked.generation
        refused = self._find_refusal(asked)
        if refused is not None:
            return refused
        self._remember(name, asked.prompt)
        hint = _TOKENS_HINT.search(asked.prompt)
        length = int(hint.group(1)) if hint else 8 + xxh3_64_intdigest(asked.prompt.encode()) % 120
        sequence = BatchSequence(
            name,
            count_prompt_tokens(asked.prompt),
            max(1, min(length, asked.max_tokens)),
            asked.priority,
            asked.prompt[:32],
        )
        self.batch.add(sequence)
        self._work.set()
        return Stream(self._stream(self._generations[name], 0, first=True))

    def _find_refusal(self, asked: EngineCompletion) -> Failure | None:
        name = asked.generation
        if not name.startswith(f"{self.options.name}."):
            return Failure(FailureKind.UPSTREAM_REFUSED, "a generation of another engine")
        if name in self._forbidden:
            return Failure(FailureKind.UPSTREAM_REFUSED, "this generation was cancelled before")
        if name in self._generations:
            return Failure(FailureKind.CONFLICT, "this generation runs already", Ran.UNKNOWN)
        if asked.model and asked.model not in self.models:
            return Failure(FailureKind.UPSTREAM_REFUSED, f"{asked.model} is not loaded")
        if self.draining:
            self.late_asks += 1
            return Failure(FailureKind.DRAINING, "the engine is leaving")
        return None

    def _remember(self, name: str, prompt: str) -> None:
        digest = f"{xxh3_64_intdigest(prompt.encode()):016x}"
        self.runs.append((name, digest))
        self._generations[name] = _Generation(name, digest, GenerationState.RUNNING)
        while len(self._generations) > _KEPT_GENERATIONS:
            self._generations.popitem(last=False)

    async def _serve_resume(self, request: Request) -> Answer:
        generation = self._generations.get(request.tail)
        if generation is None or generation.state is GenerationState.CANCELLED:
            return Failure(FailureKind.NOT_FOUND, "no such generation", Ran.UNKNOWN)
        start = int(request.query.partition("from=")[2] or "0")
        return Stream(self._stream(generation, start, first=False))

    async def _serve_forbid(self, request: Request) -> Answer:
        name = request.tail
        self._forbidden[name] = None
        generation = self._generations.get(name)
        if generation is None:
            return Response(200, encode(Forbidden(GenerationState.UNSEEN.value)))
        before = generation.state
        if before is GenerationState.RUNNING:
            self._cancel(generation)
        return Response(200, encode(Forbidden(before.value, len(generation.tokens))))

    async def _serve_order(self, request: Request) -> Answer:
        order = decode(EngineOrder, request.body)
        if isinstance(order, Failure):
            return order
        if self.options.checks_fencing and order.fencing < self.fencing:
            reason = f"fencing number {order.fencing} is older than {self.fencing}"
            return Failure(FailureKind.STALE_FENCING, reason)
        self.fencing = max(self.fencing, order.fencing)
        self.models = list(order.models)
        self.announcer.wake.set()
        return await self._serve_state(request)

    async def _serve_state(self, request: Request) -> Answer:
        return Response(200, encode(EngineState(self.fencing, tuple(self.models))))

    async def _serve_record(self, request: Request) -> Answer:
        record = {
            "runs": self.runs,
            "preemptions": self.batch.preemptions,
            "late_asks": self.late_asks,
            "generations": {
                g.name: {"state": g.state.value, "tokens": g.tokens, "prompt": g.prompt_digest}
                for g in self._generations.values()
            },
        }
        return Response(200, orjson.dumps(record))

    async def _serve_faults(self, request: Request) -> Answer:
        faults = decode(EngineFaults, request.body)
        if isinstance(faults, Failure):
            return faults
        self.faults = faults
        return Response(204)

    async def _serve_drain(self, request: Request) -> Answer:
        self.draining = True
        self.announcer.wake.set()
        return Response(204)

    def _cancel(self, generation: _Generation) -> None:
        generation.state = GenerationState.CANCELLED
        self.batch.cancel(generation.name)
        generation.news.set()

    async def _decode_loop(self) -> None:
        while True:
            if self.batch.is_idle():
                await self._work.wait()
            self._work = anyio.Event()
            step = self.batch.step()
            await anyio.sleep(step.seconds / self.options.speed)
            self._publish(step)

    def _publish(self, step: Step) -> None:
        for sequence in step.produced:
            generation = self._generations.get(sequence.generation)
            if generation is None or generation.state is not GenerationState.RUNNING:
                continue
            generation.tokens.append(make_token(sequence.generation, sequence.produced - 1))
            if sequence in step.finished:
                generation.state = GenerationState.DONE
            _wake(generation)
            if 0 <= self.faults.die <= len(generation.tokens):
                self._die()
                return
        for prefix in step.cached:
            self._cache_sequence += 1
            if self._random.random() >= self.options.lose_events:
                self._events.append(f"{xxh3_64_intdigest(prefix.encode()):016x}")

    def _die(self) -> None:
        """Forget all, as an engine that was killed and came back at once would."""
        self.faults = EngineFaults()
        for generation in self._generations.values():
            generation.state = GenerationState.CANCELLED
            _wake(generation)
        self._generations.clear()
        self.batch = EngineModel(self.options.shape)

    async def _sweep_loop(self) -> None:
        """Cancel generations that nobody has read for a while."""
        while True:
            await anyio.sleep(1.0)
            now = anyio.current_time()
            for generation in list(self._generations.values()):
                if generation.state is not GenerationState.RUNNING or generation.readers:
                    continue
                if now > generation.unread_since + _GRACE_SECONDS:
                    self._cancel(generation)

    async def _stream(
        self, generation: _Generation, start: int, first: bool
    ) -> AsyncGenerator[bytes, None]:
        generation.readers += 1
        try:
            async for piece in self._read(generation, start, first):
                yield piece
        finally:
            generation.readers -= 1
            generation.unread_since = anyio.current_time()

    async def _read(
        self, generation: _Generation, start: int, first: bool
    ) -> AsyncGenerator[bytes, None]:
        index = start
        while True:
            news = generation.news
            fresh = list(enumerate(generation.tokens))[index:]
            if fresh:
                frames = [self._make_frames(generation, i, text, first) for i, text in fresh]
                if first and self._is_cut(index, len(generation.tokens)):
                    return
                yield b"".join(frames)
                index += len(fresh)
                continue
            if generation.state is GenerationState.DONE:
                yield make_end(generation.name, index)
                return
            if generation.state is GenerationState.CANCELLED:
                return
            with anyio.move_on_after(_KEEPALIVE_SECONDS) as scope:
                await news.wait()
            if scope.cancelled_caught:
                yield b": keepalive\n\n"

    def _is_cut(self, start: int, stop: int) -> bool:
        return start <= self.faults.cut < stop

    def _make_frames(self, generation: _Generation, index: int, text: str, first: bool) -> bytes:
        faults = self.faults
        if first and (index == faults.skip or 0 <= faults.stall <= index):
            return b": left out\n\n"
        frame = make_frame(generation.name, index, text)
        if faults.double:
            frame += frame
        if faults.cross:
            frame = make_frame(f"{self.options.name}.other.0", index, "crossed ") + frame
        return frame

    def _make_announcement(self) -> Announcement:
        options = self.options
        return Announcement(
            upstream=options.name,
            address=f"http://{options.advertise or options.address}",
            service=options.service,
            zone=options.zone,
            capacity=options.shape.capacity,
            slots=options.shape.slots,
            models=list(self.models),
            checks_fencing=options.checks_fencing,
        )

    def _make_report(self) -> Report:
        running = [
            RunningWork(generation=s.generation, produced=s.produced)
            for s in [*self.batch.running, *self.batch.waiting]
        ]
        events, self._events = self._events, []
        report = Report(
            upstream=self.options.name,
            used=self.batch.used,
            preemptions=self.batch.preemptions,
            running=running,
            draining=self.draining,
            cache_sequence=self._cache_sequence,
            cached=events,
            models=list(self.models),
        )
        return self._delay(report)

    def _delay(self, report: Report) -> Report:
        """Return an older report, but with what must be told at once."""
        self._reports.append(report)
        del self._reports[: -1 - self.options.lag_reports]
        late = self._reports[0]
        late.draining = report.draining
        late.models = report.models
        return late


def _wake(generation: _Generation) -> None:
    generation.news.set()
    generation.news = anyio.Event()


def count_prompt_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has.

    :param prompt: the text.
    """
    return max(1, len(prompt) // 4)


def make_token(generation: str, index: int) -> str:
    """Return the stand-in's token of an index: it tells generation and place.

    :param generation: the generation.
    :param index: the index.
    """
    return f"{generation[-6:]}-{index} "


def make_frame(generation: str, index: int, text: str) -> bytes:
    """Return one token as a server-sent event.

    :param generation: the generation.
    :param index: the index.
    :param text: the token.
    """
    data = orjson.dumps({"text": text}).decode()
    return f"id: {generation}:{index}\ndata: {data}\n\n".encode()


def make_end(generation: str, count: int) -> bytes:
    """Return the end of a whole generation as a server-sent event.

    :param generation: the generation.
    :param count: its number of tokens.
    """
    return f'event: end\nid: {generation}:{count}\ndata: {{"tokens": {count}}}\n\n'.encode()
