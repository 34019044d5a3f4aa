"""Ranks upstreams by prefix affinity with bounded loads, or by load. Does no I/O."""

from collections.abc import Callable, Iterable
from random import Random

from daleroad.directory import get_weight
from daleroad.records import Upstream

_MAX_LOAD_RATIO = 1.25
"""Largest load at which an upstream is preferred for its prefix, over the mean of all."""

_MIN_LOAD_BOUND = 0.3
"""Lower limit of that bound, so that a small load never counts against the preferred upstream."""


def rank_upstreams(
    upstreams: Iterable[Upstream],
    prefix: str,
    get_load: Callable[[str], float],
    random: Random,
) -> list[Upstream]:
    """Return the upstreams in the order in which to try them.

    With a prefix, the first upstream in the prefix's rendezvous order whose load is within the
    bound goes first, and the others follow by load. Without one, two are drawn at random and both
    go first, the less loaded one ahead.

    :param upstreams: the candidates.
    :param prefix: key of the prompt's prefix, or empty.
    :param get_load: returns the last known load of an upstream, from 0 to about 1.
    :param random: source of randomness.
    """
    choices = list(upstreams)
    if len(choices) < 2:
        return choices
    random.shuffle(choices)
    loads = {upstream.name: get_load(upstream.name) for upstream in choices}
    if prefix:
        bound = max(_MIN_LOAD_BOUND, _MAX_LOAD_RATIO * sum(loads.values()) / len(loads))
        choices.sort(key=lambda u: -get_weight(prefix, u.name))
        eligible = [u for u in choices if loads[u.name] <= bound]
        if eligible:
            first = eligible[0]
            rest = sorted((u for u in choices if u is not first), key=lambda u: loads[u.name])
            return [first, *rest]
    pair = sorted(choices[:2], key=lambda u: loads[u.name])
    return pair + sorted(choices[2:], key=lambda u: loads[u.name])
