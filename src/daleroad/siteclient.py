"""Reads and changes of the coordinators' replicated state, on any coordinator.

The leader executes them; other coordinators forward them to it. An election takes less time than
callers wait, so calls are retried for a while when there is no leader.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar
from uuid import uuid4

import anyio

from daleroad.callers import Caller
from daleroad.calls import Calls
from daleroad.codec import encode
from daleroad.defaults import (
    COORDINATOR_CALL_SECONDS,
    COORDINATOR_TURN_SECONDS,
    JOIN_SECONDS,
    LEADER_WAIT_SECONDS,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.evacuations import ZoneOrder, ZoneOutcome
from daleroad.notices import ReadAnswer, SaveAnswer, SaveRequest
from daleroad.raftnode import RaftNode
from daleroad.routing import RoutingConfig
from daleroad.sitestate import Document, SiteStateMachine
from daleroad.validation import validate_config

ConfigParser = Callable[[bytes], RoutingConfig | Failure]

T = TypeVar("T")


class SiteClient:
    """Reads and changes the replicated state through one coordinator.

    :param name: name of the coordinator.
    :param group: the coordinator's member of the replicated log.
    :param record: the replicated state.
    :param links: calls to the other coordinators.
    :param parse: parses a new routing configuration document.
    :param parse_stored: parses a committed document.
    :param zones: the site's availability zones; empty if they are not known.
    """

    def __init__(
        self,
        name: str,
        group: RaftNode,
        record: SiteStateMachine,
        links: Calls,
        parse: ConfigParser,
        parse_stored: ConfigParser,
        zones: tuple[str, ...] = (),
    ) -> None:
        self._name = name
        self._group = group
        self._record = record
        self._links = links
        self._parse = parse
        self._parse_stored = parse_stored
        self._zones = zones

    async def save(self, document: bytes) -> SaveAnswer | Failure:
        """Validate a routing configuration and commit it to the replicated log.

        :param document: the configuration document.
        """
        config = self.check(document)
        if isinstance(config, Failure):
            held = await self.find_held(document)
            return config if held is None else held
        version, text = config.version, document.decode()
        return await _retry_until_answered(lambda: self.save_once(version, text), Ran.UNKNOWN)

    def check(self, document: bytes) -> RoutingConfig | Failure:
        """Return the routing configuration in a new document, or why it is refused.

        :param document: the configuration document.
        """
        config = self._parse(document)
        if isinstance(config, Failure):
            return config
        return validate_config(config) or config

    async def find_held(self, document: bytes) -> SaveAnswer | Failure | None:
        """Return the answer to a document that an earlier version of the program committed.

        It may have accepted what is refused now, and what was acknowledged is never refused when it
        is sent again. None if it is not the document in force.

        :param document: the configuration document.
        """
        config = self._parse_stored(document)
        if isinstance(config, Failure):
            return None
        known = self._record.document
        if known.version < config.version:
            # This coordinator may lag behind the leader.
            answer = await self.read()
            if isinstance(answer, Failure):
                return answer
            known = Document(answer.version, answer.document)
        return SaveAnswer(known.version) if known.text.encode() == document else None

    async def save_once(self, version: int, text: str) -> SaveAnswer | Failure:
        """Commit a routing configuration, or forward it to the leader; one attempt.

        :param version: version of the configuration.
        :param text: the configuration document.
        """
        if self._group.is_leading():
            outcome = await self._group.propose(encode(Document(version, text)).decode())
            return outcome if isinstance(outcome, Failure) else SaveAnswer(outcome.version)
        return await self._call_leader("save", encode(SaveRequest(text)), SaveAnswer)

    async def read(self) -> ReadAnswer | Failure:
        """Return the leader's routing configuration, or a failure if no leader can confirm it."""
        return await _retry_until_answered(self._read_once, Ran.NO)

    async def _read_once(self) -> ReadAnswer | Failure:
        if self._group.can_serve_reads():
            document = self._record.document
            return ReadAnswer(document.version, document.text)
        return await self._call_leader("read", b"{}", ReadAnswer)

    async def set_zone_evacuated(
        self, zone: str, evacuated: bool, caller: Caller, base: int | None = None
    ) -> ZoneOutcome | Failure:
        """Commit an operator's order to evacuate a zone or to end its evacuation.

        The order is idempotent on all coordinators: if the zone already is in the ordered state,
        nothing changes. An order that names no base gets the newest version of the zones as its
        base, but only while its caller waits: the caller has sent no other order until then.

        :param zone: the availability zone.
        :param evacuated: whether the zone's upstreams are to get no requests.
        :param caller: the caller of the order.
        :param base: version of the evacuated zones that the caller based the order on, if any.
        """
        if self._zones and zone not in self._zones:
            return Failure(FailureKind.INVALID, f"unknown availability zone {zone!r}")
        known = self._record.zones
        if base is None and not caller.is_waiting(anyio.current_time()):
            return ZoneOutcome(known, superseded=True)
        order_base = known.version if base is None else base
        order = ZoneOrder(zone, evacuated, time.time(), self._name, uuid4().hex, order_base)
        with anyio.move_on_after(LEADER_WAIT_SECONDS):
            while True:
                outcome = await self.set_zone_evacuated_once(order)
                match outcome:
                    case Failure():
                        await anyio.sleep(COORDINATOR_TURN_SECONDS)
                    case ZoneOutcome(current, superseded=True) if (
                        base is None and caller.is_waiting(anyio.current_time())
                    ):
                        # What this coordinator knew lags a little behind the leader's state.
                        order = replace(order, base=current.version)
                    case _:
                        return outcome
        return _make_no_leader(Ran.UNKNOWN)

    async def set_zone_evacuated_once(self, order: ZoneOrder) -> ZoneOutcome | Failure:
        """Commit a zone order, or forward it to the leader; one attempt.

        :param order: the order.
        """
        if not self._group.is_leading():
            return await self._call_leader("order-zone", encode(order), ZoneOutcome)
        known = self._record.evacuations
        superseded = known.is_superseded(order)
        if self._group.can_serve_reads() and (superseded or not known.would_change(order)):
            # The state is committed, and the lease excludes another leader, so nothing is appended.
            return ZoneOutcome(known.current, superseded)
        outcome = await self._group.propose(encode(order).decode())
        assert isinstance(outcome, Failure | ZoneOutcome)
        return outcome

    async def _call_leader(self, call: str, body: bytes, answer_type: type[T]) -> T | Failure:
        leader = self._group.get_leader_url()
        if leader is None or self._group.replica.leader == self._name:
            return Failure(FailureKind.NO_MAJORITY, "no leader is known")
        url = f"{leader}/site/{call}"
        answer: T | Failure = await self._links.call(
            url, body, answer_type, COORDINATOR_CALL_SECONDS
        )
        return answer


async def _retry_until_answered(
    attempt: Callable[[], Awaitable[T | Failure]], ran: Ran
) -> T | Failure:
    """Retry a call until it succeeds or is invalid, or fail when LEADER_WAIT_SECONDS have passed.

    :param attempt: makes one attempt; must be idempotent.
    :param ran: whether the call may have taken effect although it failed.
    """
    with anyio.move_on_after(LEADER_WAIT_SECONDS):
        while True:
            answer = await attempt()
            if not isinstance(answer, Failure) or answer.kind is FailureKind.INVALID:
                return answer
            await anyio.sleep(COORDINATOR_TURN_SECONDS)
    return _make_no_leader(ran)


def _make_no_leader(ran: Ran) -> Failure:
    return Failure(FailureKind.NO_MAJORITY, "no leader answered in time", ran, JOIN_SECONDS)
