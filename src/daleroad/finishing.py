"""Calculates the latest start at which a generation finishes before its entry shuts down."""

from daleroad.defaults import DRAIN_SECONDS_PER_TOKEN, FIRST_TOKEN_ALLOWANCE_SECONDS
from daleroad.lengths import OutputLengths

_LENGTH_QUANTILE = 0.95
"""Quantile of recent output lengths taken as the expected maximum."""


def estimate_max_tokens(lengths: OutputLengths, route: str, model: str, max_tokens: int) -> float:
    """Return the expected maximum output length in tokens.

    This is the request's own limit where too few outputs were recorded.

    :param lengths: recent output lengths.
    :param route: the route.
    :param model: the model version.
    :param max_tokens: the request's output limit in tokens.
    """
    seen = lengths.find_quantile(route, model, _LENGTH_QUANTILE)
    return max_tokens if seen is None else min(seen, max_tokens)


def compute_latest_start(ends_at: float, first_token_seconds: float, tokens: float) -> float:
    """Return the latest time of the permit at which even a slow generation finishes in time.

    :param ends_at: when the entry shuts down.
    :param first_token_seconds: the request's limit from arrival to first token.
    :param tokens: expected maximum output length.
    """
    begin = min(first_token_seconds, FIRST_TOKEN_ALLOWANCE_SECONDS)
    return ends_at - begin - tokens * DRAIN_SECONDS_PER_TOKEN
