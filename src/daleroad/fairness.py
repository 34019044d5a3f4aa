"""Hierarchical fair queueing: partner, then organisation, then order of arrival. Pure.

Each level keeps a virtual time that grows by the tokens served over the weight. The one with the
least goes next. Whoever was idle starts at the present virtual time, so that idle shares are lent
and not saved up.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass
class _Flow(Generic[T]):
    """One organisation's queue and its account."""

    weight: float = 1.0
    spent: float = 0.0
    queue: deque[T] = field(default_factory=deque)


@dataclass
class _Partner(Generic[T]):
    """One partner's account and its organisations."""

    weight: float = 1.0
    spent: float = 0.0
    present: float = 0.0
    flows: dict[str, _Flow[T]] = field(default_factory=dict)
    waiting: dict[str, _Flow[T]] = field(default_factory=dict)


class FairQueue(Generic[T]):
    """A queue that serves partners by share and organisations by weight."""

    def __init__(self) -> None:
        self._partners: dict[str, _Partner[T]] = {}
        self._present = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[T]:
        for partner in self._partners.values():
            for flow in partner.waiting.values():
                yield from flow.queue

    def set_share(self, partner: str, share: float) -> None:
        """Set a partner's share.

        :param partner: the partner.
        :param share: above 0; only the proportion matters.
        """
        self._partners.setdefault(partner, _Partner()).weight = max(share, 1e-3)

    def push(self, partner: str, organisation: str, weight: float, item: T) -> None:
        """Add an item at the end of its organisation's queue.

        :param partner: the partner.
        :param organisation: the organisation.
        :param weight: the organisation's weight among its partner's.
        :param item: the item.
        """
        group = self._partners.setdefault(partner, _Partner())
        if not group.waiting:
            group.spent = max(group.spent, self._present)
        flow = group.flows.setdefault(organisation, _Flow())
        flow.weight = weight
        if not flow.queue:
            flow.spent = max(flow.spent, group.present)
            group.waiting[organisation] = flow
        flow.queue.append(item)
        self._count += 1

    def peek(self) -> T | None:
        """Return the item that goes next, or nothing."""
        found = self._find()
        return found[2].queue[0] if found else None

    def pop(self) -> T | None:
        """Remove and return the item that goes next, or nothing."""
        found = self._find()
        if found is None:
            return None
        group, organisation, flow = found
        self._present = max(self._present, group.spent)
        group.present = max(group.present, flow.spent)
        item = flow.queue.popleft()
        self._count -= 1
        if not flow.queue:
            del group.waiting[organisation]
        return item

    def remove(self, partner: str, organisation: str, item: T) -> bool:
        """Remove an item wherever it waits; return whether it did.

        :param partner: its partner.
        :param organisation: its organisation.
        :param item: the item.
        """
        group = self._partners.get(partner)
        flow = group.waiting.get(organisation) if group else None
        if group is None or flow is None or item not in flow.queue:
            return False
        flow.queue.remove(item)
        self._count -= 1
        if not flow.queue:
            del group.waiting[organisation]
        return True

    def charge(self, partner: str, organisation: str, tokens: float) -> None:
        """Charge served tokens, or return some when negative.

        :param partner: the partner.
        :param organisation: the organisation.
        :param tokens: the tokens.
        """
        group = self._partners.setdefault(partner, _Partner())
        flow = group.flows.setdefault(organisation, _Flow())
        group.spent += tokens / group.weight
        flow.spent += tokens / flow.weight

    def _find(self) -> tuple[_Partner[T], str, _Flow[T]] | None:
        groups = [group for group in self._partners.values() if group.waiting]
        if not groups:
            return None
        group = min(groups, key=lambda g: g.spent)
        name = min(group.waiting, key=lambda n: group.waiting[n].spent)
        return group, name, group.waiting[name]
