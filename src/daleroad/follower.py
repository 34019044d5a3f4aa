"""An entry follows the control group: its configuration, and the lease to serve by it."""

from collections.abc import Callable

import anyio

from daleroad.calls import Calls
from daleroad.catalog import Catalog, DropEntry
from daleroad.codec import encode
from daleroad.defaults import GATHER_SECONDS
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.leader import LeaderClient
from daleroad.messages import FollowAnswer, FollowRequest, MembershipAnswer, MembershipRequest
from daleroad.records import EntryMember, State
from daleroad.settings import Settings

_ANSWER_SECONDS = 0.7
_LEAVE_SECONDS = 3.0


class Follower:
    """Keeps a catalog up to date and knows whether its lease holds.

    :param settings: the entry's settings.
    :param links: connections.
    :param catalog: the catalog to keep.
    """

    def __init__(self, settings: Settings, links: Calls, catalog: Catalog) -> None:
        self.catalog = catalog
        self.state = State.SERVING
        self.on_change: Callable[[], None] = lambda: None
        self._settings = settings
        self._leader = LeaderClient(settings, links)
        self._lease_until = float("-inf")
        self._had_lease = False

    def has_lease(self) -> bool:
        """Return whether this entry may serve by its configuration now."""
        return anyio.current_time() < self._lease_until

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._follow_once()
            self._note_lease()

    async def leave(self) -> None:
        """Tell the leader that this entry is gone."""
        body = encode(MembershipRequest(DropEntry(self._settings.name)))
        await self._leader.call("/membership", body, MembershipAnswer, 1.0, _LEAVE_SECONDS)

    def make_member(self) -> EntryMember:
        """Return this entry as the membership should show it."""
        settings = self._settings
        return EntryMember(settings.name, settings.url, settings.zone, settings.region, self.state)

    async def _follow_once(self) -> None:
        revision = self.catalog.revision
        body = encode(FollowRequest(self.make_member(), revision))
        sent_at = anyio.current_time()
        gather = len(self.catalog.entries) * GATHER_SECONDS
        wait = self._settings.follow + gather + _ANSWER_SECONDS
        # One attempt a turn: the lease counts from the attempt that was answered.
        answer = await self._leader.call("/follow", body, FollowAnswer, wait, 0.0)
        if isinstance(answer, Failure):
            await anyio.sleep(0.05)
            return
        self._apply(answer)
        self._lease_until = max(self._lease_until, sent_at + answer.held + answer.lease)

    def _apply(self, answer: FollowAnswer) -> None:
        # An answer that is older than what is applied must not take anything back.
        if answer.revision < self.catalog.revision:
            return
        before = self.catalog.revision
        if answer.state:
            self.catalog.load(answer.state)
        for effective in answer.changes:
            self.catalog.follow(effective.index, effective.change)
        self.catalog.revision = answer.revision
        if self.catalog.revision != before:
            self.on_change()

    def _note_lease(self) -> None:
        has = self.has_lease()
        if has != self._had_lease:
            event = Event.LEASE_GAINED if has else Event.LEASE_LOST
            log_event(event, entry=self._settings.name, revision=self.catalog.revision)
        self._had_lease = has
