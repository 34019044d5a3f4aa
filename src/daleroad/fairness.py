"""Hierarchical fair queueing: by partner, then by organisation, then first in, first out.

At each level, the virtual time of a queue grows by the tokens charged to it over its weight, and
the backlogged queue with the least virtual time is served next. A queue that was empty resumes at
the virtual time of the level, so idle capacity is used by others and no credit accumulates.

Does no I/O.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass
class _OrganisationQueue(Generic[T]):
    weight: float = 1.0
    virtual_time: float = 0.0
    items: deque[T] = field(default_factory=deque)


@dataclass
class _PartnerQueue(Generic[T]):
    """One partner's queue, made of its organisations' queues.

    :param level_virtual_time: the largest virtual time of an organisation when it was served.
    :param backlogged: the organisations' queues that are not empty.
    """

    weight: float = 1.0
    virtual_time: float = 0.0
    level_virtual_time: float = 0.0
    organisations: dict[str, _OrganisationQueue[T]] = field(default_factory=dict)
    backlogged: dict[str, _OrganisationQueue[T]] = field(default_factory=dict)


class FairQueue(Generic[T]):
    """A queue that serves partners by share and organisations by weight."""

    def __init__(self) -> None:
        self._partners: dict[str, _PartnerQueue[T]] = {}
        self._level_virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[T]:
        for partner in self._partners.values():
            for queue in partner.backlogged.values():
                yield from queue.items

    def set_share(self, partner: str, share: float) -> None:
        """Set a partner's share.

        :param partner: the partner.
        :param share: a positive number; only its ratio to the other shares matters.
        """
        self._partners.setdefault(partner, _PartnerQueue()).weight = max(share, 1e-3)

    def push(self, partner: str, organisation: str, weight: float, item: T) -> None:
        """Add an item at the end of its organisation's queue.

        :param partner: the partner.
        :param organisation: the organisation.
        :param weight: the organisation's weight among those of its partner.
        :param item: the item.
        """
        partner_queue = self._partners.setdefault(partner, _PartnerQueue())
        if not partner_queue.backlogged:
            partner_queue.virtual_time = max(partner_queue.virtual_time, self._level_virtual_time)
        queue = partner_queue.organisations.setdefault(organisation, _OrganisationQueue())
        queue.weight = weight
        if not queue.items:
            queue.virtual_time = max(queue.virtual_time, partner_queue.level_virtual_time)
            partner_queue.backlogged[organisation] = queue
        queue.items.append(item)
        self._count += 1

    def peek(self) -> T | None:
        """Return the next item without removing it, or ``None`` if the queue is empty."""
        selected = self._select()
        return selected[2].items[0] if selected else None

    def pop(self) -> T | None:
        """Remove and return the next item, or ``None`` if the queue is empty."""
        selected = self._select()
        if selected is None:
            return None
        partner_queue, organisation, queue = selected
        self._level_virtual_time = max(self._level_virtual_time, partner_queue.virtual_time)
        partner_queue.level_virtual_time = max(partner_queue.level_virtual_time, queue.virtual_time)
        item = queue.items.popleft()
        self._count -= 1
        if not queue.items:
            del partner_queue.backlogged[organisation]
        return item

    def remove(self, partner: str, organisation: str, item: T) -> bool:
        """Remove an item from anywhere in its organisation's queue; return whether it was there.

        :param partner: its partner.
        :param organisation: its organisation.
        :param item: the item.
        """
        partner_queue = self._partners.get(partner)
        queue = partner_queue.backlogged.get(organisation) if partner_queue else None
        if partner_queue is None or queue is None or item not in queue.items:
            return False
        queue.items.remove(item)
        self._count -= 1
        if not queue.items:
            del partner_queue.backlogged[organisation]
        return True

    def charge(self, partner: str, organisation: str, tokens: float) -> None:
        """Charge served tokens; a negative number refunds them.

        :param partner: the partner.
        :param organisation: the organisation.
        :param tokens: the number of tokens.
        """
        partner_queue = self._partners.setdefault(partner, _PartnerQueue())
        queue = partner_queue.organisations.setdefault(organisation, _OrganisationQueue())
        partner_queue.virtual_time += tokens / partner_queue.weight
        queue.virtual_time += tokens / queue.weight

    def _select(self) -> tuple[_PartnerQueue[T], str, _OrganisationQueue[T]] | None:
        """Return the partner's queue, the organisation and its queue to serve next, if any."""
        backlogged = [
            partner_queue for partner_queue in self._partners.values() if partner_queue.backlogged
        ]
        if not backlogged:
            return None
        partner_queue = min(backlogged, key=lambda p: p.virtual_time)
        name = min(partner_queue.backlogged, key=lambda n: partner_queue.backlogged[n].virtual_time)
        return partner_queue, name, partner_queue.backlogged[name]
