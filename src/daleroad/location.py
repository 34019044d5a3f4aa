"""Which entries a caller should use. Pure."""

from collections.abc import Iterable
from random import Random

from daleroad.defaults import LOCATE_MOST
from daleroad.records import EntryMember, State

_MOST = 16


def pick_addresses(
    entries: Iterable[EntryMember], zone: str, most: int, random: Random
) -> list[str]:
    """Return addresses of serving entries: first of the caller's zone, then of others.

    Within a zone the order is drawn anew for each answer, so that callers spread. The last
    address is of another zone when there is one, so that a lost zone leaves a way.

    :param entries: the membership.
    :param zone: the caller's availability zone, or empty.
    :param most: how many to return at most; 0 for the default.
    :param random: source of the order.
    """
    limit = min(most or LOCATE_MOST, _MOST)
    near: list[str] = []
    far: list[str] = []
    for entry in entries:
        if entry.state is State.SERVING:
            (near if entry.zone == zone else far).append(entry.address)
    first = random.sample(near, min(limit, len(near)))
    if far and len(first) >= limit > 1:
        first.pop()
    rest = random.sample(far, min(limit - len(first), len(far)))
    return first + rest
