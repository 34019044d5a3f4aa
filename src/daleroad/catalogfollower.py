"""Keeps an entry's catalog and serving lease up to date by long polling the control group."""

from collections.abc import Callable

import anyio

from daleroad.calls import Calls
from daleroad.catalog import Catalog, DropEntry
from daleroad.codec import encode
from daleroad.defaults import GATHER_SECONDS
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.leaderclient import LeaderClient
from daleroad.messages import FollowAnswer, FollowRequest, MembershipAnswer, MembershipRequest
from daleroad.records import EntryMember, State
from daleroad.settings import Settings

_ANSWER_MARGIN_SECONDS = 0.7
_LEAVE_TIMEOUT_SECONDS = 3.0


class CatalogFollower:
    """Replicates the control group's catalog to an entry and renews the entry's lease.

    :param settings: the entry's settings.
    :param links: calls to other processes.
    :param catalog: the catalog to update.
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
        """Return whether this entry holds a lease, and so may serve requests."""
        return anyio.current_time() < self._lease_until

    async def run(self) -> None:
        """Poll the leader until cancelled."""
        while True:
            await self._poll()
            self._log_lease_change()

    async def leave(self) -> None:
        """Remove this entry from the membership."""
        body = encode(MembershipRequest(DropEntry(self._settings.name)))
        await self._leader.call("/membership", body, MembershipAnswer, 1.0, _LEAVE_TIMEOUT_SECONDS)

    def make_member(self) -> EntryMember:
        """Return this entry's membership record."""
        settings = self._settings
        return EntryMember(settings.name, settings.url, settings.zone, settings.region, self.state)

    async def _poll(self) -> None:
        revision = self.catalog.revision
        body = encode(FollowRequest(self.make_member(), revision))
        sent_at = anyio.current_time()
        gather_seconds = len(self.catalog.entries) * GATHER_SECONDS
        timeout = self._settings.follow + gather_seconds + _ANSWER_MARGIN_SECONDS
        # A limit of 0 makes a single attempt, since the lease is computed from its start.
        answer = await self._leader.call("/follow", body, FollowAnswer, timeout, 0.0)
        if isinstance(answer, Failure):
            await anyio.sleep(0.05)
            return
        self._apply(answer)
        self._lease_until = max(self._lease_until, sent_at + answer.held + answer.lease)

    def _apply(self, answer: FollowAnswer) -> None:
        # An answer older than the applied revision must not revert the catalog.
        if answer.revision < self.catalog.revision:
            return
        before = self.catalog.revision
        if answer.state:
            self.catalog.load(answer.state)
        for effective in answer.changes:
            self.catalog.apply_accepted(effective.index, effective.change)
        self.catalog.revision = answer.revision
        if self.catalog.revision != before:
            self.on_change()

    def _log_lease_change(self) -> None:
        has = self.has_lease()
        if has != self._had_lease:
            event = Event.LEASE_GAINED if has else Event.LEASE_LOST
            log_event(event, entry=self._settings.name, revision=self.catalog.revision)
        self._had_lease = has
