"""Plays prompts that one process places on engines whose memory is scarce, in virtual time.

The load that it answers: long generations that fill an engine by sixes, and three times as many
short ones that each need a tenth of it for half a second. Where memory runs out an engine preempts
the newest of its long generations and reads it in again. What is looked at is what callers get: a
generation is late whose first token comes after its objective, or which was preempted.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

from daleroad.candidates import Judge
from daleroad.defaults import CROWDED_OBJECTIVES, CROWDED_PAUSE_SECONDS
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Load
from daleroad.picking import Candidate, pick_upstream
from daleroad.placing import LONG, SHORT, PromptKind, draw
from daleroad.routing import EngineRule, ServiceRule

TURN_SECONDS = 0.02
"""Step of virtual time; a prompt is read for 0.3 to 0.5 s."""

READ_TOKENS_SECOND = 7500.0
"""Prompt tokens that an engine reads in a second while it generates."""

TOKEN_SECONDS = 0.0105
"""Time of one token of output on an engine that reads half of the time."""

MEMORY_TOKENS = 21_873
SLOTS = 24
"""An engine's size."""

LONG_MOST = 1768
SHORT_MOST = 36
"""Limits of the outputs; half of them is counted as memory."""

_ZONES = 3
_SERVICE = ServiceRule("s", "/", 0, EngineRule(SLOTS, MEMORY_TOKENS, 0.0, True, True))
_AGES = 1e9
"""Interval of heartbeats for the judge: these engines are never overdue."""


class Policy(StrEnum):
    """How engines are chosen."""

    LOAD = "least load"
    ROOM = "where it fits, else wait"


@dataclass(frozen=True)
class RoomCase:
    """One load; what is odd lasts from a third to two thirds of the time.

    :param name: what it is.
    :param engines: engines, spread over three zones.
    :param rate: prompts a second.
    :param short: how many times as many short prompts come meanwhile.
    :param long: the same of long ones.
    :param gone: part of the engines that is gone meanwhile, with what they ran.
    :param evacuated: zones that get nothing meanwhile.
    :param speeds: how many times as long steps take, by engine in turn.
    """

    name: str
    engines: int = 25
    rate: float = 38.0
    short: float = 1.0
    long: float = 1.0
    gone: float = 0.0
    evacuated: int = 0
    speeds: tuple[float, ...] = (1.0,)
    seconds: float = 36.0


CASES = (
    RoomCase("short prompts 2.5 times", short=2.5),
    RoomCase("long prompts twice", long=2.0),
    RoomCase("a third gone and back", gone=0.33),
    RoomCase("a zone evacuated in a burst", evacuated=1, short=1.3, long=1.3),
    RoomCase("engines of two speeds", speeds=(1.0, 1.0, 1.3)),
)


@dataclass
class _Work:
    """One prompt on its way."""

    name: str
    kind: PromptKind
    sent_at: float
    prompt: int
    output: int
    unread: float = 0.0
    made: float = 0.0
    first_at: float | None = None
    preempted: int = 0
    lost: bool = False
    engine: str = ""

    def is_long(self) -> bool:
        return self.kind is LONG

    def count_tokens(self) -> int:
        """Return the memory that is counted for it where engines are chosen."""
        return self.prompt + (LONG_MOST if self.is_long() else SHORT_MOST) // 2

    def is_late(self) -> bool:
        began = self.first_at if self.first_at is not None else float("inf")
        return bool(self.preempted) or began - self.sent_at > self.kind.objective


@dataclass
class _Engine:
    instance: Instance
    speed: float
    waiting: list[_Work] = field(default_factory=list)
    running: list[_Work] = field(default_factory=list)
    reread: float = 0.0

    def turn(self, now: float) -> Iterator[_Work]:
        """Go on for one step; yield what began or ended."""
        self._admit()
        yield from self._read(now)
        for work in list(self.running):
            if work.unread:
                continue
            work.made += TURN_SECONDS / (TOKEN_SECONDS * self.speed)
            if work.made >= work.output:
                self.running.remove(work)
                yield work
        self._make_room()

    def _admit(self) -> None:
        self.waiting.sort(key=lambda work: (work.is_long(), work.sent_at))
        for work in list(self.waiting):
            if not work.is_long():
                self._make_room(work.prompt)
            if self._count_used() + work.prompt > MEMORY_TOKENS or len(self.running) >= SLOTS:
                return
            self.waiting.remove(work)
            work.unread = work.prompt + work.made
            self.running.append(work)

    def _read(self, now: float) -> Iterator[_Work]:
        left = READ_TOKENS_SECOND * TURN_SECONDS / self.speed
        for work in sorted(self.running, key=lambda work: work.is_long()):
            read = min(left, work.unread)
            left -= read
            begins = 0 < work.unread <= read
            work.unread -= read
            if begins and work.first_at is None:
                work.first_at = now
                yield work

    def _count_used(self) -> float:
        return sum(work.prompt + work.made for work in self.running)

    def _make_room(self, wanted: float = 0.0) -> None:
        """Preempt the newest long generations until what is wanted fits."""
        while self._count_used() + wanted > MEMORY_TOKENS:
            newest = max(
                (work for work in self.running if work.is_long()),
                key=lambda work: work.sent_at,
                default=None,
            )
            if newest is None:
                return
            self.running.remove(newest)
            newest.preempted += 1
            self.reread += newest.prompt + newest.made - newest.unread
            self.waiting.append(newest)


@dataclass(frozen=True)
class KindResult:
    """What callers of one kind got, as shares of all its prompts."""

    in_time: float
    late: float
    lost: float


