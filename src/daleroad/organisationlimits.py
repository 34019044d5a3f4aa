"""Enforces the limits on running requests of organisations, across all entries.

For each organisation one entry counts; the others send it requests for slots (``quota``).
"""

import anyio

from daleroad.codec import encode
from daleroad.directory import get_weight
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind
from daleroad.messages import SlotEnd, SlotHold, SlotRequest
from daleroad.quota import Quota
from daleroad.records import EntryMember, Organisation, State

_RENEW_INTERVAL_SECONDS = 1.0


class OrganisationLimits:
    """Acquires, renews and releases slots of organisations that have a limit.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self.quota = Quota()
        self._held_slots: dict[str, set[str]] = {}
        self._epoch = 0

    async def run(self) -> None:
        """Renew held slots until cancelled."""
        while True:
            await anyio.sleep(_RENEW_INTERVAL_SECONDS)
            for organisation, requests in list(self._held_slots.items()):
                if requests:
                    await self._renew(organisation, tuple(requests))

    def note_catalog_change(self) -> None:
        """Take in a change of the catalog, by which other entries may count."""
        if self._env.catalog.epoch != self._epoch:
            self._epoch = self._env.catalog.epoch
            self.quota.note_membership_change(anyio.current_time())

    async def acquire(self, organisation: Organisation, request: str) -> Failure | None:
        """Acquire a slot for a request, or return why there is none.

        :param organisation: the organisation.
        :param request: identifies the slot.
        """
        if not organisation.most_running:
            return None
        counter = self._find_counter(organisation.name)
        if counter is None:
            return Failure(
                FailureKind.LIMIT, "no serving entry can count the requests", retry_after=1.0
            )
        slot_request = SlotRequest(organisation.name, request, organisation.most_running)
        failure: Failure | None
        if counter.name == self._env.settings.name:
            failure = self.quota.acquire(
                slot_request.organisation,
                slot_request.request,
                slot_request.most,
                anyio.current_time(),
            )
        else:
            url = f"{counter.address}/limits/take"
            failure = await self._env.links.call(url, encode(slot_request), type(None))
        if failure is not None and failure.kind is not FailureKind.LIMIT:
            reason = f"the limit can't be checked now: {failure.reason}"
            failure = Failure(FailureKind.LIMIT, reason, retry_after=1.0)
        if failure is None:
            self._held_slots.setdefault(organisation.name, set()).add(request)
        return failure

    async def release(self, organisation: Organisation, request: str) -> None:
        """Release the slot of a request, if it holds one.

        :param organisation: the organisation.
        :param request: identifies the slot.
        """
        held = self._held_slots.get(organisation.name, set())
        if request not in held:
            return
        held.discard(request)
        counter = self._find_counter(organisation.name)
        if counter is None or counter.name == self._env.settings.name:
            self.quota.release(organisation.name, request)
            return
        end = SlotEnd(organisation.name, request)
        await self._env.links.call(f"{counter.address}/limits/end", encode(end), type(None))

    def _find_counter(self, organisation: str) -> EntryMember | None:
        """Return the entry that counts for an organisation, by rendezvous hashing."""
        entries = (e for e in self._env.catalog.entries.values() if e.state is State.SERVING)
        return max(entries, key=lambda e: get_weight(e.name, "quota", organisation), default=None)

    async def _renew(self, organisation: str, requests: tuple[str, ...]) -> None:
        counter = self._find_counter(organisation)
        if counter is None or counter.name == self._env.settings.name:
            self.quota.renew(organisation, requests, anyio.current_time())
            return
        hold = SlotHold(organisation, requests)
        await self._env.links.call(f"{counter.address}/limits/hold", encode(hold), type(None))
