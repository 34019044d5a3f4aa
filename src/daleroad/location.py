"""Selection of the entry addresses in a locate answer. Does no I/O."""

from collections.abc import Iterable
from random import Random

from daleroad.defaults import LOCATE_MOST
from daleroad.records import EntryMember, State

_MAX_ADDRESSES = 16


def pick_addresses(
    entries: Iterable[EntryMember], zone: str, most: int, random: Random
) -> list[str]:
    """Return addresses of serving entries: those in the caller's zone first, then others.

    Both groups are in random order, which spreads callers over the entries. Unless only one address
    is asked for, the last one is outside the caller's zone if there is such an entry, so that a
    caller can still connect after the loss of its zone.

    :param entries: the membership.
    :param zone: the caller's availability zone, or empty.
    :param most: maximum number of addresses; 0 for the default.
    :param random: source of randomness.
    """
    limit = min(most or LOCATE_MOST, _MAX_ADDRESSES)
    same_zone: list[str] = []
    other_zones: list[str] = []
    for entry in entries:
        if entry.state is State.SERVING:
            (same_zone if entry.zone == zone else other_zones).append(entry.address)
    selected = random.sample(same_zone, min(limit, len(same_zone)))
    if other_zones and len(selected) >= limit > 1:
        selected.pop()
    rest = random.sample(other_zones, min(limit - len(selected), len(other_zones)))
    return selected + rest
