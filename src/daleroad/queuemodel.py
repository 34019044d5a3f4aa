"""Simulates prompts that compete for engines when far too many come, in virtual time.

For a while prompts come at several times the rate that the engines serve. Gateways either ask for
room again and again, or wait in the queue of the placing leader. An engine admits the most urgent
prompt first; one that finds no memory preempts the newest less urgent generation, which is read
again from the start. A client that has no first token when its patience ends leaves.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

from daleroad.contention import Contention
from daleroad.defaults import MAX_MEMORY_WAIT_OBJECTIVES, MEMORY_WAIT_PAUSE_SECONDS
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Demand, Load, PlaceAnswer, PlaceRequest
from daleroad.placer import Placer
from daleroad.placing import draw_length
from daleroad.promptqueue import HOLD_SECONDS, PromptQueue
from daleroad.reserves import PREFILL_TOKENS_PER_SECOND, Reserve
from daleroad.routing import EngineRule, ServiceRule

STEP_SECONDS = 0.02
OUTPUT_TOKEN_SECONDS = 0.0105
MEMORY_TOKENS = 24_000
SLOTS = 24

BURST_START_SECONDS = 4.0
BURST_SECONDS = 20.0
END_SECONDS = 45.0
"""The burst, and the end of the simulated time; arrivals end ten seconds before it."""

_ORGANISATIONS = 8
_GREEDY = "o0"
_GREEDY_WEIGHT = 10
_SERVICE = ServiceRule("s", "/", 0, EngineRule(SLOTS, MEMORY_TOKENS, 0.0, True, True))
_CONTENTION = Contention(yields=True)
_HEARTBEAT_SECONDS = 1e9


class Waiting(StrEnum):
    """How prompts wait for room.

    In the queue they wait until their clients leave, or go to the best engine when their patience
    ends.
    """

    POLLING = "polling"
    QUEUE_THEN_SEND = "queue, then sent"
    QUEUE = "queue"


@dataclass(frozen=True)
class Kind:
    """A kind of prompts.

    :param rank: its rank.
    :param objective: objective of the first token, in seconds.
    :param patience: when its client leaves, in seconds.
    :param prompt: mean of the prompt length, and its standard deviation over the mean.
    :param output: the same of the output.
    :param max_output: limit of the output.
    :param share: share of all prompts.
    """

    rank: int
    objective: float
    patience: float
    prompt: tuple[float, float]
    output: tuple[float, float]
    max_output: int
    share: float

    def is_long(self) -> bool:
        """Return whether the output takes long."""
        return self.max_output > 100  # noqa: PLR2004


@dataclass(frozen=True)
class QueueCase:
    """A site.

    :param name: its name in the table.
    :param kinds: what comes.
    :param rate: prompts per second that the engines serve.
    :param factor: multiple of it that comes in the burst.
    :param engines: number of engines.
    """

    name: str
    kinds: tuple[Kind, ...]
    rate: float
    factor: float = 3.0
    engines: int = 6


_LONG = Kind(0, 1.8, 12.0, (3080.0, 0.35), (650.0, 0.84), 1768, 0.5)
_SHORT = Kind(1, 1.5, 6.0, (2550.0, 0.6), (12.0, 0.9), 36, 0.5)

CASES = (
    QueueCase("long ones first", (_LONG, _SHORT), 8.0),
    QueueCase(
        "short ones first",
        (replace(_SHORT, rank=0, share=0.6), replace(_LONG, rank=2, objective=4.0, share=0.4)),
        9.0,
    ),
)


@dataclass
class ModelPrompt:
    """A prompt with its progress. Times are in seconds of virtual time."""

    number: int
    kind: Kind
    organisation: str
    sent_at: float
    prompt: int
    output: int
    engine: str = ""
    asked_at: float = float("-inf")
    prefill_left: float = 0.0
    generated: float = 0.0
    first_token_at: float | None = None
    preemptions: int = 0
    left: bool = False

    def is_in_time(self) -> bool:
        """Return whether the first token came in time, and the generation was never preempted."""
        if self.first_token_at is None or self.preemptions:
            return False
        return self.first_token_at - self.sent_at <= self.kind.objective

    def make_request(self, now: float) -> PlaceRequest:
        """Return the gateway's request for an engine.

        :param now: the time.
        """
        kind, age = self.kind, now - self.sent_at
        demand = Demand(
            self.organisation,
            kind.rank,
            kind.objective,
            0.2,
            age,
            kind.patience - age,
            kind.is_long(),
            str(self.number),
        )
        name, tokens = str(self.number), self.prompt + kind.max_output // 2
        return PlaceRequest(
            name, "", "s", tokens, self.prompt, (), (), demand=demand, ticket=str(self.number)
        )


@dataclass
class _Engine:
    waiting: list[ModelPrompt] = field(default_factory=list)
    running: list[ModelPrompt] = field(default_factory=list)

    def step(self, now: float) -> Iterator[ModelPrompt]:
        """Run one step; yield the prompts that got their first token or ended."""
        self._admit()
        yield from self._prefill(now)
        for request in [r for r in self.running if not r.prefill_left]:
            request.generated += STEP_SECONDS / OUTPUT_TOKEN_SECONDS
            if request.generated >= request.output:
                self.running.remove(request)
                yield request
        self._free(0.0, -1)

    def drop(self, request: ModelPrompt) -> None:
        """Drop a prompt whose client left."""
        for listed in (self.waiting, self.running):
            if request in listed:
                listed.remove(request)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda request: (request.kind.rank, request.sent_at))
        for request in list(self.waiting):
            self._free(request.prompt, request.kind.rank)
            full = self._count_used() + request.prompt > MEMORY_TOKENS
            if full or len(self.running) >= SLOTS:
                return
            self.waiting.remove(request)
            request.prefill_left = request.prompt + request.generated
            self.running.append(request)

    def _prefill(self, now: float) -> Iterator[ModelPrompt]:
        left = PREFILL_TOKENS_PER_SECOND * STEP_SECONDS
        for request in sorted(self.running, key=lambda request: request.kind.rank):
            tokens = min(left, request.prefill_left)
            left -= tokens
            ends = 0 < request.prefill_left <= tokens
            request.prefill_left -= tokens
            if ends and request.first_token_at is None:
                request.first_token_at = now
                yield request

    def _count_used(self) -> float:
        return sum(request.prompt + request.generated for request in self.running)

    def _free(self, needed: float, rank: int) -> None:
        """Preempt the newest of the least urgent generations until the needed tokens are free."""
        while self._count_used() + needed > MEMORY_TOKENS:
            weaker = (request for request in self.running if request.kind.rank > rank)
            newest = max(weaker, key=lambda r: (r.kind.rank, r.sent_at), default=None)
            if newest is None:
                return
            self.running.remove(newest)
            newest.preemptions += 1
            self.waiting.append(newest)


class _RefuseNone:
    """Lets all prompts wait until their clients leave."""

    def note_start(self, service: str, now: float) -> None:
        pass

    def note_done(self, service: str, fingerprint: str) -> None:
        pass

    def decide(self, service: str, demand: Demand, ahead: int, now: float) -> None:
        return None

    def is_expected(self, service: str, fingerprint: str, now: float) -> bool:
        return False


class _Simulation:
    def __init__(self, case: QueueCase, waiting: Waiting, seed: int) -> None:
        self.case = case
        # Arrivals have a source of their own, so that they are equal however prompts wait.
        self.arrivals = Random(seed)
        self.fleet, self.loads = Fleet(), LoadTotals(float("inf"))
        self.engines: dict[str, _Engine] = {}
        for number in range(case.engines):
            instance = Instance(f"e{number}", "s", str(number), "", SLOTS, InstanceState.READY, 1)
            self.fleet.note(Sighting(instance, 0.0), 0.0)
            self.engines[instance.id] = _Engine()
        self.placer = Placer(self.fleet, self.loads, _HEARTBEAT_SECONDS, Random(seed))
        refusals = _RefuseNone() if waiting is Waiting.QUEUE else None
        self.queue = PromptQueue("s", self.place, refusals)
        self.ask = self.ask_again if waiting is Waiting.POLLING else self.ask_queue
        self.pending: list[ModelPrompt] = []
        self.all: list[ModelPrompt] = []

    def place(self, request: PlaceRequest, reserve: Reserve | None, now: float) -> PlaceAnswer:
        return self.placer.place(request, _SERVICE, now, (), _CONTENTION, reserve)

    def run(self) -> list[ModelPrompt]:
        for step in range(round(END_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            if now < END_SECONDS - 10:
                self._add_arrivals(now)
            self._place_pending(now)
            for engine in self.engines.values():
                for request in engine.step(now):
                    self._report(request, now)
            self._drop_left(now)
        return self.all

    def _add_arrivals(self, now: float) -> None:
        burst = BURST_START_SECONDS <= now < BURST_START_SECONDS + BURST_SECONDS
        for kind in self.case.kinds:
            rate = self.case.rate * kind.share * (self.case.factor if burst else 1.0)
            if self.arrivals.random() < rate * STEP_SECONDS:
                self._add_arrival(kind, now)

    def _add_arrival(self, kind: Kind, now: float) -> None:
        random = self.arrivals
        names = [f"o{number}" for number in range(_ORGANISATIONS)]
        weights = [_GREEDY_WEIGHT if name == _GREEDY else 1 for name in names]
        prompt = int(draw_length(random, *kind.prompt))
        output = max(1, min(kind.max_output, int(draw_length(random, *kind.output))))
        organisation = random.choices(names, weights)[0]
        request = ModelPrompt(len(self.all), kind, organisation, now, prompt, output)
        self.all.append(request)
        self.pending.append(request)

    def _place_pending(self, now: float) -> None:
        for request in self.pending:
            self.ask(request, now)
        self.queue.drain(now)
        still_pending = []
        for request in self.pending:
            if not request.engine and len(self.queue):
                self.take(request, self.queue.begin_poll(request.make_request(now), now))
            if not request.engine:
                still_pending.append(request)
        self.pending = still_pending

    def ask_queue(self, request: ModelPrompt, now: float) -> None:
        """Submit a newcomer, and poll for it from then on."""
        if request.asked_at < 0:
            self.take(request, self.queue.submit(request.make_request(now), now))
        elif now - request.asked_at >= HOLD_SECONDS:
            self.take(request, self.queue.begin_poll(request.make_request(now), now))
        else:
            return
        request.asked_at = now

    def ask_again(self, request: ModelPrompt, now: float) -> None:
        """Ask for room now and then; only long generations wait for it."""
        if now - request.asked_at < MEMORY_WAIT_PAUSE_SECONDS:
            return
        request.asked_at = now
        waited = now - request.sent_at
        limit = MAX_MEMORY_WAIT_OBJECTIVES * request.kind.objective
        patient = request.kind.is_long() and waited < limit
        self.take(
            request, self.place(replace(request.make_request(now), patient=patient), None, now)
        )

    def take(self, request: ModelPrompt, answer: PlaceAnswer | None) -> None:
        """Send a prompt to the engine that it got."""
        if answer is not None and answer.instance and not answer.crowded:
            request.engine = answer.instance
            self.engines[request.engine].waiting.append(request)

    def _report(self, request: ModelPrompt, now: float) -> None:
        ended = request.generated >= request.output
        tokens = request.prompt + request.kind.max_output // 2
        loads = () if ended else (Load(request.engine, 1, tokens),)
        self.loads.set_report(str(request.number), loads, now)

    def _drop_left(self, now: float) -> None:
        for request in self.all:
            is_over = now - request.sent_at > request.kind.patience
            if not is_over or request.left or request.first_token_at is not None:
                continue
            request.left = True
            self.queue.withdraw(str(request.number), str(request.number))
            self.pending = [other for other in self.pending if other is not request]
            if request.engine:
                self.engines[request.engine].drop(request)
                self.loads.set_report(str(request.number), (), now)


def simulate(case: QueueCase, waiting: Waiting, seed: int) -> list[ModelPrompt]:
    """Run one case and return all prompts with what became of them.

    :param case: the site.
    :param waiting: how prompts wait.
    :param seed: determines arrivals, lengths and noise.
    """
    return _Simulation(case, waiting, seed).run()


def find_share(prompts: Iterable[ModelPrompt]) -> float:
    """Return which part of some prompts was in time.

    :param prompts: the prompts.
    """
    chosen = [prompt.is_in_time() for prompt in prompts]
    return sum(chosen) / max(1, len(chosen))


def is_small_organisation(prompt: ModelPrompt) -> bool:
    """Return whether a prompt is from an organisation that sends no more than its share.

    :param prompt: the prompt.
    """
    return prompt.organisation != _GREEDY


def format_cases(cases: Iterable[QueueCase], seeds: int) -> Iterator[str]:
    """Yield the rows of a table that compares how prompts wait.

    :param cases: the cases.
    :param seeds: simulations of each.
    """
    yield f"{'site':<20}{'waiting':<18}{'urgent':>8}{'other':>8}{'small':>8}{'greedy':>8}" + (
        f"{'largest':>9}{'left':>7}{'preempted':>11}"
    )
    for case in cases:
        urgent = case.kinds[0].rank
        for waiting in Waiting:
            found = [p for seed in range(seeds) for p in simulate(case, waiting, seed)]
            sizes = sorted(p.prompt for p in found)
            large = sizes[int(0.9 * len(sizes))]
            shares = (
                find_share(p for p in found if p.kind.rank == urgent),
                find_share(p for p in found if p.kind.rank != urgent),
                find_share(filter(is_small_organisation, found)),
                find_share(p for p in found if not is_small_organisation(p)),
            )
            largest = find_share(p for p in found if p.prompt >= large)
            left = sum(p.left for p in found) / len(found)
            preempted = sum(p.preemptions for p in found) / seeds
            row = "".join(f"{share:>8.3f}" for share in shares)
            yield f"{case.name:<20}{waiting:<18}{row}{largest:>9.3f}{left:>7.3f}{preempted:>11.1f}"