@dataclass(frozen=True)
class RoomResult:
    """What came of one case.

    :param preempted: how often a generation was preempted.
    :param reread: tokens that were read again for it.
    """

    long: KindResult
    short: KindResult
    preempted: int
    reread: float


class _World:
    def __init__(self, case: RoomCase, policy: Policy, seed: int) -> None:
        self.case = case
        self.policy = policy
        self.random = Random(seed)
        self.fleet = Fleet()
        self.loads = LoadTotals(float("inf"))
        self.engines: dict[str, _Engine] = {}
        self.pending: list[tuple[float, _Work]] = []
        self.all: list[_Work] = []
        for number in range(case.engines):
            zone = f"zone-{number % _ZONES}"
            ready = InstanceState.READY
            instance = Instance(f"e{number}", "s", f"{number}", zone, SLOTS, ready, 1)
            self.fleet.note(Sighting(instance, 0.0), 0.0)
            speed = case.speeds[number % len(case.speeds)]
            self.engines[instance.id] = _Engine(instance, speed)

    def is_odd(self, now: float) -> bool:
        """Return whether what makes the case lasts."""
        return self.case.seconds / 3 <= now < 2 * self.case.seconds / 3

    def play(self) -> RoomResult:
        now = 0.0
        while now < self.case.seconds + 25.0:
            if now < self.case.seconds:
                self._arrive(now)
            self._lose(now)
            self._place(now)
            for engine in self.engines.values():
                for work in engine.turn(now):
                    self._tell(work, now)
            now += TURN_SECONDS
        return RoomResult(
            _judge(work for work in self.all if work.is_long()),
            _judge(work for work in self.all if not work.is_long()),
            sum(work.preempted for work in self.all),
            sum(engine.reread for engine in self.engines.values()),
        )

    def _arrive(self, now: float) -> None:
        odd = self.is_odd(now)
        for kind, times in ((LONG, self.case.long), (SHORT, self.case.short)):
            rate = self.case.rate * kind.share * (times if odd else 1.0)
            if self.random.random() < rate * TURN_SECONDS:
                prompt = int(draw(self.random, *kind.tokens))
                mean = 650.0 if kind is LONG else kind.output[0]
                most = LONG_MOST if kind is LONG else SHORT_MOST
                output = max(1, min(most, int(draw(self.random, mean, kind.output[1]))))
                work = _Work(f"w{len(self.all)}", kind, now, prompt, output)
                self.all.append(work)
                self.pending.append((now, work))

    def _lose(self, now: float) -> None:
        """Let engines go, with what they run, while that is what makes the case."""
        if not self.case.gone or not self.is_odd(now):
            return
        for engine in list(self.engines.values())[: int(self.case.gone * self.case.engines)]:
            for work in (*engine.running, *engine.waiting):
                work.lost = True
                self.loads.note(work.name, (), now)
            engine.running, engine.waiting = [], []

    def _place(self, now: float) -> None:
        due = [(at, work) for at, work in self.pending if at <= now]
        self.pending = [(at, work) for at, work in self.pending if at > now]
        for _, work in due:
            found = self._choose(work, now)
            waited = now - work.sent_at
            patient = work.is_long() and waited < CROWDED_OBJECTIVES * work.kind.objective
            if found.crowded and patient:
                self.pending.append((now + CROWDED_PAUSE_SECONDS, work))
                continue
            work.engine = found.instance.id
            load = Load(work.engine, 1, work.count_tokens(), work.prompt)
            self.loads.book(work.name, load, now)
            self.engines[work.engine].waiting.append(work)

    def _choose(self, work: _Work, now: float) -> Candidate:
        odd = self.is_odd(now)
        zones = [f"zone-{n}" for n in range(self.case.evacuated if odd else 0)]
        gone = int(self.case.gone * self.case.engines) if odd else 0
        excluded = [f"e{number}" for number in range(gone)]
        judge = Judge(self.fleet, _AGES, self.loads.get_total, lambda name: False, zones)
        found = judge.list_candidates(_SERVICE, work.count_tokens(), excluded, now)
        if self.policy is Policy.LOAD:
            found = (replace(candidate, crowded=False) for candidate in found)
        chosen = pick_upstream(found, "", self.random)
        assert chosen is not None
        return chosen

    def _tell(self, work: _Work, now: float) -> None:
        """Let the process that places know that some work began or ended."""
        over = work.made >= work.output
        left = () if over else (Load(work.engine, 1, work.count_tokens()),)
        self.loads.note(work.name, left, now)


def _judge(works: Iterable[_Work]) -> KindResult:
    found = list(works)
    lost = sum(work.lost for work in found)
    late = sum(work.is_late() and not work.lost for work in found)
    count = max(1, len(found))
    return KindResult((count - lost - late) / count, late / count, lost / count)


def play(case: RoomCase, policy: Policy, seed: int) -> RoomResult:
    """Return what came of one case.

    :param case: the load.
    :param policy: how engines are chosen.
    :param seed: fixes arrivals and lengths.
    """
    return _World(case, policy, seed).play()


def format_cases(cases: Iterable[RoomCase], seed: int) -> Iterator[str]:
    """Yield a table of cases by each policy: shares in time of long and short ones, preempted.

    :param cases: the cases.
    :param seed: fixes arrivals and lengths.
    """
    yield f"{'load':<30}{'policy':<26}{'long':>7}{'short':>7}{'preempted':>11}{'read again':>12}"
    for case in cases:
        for policy in Policy:
            found = play(case, policy, seed)
            shares = f"{found.long.in_time:>7.3f}{found.short.in_time:>7.3f}"
            waste = f"{found.preempted:>11}{found.reread:>12.0f}"
            yield f"{case.name:<30}{policy:<26}{shares}{waste}"
