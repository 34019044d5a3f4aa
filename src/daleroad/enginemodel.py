"""A model of an inference engine with continuous batching and limited memory.

The stand-in engine and the bench run it step by step. Times are in seconds, memory in tokens. A
step produces one token for each running sequence. When memory would overflow, the running sequence
of the lowest priority is preempted, the latest among equals: its memory is freed, and its prompt
and output are prefilled again when it resumes.

Does no I/O.
"""

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True)
class EngineParameters:
    """An engine's limits and the cost of its steps.

    :param capacity: memory in tokens.
    :param slots: maximum number of running sequences.
    :param step_seconds: fixed time of a step.
    :param seconds_per_sequence: additional time of a step for each running sequence.
    :param prefill_seconds_per_token: additional time of a step for each token prefilled in it.
    :param prefix_cache_tokens: size of the prefix cache.
    """

    capacity: int = 16_000
    slots: int = 32
    step_seconds: float = 0.012
    seconds_per_sequence: float = 0.0004
    prefill_seconds_per_token: float = 0.00004
    prefix_cache_tokens: int = 4_000


@dataclass
class Sequence:
    """One generation in the engine.

    :param length: number of tokens that it will produce.
    :param priority: a lower number is served first.
    :param prefix: key of the prompt's prefix in the prefix cache; empty for none.
    :param arrival_number: its position in the order of arrival.
    """

    generation: str
    prompt_tokens: int
    length: int
    priority: int
    prefix: str = ""
    produced: int = 0
    preemptions: int = 0
    arrival_number: int = 0


@dataclass(frozen=True)
class Step:
    """The result of a step.

    :param seconds: its duration.
    :param produced: the sequences that produced a token.
    :param finished: those of them that produced their last token.
    :param preempted: the sequences that were preempted before it.
    :param cached: the prefixes that were added to the prefix cache.
    """

    seconds: float
    produced: tuple[Sequence, ...] = ()
    finished: tuple[Sequence, ...] = ()
    preempted: tuple[Sequence, ...] = ()
    cached: tuple[str, ...] = ()


@dataclass
class EngineModel:
    """The state of one engine.

    :param used: memory of the running sequences in tokens.
    """

    shape: EngineParameters
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
        sequence.arrival_number = self._arrivals
        self.waiting.append(sequence)
        self.waiting.sort(key=_get_rank)

    def cancel(self, generation: str) -> bool:
        """Remove a sequence; return whether there was one.

        :param generation: the generation.
        """
        for sequence in self.running:
            if sequence.generation == generation:
                self.running.remove(sequence)
                self.used -= _count_tokens(sequence)
                return True
        before = len(self.waiting)
        self.waiting = [s for s in self.waiting if s.generation != generation]
        return len(self.waiting) < before

    def is_idle(self) -> bool:
        """Return whether no sequence is running or waiting."""
        return not self.running and not self.waiting

    def step(self) -> Step:
        """Run one step and return its result."""
        prefill, cached = self._start_waiting()
        preempted = self._preempt()
        ended: list[Sequence] = []
        produced = tuple(self.running)
        for sequence in produced:
            sequence.produced += 1
            self.used += 1
            if sequence.produced >= sequence.length:
                ended.append(sequence)
        for sequence in ended:
            self.running.remove(sequence)
            self.used -= _count_tokens(sequence)
        shape = self.shape
        seconds = shape.step_seconds + shape.seconds_per_sequence * len(produced)
        seconds += shape.prefill_seconds_per_token * prefill
        return Step(seconds, produced, tuple(ended), tuple(preempted), tuple(cached))

    def _start_waiting(self) -> tuple[int, list[str]]:
        """Start sequences that fit; return the tokens to prefill and the newly cached prefixes."""
        prefill = 0
        cached: list[str] = []
        while self.waiting and len(self.running) < self.shape.slots:
            sequence = self.waiting[0]
            tokens = _count_tokens(sequence)
            free = self.shape.capacity - self.used - len(self.running)
            if tokens + 1 > free and self.running:
                break
            self.waiting.pop(0)
            self.running.append(sequence)
            self.used += tokens
            prefill += tokens - self._use_cache(sequence, cached)
        return prefill, cached

    def _use_cache(self, sequence: Sequence, cached: list[str]) -> int:
        """Return the number of prompt tokens that need no prefill, and cache the prompt's prefix.

        The prefix is taken to be half of the prompt.
        """
        if not sequence.prefix:
            return 0
        prefix_tokens = sequence.prompt_tokens // 2
        hit = sequence.prefix in self._cache
        self._cache[sequence.prefix] = prefix_tokens
        self._cache.move_to_end(sequence.prefix)
        while sum(self._cache.values()) > self.shape.prefix_cache_tokens and len(self._cache) > 1:
            self._cache.popitem(last=False)
        if not hit:
            cached.append(sequence.prefix)
        return prefix_tokens if hit else 0

    def _preempt(self) -> list[Sequence]:
        """Preempt sequences until the next step fits in memory; return them."""
        preempted: list[Sequence] = []
        while self.used + len(self.running) > self.shape.capacity and len(self.running) > 1:
            victim = max(self.running, key=_get_rank)
            self.running.remove(victim)
            self.used -= _count_tokens(victim)
            victim.preemptions += 1
            self.preemptions += 1
            preempted.append(victim)
            self.waiting.append(victim)
            self.waiting.sort(key=_get_rank)
        return preempted


def _get_rank(sequence: Sequence) -> tuple[int, int]:
    """Return the sort key of a sequence: by priority number, then by arrival."""
    return sequence.priority, sequence.arrival_number


def _count_tokens(sequence: Sequence) -> int:
    return sequence.prompt_tokens + sequence.produced
