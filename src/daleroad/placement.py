"""Which upstreams to try for a request, in order. Pure."""

from collections.abc import Callable, Iterable
from random import Random

from daleroad.directory import get_weight
from daleroad.records import Upstream

_BOUND = 1.25
_FREE = 0.3


def rank_candidates(
    upstreams: Iterable[Upstream],
    prefix: str,
    get_load: Callable[[str], float],
    random: Random,
) -> list[Upstream]:
    """Return upstreams, best first.

    With a prefix, the upstream that the prefix hashes to goes first while its load stays within
    a bound over the average; the others follow by load. Without one, two are drawn at random
    and the less loaded goes first.

    :param upstreams: the candidates.
    :param prefix: hash of the prompt's prefix, or empty.
    :param get_load: last known load of an upstream, from 0 to about 1.
    :param random: source of choices between equals.
    """
    choices = list(upstreams)
    if len(choices) < 2:
        return choices
    random.shuffle(choices)
    loads = {upstream.name: get_load(upstream.name) for upstream in choices}
    if prefix:
        bound = max(_FREE, _BOUND * sum(loads.values()) / len(loads))
        choices.sort(key=lambda u: -get_weight(prefix, u.name))
        within = [u for u in choices if loads[u.name] <= bound]
        if within:
            first = within[0]
            rest = sorted((u for u in choices if u is not first), key=lambda u: loads[u.name])
            return [first, *rest]
    pair = sorted(choices[:2], key=lambda u: loads[u.name])
    return pair + sorted(choices[2:], key=lambda u: loads[u.name])
