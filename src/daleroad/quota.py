"""Counts the running requests of organisations, over all entries, by slots with leases.

One entry counts for each organisation. All entries renew the slots that they hold, so that slots
of a failed entry expire, and an entry that begins to count for an organisation learns which slots
are held before it gives out new ones.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from daleroad.errors import Failure, FailureKind

SLOT_LEASE_SECONDS = 4.0
"""A slot that is not renewed for so long expires."""

RECOVERY_SECONDS = 2.0
"""How long an entry that begins to count waits for renewals before it gives out slots."""


@dataclass
class Quota:
    """The slots of the organisations that one entry counts for.

    :param membership_changed_at: when the set of entries last changed.
    """

    membership_changed_at: float = float("-inf")
    _slots: dict[str, dict[str, float]] = field(default_factory=dict)

    def note_membership_change(self, now: float) -> None:
        """Note a change of the entries, after which this one may count for other organisations.

        :param now: the time.
        """
        self.membership_changed_at = now

    def acquire(
        self, organisation: str, request: str, max_running: int, now: float
    ) -> Failure | None:
        """Acquire or renew a slot, or return why there is none.

        :param organisation: the organisation.
        :param request: identifies the slot.
        :param max_running: the organisation's limit.
        :param now: the time.
        """
        if organisation not in self._slots and now < self.membership_changed_at + RECOVERY_SECONDS:
            reason = "the organisation's running requests are being counted anew"
            return Failure(FailureKind.LIMIT, reason, retry_after=RECOVERY_SECONDS)
        slots = self._slots.setdefault(organisation, {})
        self._drop_expired(slots, now)
        if request not in slots and len(slots) >= max_running:
            reason = f"the organisation has {max_running} requests running"
            return Failure(FailureKind.LIMIT, reason, retry_after=1.0)
        slots[request] = now
        return None

    def renew(self, organisation: str, requests: Iterable[str], now: float) -> None:
        """Renew slots, also those that another entry gave out.

        :param organisation: the organisation.
        :param requests: identify the slots.
        :param now: the time.
        """
        slots = self._slots.setdefault(organisation, {})
        for request in requests:
            slots[request] = now

    def release(self, organisation: str, request: str) -> None:
        """Release a slot.

        :param organisation: the organisation.
        :param request: identifies the slot.
        """
        self._slots.get(organisation, {}).pop(request, None)

    def _drop_expired(self, slots: dict[str, float], now: float) -> None:
        for request in [r for r, at in slots.items() if at + SLOT_LEASE_SECONDS <= now]:
            del slots[request]
