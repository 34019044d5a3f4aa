"""How many requests an organisation has running, over all entries. Pure.

One entry counts for each organisation, picked as a steward is. Slots are held by lease: each
entry asserts its slots again and again, so that a lost entry's slots come free, and an entry that
takes the counting over learns them before it gives new ones.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from daleroad.errors import Failure, FailureKind

HOLD_SECONDS = 4.0
"""A slot that is not asserted for so long comes free."""

QUIET_SECONDS = 2.0
"""A new counter waits for so long to learn the slots that are held."""


@dataclass
class Quota:
    """The slots of the organisations that one entry counts for.

    :param since: when the membership last changed.
    """

    since: float = float("-inf")
    _slots: dict[str, dict[str, float]] = field(default_factory=dict)

    def note_change(self, now: float) -> None:
        """Note a change of the membership: other organisations may be counted here now.

        :param now: the time.
        """
        self.since = now

    def take(self, organisation: str, request: str, most: int, now: float) -> Failure | None:
        """Take a slot, or return why not.

        :param organisation: the organisation.
        :param request: names the slot; taking it again renews it.
        :param most: the organisation's limit.
        :param now: the time.
        """
        if organisation not in self._slots and now < self.since + QUIET_SECONDS:
            reason = "the organisation's running requests are being counted anew"
            return Failure(FailureKind.LIMIT, reason, retry_after=QUIET_SECONDS)
        slots = self._slots.setdefault(organisation, {})
        self._expire(slots, now)
        if request not in slots and len(slots) >= most:
            reason = f"the organisation has {most} requests running"
            return Failure(FailureKind.LIMIT, reason, retry_after=1.0)
        slots[request] = now
        return None

    def hold(self, organisation: str, requests: Iterable[str], now: float) -> None:
        """Assert slots, also ones this entry did not give.

        :param organisation: the organisation.
        :param requests: the slots.
        :param now: the time.
        """
        slots = self._slots.setdefault(organisation, {})
        for request in requests:
            slots[request] = now

    def release(self, organisation: str, request: str) -> None:
        """Give a slot back.

        :param organisation: the organisation.
        :param request: the slot.
        """
        self._slots.get(organisation, {}).pop(request, None)

    def _expire(self, slots: dict[str, float], now: float) -> None:
        for request in [r for r, at in slots.items() if at + HOLD_SECONDS <= now]:
            del slots[request]
