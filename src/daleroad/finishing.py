"""By when a generation must have begun to be over before its entry ends. Pure."""

from daleroad.defaults import DRAIN_TOKEN_SECONDS, STOP_BEGIN_SECONDS
from daleroad.lengths import Lengths

_LONG = 0.95
"""Quantile of the lengths seen that counts as the longest to expect."""


def expect_tokens(lengths: Lengths, route: str, model: str, most: int) -> float:
    """Return how long an output may get, in tokens; its limit where too few were seen.

    :param lengths: what was seen.
    :param route: the route.
    :param model: the model version.
    :param most: limit of the output in tokens.
    """
    seen = lengths.find_quantile(route, model, _LONG)
    return most if seen is None else min(seen, most)


def find_latest_start(ends_at: float, allowed: float, tokens: float) -> float:
    """Return by when a generation must have its permit to be over in time, also if it is slow.

    :param ends_at: when its entry ends.
    :param allowed: seconds that it has to its first token.
    :param tokens: how long its output may get.
    """
    begin = min(allowed, STOP_BEGIN_SECONDS)
    return ends_at - begin - tokens * DRAIN_TOKEN_SECONDS
