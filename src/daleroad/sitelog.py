"""Changes and reads of what coordinators agree on, wherever they arrive.

They are carried out by the leader, or handed to it. A caller waits for a second or so, and leaders
are elected in less; so who finds none looks again for a while.
"""

import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from daleroad.calls import Calls
from daleroad.codec import encode
from daleroad.defaults import (
    COORDINATOR_CALL_SECONDS,
    COORDINATOR_TURN_SECONDS,
    JOIN_SECONDS,
    LEADER_WAIT_SECONDS,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.evacuations import EvacuatedZones, ZoneOrder
from daleroad.group import Group
from daleroad.notices import ReadAnswer, SaveAnswer, SaveRequest
from daleroad.routing import RoutingConfig, find_fault
from daleroad.siterecord import Document, SiteRecord

Parse = Callable[[bytes], RoutingConfig | Failure]

T = TypeVar("T")


class SiteLog:
    """One coordinator's way to the log.

    :param name: the coordinator.
    :param group: its member of the log.
    :param record: what the log drives.
    :param links: connections to the others.
    :param parse: reads a routing configuration from its document.
    :param zones: the site's availability zones; nothing where they are not known.
    """

    def __init__(
        self,
        name: str,
        group: Group,
        record: SiteRecord,
        links: Calls,
        parse: Parse,
        zones: tuple[str, ...] = (),
    ) -> None:
        self._name = name
        self._group = group
        self._record = record
        self._links = links
        self._parse = parse
        self._zones = zones

    async def save(self, document: bytes) -> SaveAnswer | Failure:
        """Bring a routing configuration into force on a majority of disks.

        :param document: its text.
        """
        config = self._parse(document)
        if isinstance(config, Failure):
            return config
        fault = find_fault(config)
        if fault is not None:
            return fault
        version, text = config.version, document.decode()
        return await _look_for_leader(lambda: self.save_once(version, text), Ran.UNKNOWN)

    async def save_once(self, version: int, text: str) -> SaveAnswer | Failure:
        """Save a routing configuration if this coordinator leads, else let the leader do it.

        :param version: its version.
        :param text: its text.
        """
        if self._group.is_leading():
            outcome = await self._group.propose(encode(Document(version, text)).decode())
            return outcome if isinstance(outcome, Failure) else SaveAnswer(outcome.version)
        return await self._ask_leader("save", encode(SaveRequest(text)), SaveAnswer)

    async def read(self) -> ReadAnswer | Failure:
        """Return the newest routing configuration, or a failure where that is not sure."""
        return await _look_for_leader(self._read_once, Ran.NO)

    async def _read_once(self) -> ReadAnswer | Failure:
        if self._group.has_served_term():
            document = self._record.document
            return ReadAnswer(document.version, document.text)
        return await self._ask_leader("read", b"{}", ReadAnswer)

    async def order_zone(self, zone: str, evacuated: bool) -> EvacuatedZones | Failure:
        """Bring an operator's order about a zone into force on a majority of disks.

        An order that is sent again, to any coordinator, gets the same answer and changes nothing;
        so does one that takes back what is not evacuated.

        :param zone: the availability zone.
        :param evacuated: whether its upstreams get nothing from now on.
        """
        if self._zones and zone not in self._zones:
            return Failure(FailureKind.INVALID, f"no availability zone {zone!r} here")
        order = ZoneOrder(zone, evacuated, time.time(), self._name)
        return await _look_for_leader(lambda: self.order_once(order), Ran.UNKNOWN)

    async def order_once(self, order: ZoneOrder) -> EvacuatedZones | Failure:
        """Carry out an order here if this coordinator leads, else let the leader do it.

        :param order: the order.
        """
        if not self._group.is_leading():
            return await self._ask_leader("order-zone", encode(order), EvacuatedZones)
        known = self._record.zones
        if self._group.has_served_term() and (order.zone in known.zones) == order.evacuated:
            # A majority has it on disk already, and nobody else can lead meanwhile.
            return known
        outcome = await self._group.propose(encode(order).decode())
        assert isinstance(outcome, Failure | EvacuatedZones)
        return outcome

    async def _ask_leader(self, call: str, body: bytes, shape: type[T]) -> T | Failure:
        leader = self._group.get_leader_url()
        if leader is None or self._group.replica.leader == self._name:
            return Failure(FailureKind.NO_MAJORITY, "no leader is known")
        url = f"{leader}/site/{call}"
        found: T | Failure = await self._links.call(url, body, shape, COORDINATOR_CALL_SECONDS)
        return found


async def _look_for_leader(ask: Callable[[], Awaitable[T | Failure]], ran: Ran) -> T | Failure:
    """Return an answer, or a failure where there is no leader in time.

    :param ask: asks once; a change that is asked for twice is made once.
    :param ran: whether what found no leader may have happened all the same.
    """
    with anyio.move_on_after(LEADER_WAIT_SECONDS):
        while True:
            answer = await ask()
            if not isinstance(answer, Failure) or answer.kind is FailureKind.INVALID:
                return answer
            await anyio.sleep(COORDINATOR_TURN_SECONDS)
    return Failure(FailureKind.NO_MAJORITY, "no leader in time", ran, JOIN_SECONDS)
