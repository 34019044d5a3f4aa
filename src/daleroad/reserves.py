"""Room that less urgent prompts leave free in engines for more urgent ones.

Does no I/O.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from daleroad.notices import Load
from daleroad.picking import Candidate

PREFILL_TOKENS_PER_SECOND = 7500.0
"""Prefill rate of an engine that also decodes: 112 prompt tokens in a step of 15 ms."""

START_SHARE = 0.8
"""Part of a more urgent prompt's objective in which the reserve lets it start; the rest is for its
way and for prompts that other gateways place meanwhile."""


@dataclass(frozen=True)
class Reserve:
    """What must stay free in an engine beside a request and all that runs there.

    :param tokens: free memory in tokens.
    :param max_unread: prompt tokens without output yet, this request's included, behind which a
        more urgent prompt would still start in its objective.
    """

    tokens: int
    max_unread: float


def make_reserve(tokens: float, unread: float, objective: float) -> Reserve:
    """Return the reserve for one prompt that is more urgent than the request at hand.

    :param tokens: tokens of memory that the prompt may need.
    :param unread: tokens of the prompt itself.
    :param objective: objective of its first output, in seconds.
    """
    return Reserve(round(tokens), count_readable(objective) - unread)


def count_readable(objective: float) -> float:
    """Return how many prompt tokens an engine reads in an objective, with time to spare.

    :param objective: the objective, in seconds.
    """
    return START_SHARE * objective * PREFILL_TOKENS_PER_SECOND


def apply_reserve(
    candidates: Iterable[Candidate],
    reserve: Reserve,
    load: Load,
    memory: int,
    get_load: Callable[[str], Load],
) -> Iterator[Candidate]:
    """Yield candidates; those that lack the reserve are marked as lacking memory.

    An engine without other work has room for any prompt: it gets no better anywhere.

    :param candidates: the candidates for the request.
    :param reserve: what must stay free.
    :param load: what the request adds.
    :param memory: an engine's memory in tokens.
    :param get_load: returns the load of an instance.
    """
    for candidate in candidates:
        present = get_load(candidate.instance.id)
        is_full = present.tokens > 0 and present.tokens + load.tokens + reserve.tokens > memory
        is_behind = present.unread > 0 and present.unread + load.unread > reserve.max_unread
        lacks_room = is_full or is_behind
        same = candidate.lacks_memory == lacks_room
        yield candidate if same else replace(candidate, lacks_memory=lacks_room)
