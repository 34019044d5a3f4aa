"""A continuously batching engine with limited memory, as a pure model.

The stand-in engine and the bench drive it step by step. Times are in seconds, memory in tokens.
A step produces one token for each running sequence. When memory would overflow, the running
sequence with the lowest priority that came last is preempted: its memory is freed, and it reads
prompt and output again before it goes on.
"""

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True)
class EngineShape:
    """What an engine can do, and how long its steps take."""

    capacity: int = 16_000
    slots: int = 32
    step_seconds: float = 0.012
    sequence_seconds: float = 0.0004
    prefill_seconds: float = 0.00004
    cache_tokens: int = 4_000


@dataclass
class Sequence:
    """One generation in the engine."""

    generation: str
    prompt_tokens: int
    length: int
    priority: int
    prefix: str = ""
    produced: int = 0
    preemptions: int = 0
    order: int = 0


@dataclass(frozen=True)
class Step:
    """What a step did: its duration, who got a token, who ended, who was preempted."""

    seconds: float
    produced: tuple[Sequence, ...] = ()
    ended: tuple[Sequence, ...] = ()
    preempted: tuple[Sequence, ...] = ()
    cached: tuple[str, ...] = ()


@dataclass
class Batch:
    """The state of one engine."""

    shape: EngineShape
    waiting: list[Sequence] = field(default_factory=list)
    running: list[Sequence] = field(default_factory=list)
    preemptions: int = 0
    used: int = 0
    _arrivals: int = 0
    _cache: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence.

        :param sequence: the sequence.
        """
        self._arrivals += 1
        sequence.order = self._arrivals
        self.waiting.append(sequence)
        self.waiting.sort(key=_rank)

    def cancel(self, generation: str) -> bool:
        """Drop a sequence; return whether there was one.

        :param generation: its generation.
        """
        for sequence in self.running:
            if sequence.generation == generation:
                self.running.remove(sequence)
                self.used -= _get_size(sequence)
                return True
        before = len(self.waiting)
        self.waiting = [s for s in self.waiting if s.generation != generation]
        return len(self.waiting) < before

    def is_idle(self) -> bool:
        """Return whether there is nothing to do."""
        return not self.running and not self.waiting

    def step(self) -> Step:
        """Run one step."""
        prefill, cached = self._start()
        preempted = self._make_room()
        ended: list[Sequence] = []
        produced = tuple(self.running)
        for sequence in produced:
            sequence.produced += 1
            self.used += 1
            if sequence.produced >= sequence.length:
                ended.append(sequence)
        for sequence in ended:
            self.running.remove(sequence)
            self.used -= _get_size(sequence)
        shape = self.shape
        seconds = shape.step_seconds + shape.sequence_seconds * len(produced)
        seconds += shape.prefill_seconds * prefill
        return Step(seconds, produced, tuple(ended), tuple(preempted), tuple(cached))

    def _start(self) -> tuple[int, list[str]]:
        """Start what fits; return tokens to read and the prefixes that came into the cache."""
        prefill = 0
        cached: list[str] = []
        while self.waiting and len(self.running) < self.shape.slots:
            sequence = self.waiting[0]
            size = _get_size(sequence)
            room = self.shape.capacity - self.used - len(self.running)
            if size + 1 > room and self.running:
                break
            self.waiting.pop(0)
            self.running.append(sequence)
            self.used += size
            prefill += size - self._use_cache(sequence, cached)
        return prefill, cached

    def _use_cache(self, sequence: Sequence, cached: list[str]) -> int:
        """Return the tokens of the prompt that need not be read; remember its prefix."""
        if not sequence.prefix:
            return 0
        size = sequence.prompt_tokens // 2
        hit = sequence.prefix in self._cache
        self._cache[sequence.prefix] = size
        self._cache.move_to_end(sequence.prefix)
        while sum(self._cache.values()) > self.shape.cache_tokens and len(self._cache) > 1:
            self._cache.popitem(last=False)
        if not hit:
            cached.append(sequence.prefix)
        return size if hit else 0

    def _make_room(self) -> list[Sequence]:
        preempted: list[Sequence] = []
        while self.used + len(self.running) > self.shape.capacity and len(self.running) > 1:
            victim = max(self.running, key=_rank)
            self.running.remove(victim)
            self.used -= _get_size(victim)
            victim.preemptions += 1
            self.preemptions += 1
            preempted.append(victim)
            self.waiting.append(victim)
            self.waiting.sort(key=_rank)
        return preempted


def _rank(sequence: Sequence) -> tuple[int, int]:
    """Return the place of a sequence: a lower priority number goes first, then the older one."""
    return sequence.priority, sequence.order


def _get_size(sequence: Sequence) -> int:
    return sequence.prompt_tokens + sequence.produced
