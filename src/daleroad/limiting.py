"""Limits of organisations, kept across entries by the entry that counts for each."""

import anyio

from daleroad.codec import encode
from daleroad.directory import get_weight
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind
from daleroad.messages import SlotEnd, SlotHold, SlotRequest
from daleroad.quota import Quota
from daleroad.records import EntryMember, Organisation, State

_HOLD_INTERVAL_SECONDS = 1.0


class Limits:
    """Takes, asserts and gives back slots of limited organisations.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self.quota = Quota()
        self._held: dict[str, set[str]] = {}
        self._epoch = 0

    async def run(self) -> None:
        """Assert held slots until cancelled."""
        while True:
            await anyio.sleep(_HOLD_INTERVAL_SECONDS)
            for organisation, requests in list(self._held.items()):
                if requests:
                    await self._hold(organisation, tuple(requests))

    def refresh(self) -> None:
        """Note a change of the entries."""
        if self._env.catalog.epoch != self._epoch:
            self._epoch = self._env.catalog.epoch
            self.quota.note_change(anyio.current_time())

    async def take(self, organisation: Organisation, request: str) -> Failure | None:
        """Take a slot for a request, or return why not.

        :param organisation: the organisation.
        :param request: names the slot.
        """
        if not organisation.most_running:
            return None
        counter = self._find_counter(organisation.name)
        if counter is None:
            return Failure(FailureKind.LIMIT, "no entry counts", retry_after=1.0)
        asked = SlotRequest(organisation.name, request, organisation.most_running)
        refused: Failure | None
        if counter.name == self._env.settings.name:
            refused = self.quota.take(
                asked.organisation, asked.request, asked.most, anyio.current_time()
            )
        else:
            url = f"{counter.address}/limits/take"
            refused = await self._env.links.call(url, encode(asked), type(None))
        if refused is not None and refused.kind is not FailureKind.LIMIT:
            reason = f"the limit can't be checked now: {refused.reason}"
            refused = Failure(FailureKind.LIMIT, reason, retry_after=1.0)
        if refused is None:
            self._held.setdefault(organisation.name, set()).add(request)
        return refused

    async def release(self, organisation: Organisation, request: str) -> None:
        """Give a slot back.

        :param organisation: the organisation.
        :param request: the slot.
        """
        held = self._held.get(organisation.name, set())
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
        entries = (e for e in self._env.catalog.entries.values() if e.state is State.SERVING)
        return max(entries, key=lambda e: get_weight(e.name, "quota", organisation), default=None)

    async def _hold(self, organisation: str, requests: tuple[str, ...]) -> None:
        counter = self._find_counter(organisation)
        if counter is None or counter.name == self._env.settings.name:
            self.quota.hold(organisation, requests, anyio.current_time())
            return
        hold = SlotHold(organisation, requests)
        await self._env.links.call(f"{counter.address}/limits/hold", encode(hold), type(None))
