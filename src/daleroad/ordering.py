"""Sends the leader's orders to engines and reads their state back."""

from collections.abc import Iterator

import httpx
from anyio.abc import TaskGroup

from daleroad.catalog import Catalog
from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.links import Links
from daleroad.messages import EngineOrder, EngineState
from daleroad.orders import LoadBucket, OrderBook, Wanted
from daleroad.records import ModelVersion, Order, Upstream
from daleroad.settings import Settings


class Ordering:
    """The orders of one leader, from its election to its end.

    :param settings: limits and leases.
    :param links: connections.
    :param catalog: holds the orders and the engines as they report.
    :param now: when this leader began.
    """

    def __init__(self, settings: Settings, links: Links, catalog: Catalog, now: float) -> None:
        bucket = LoadBucket(settings.load_rate, settings.load_burst)
        self._book = OrderBook(now, settings.entry_lease, bucket)
        self._links = links
        self._catalog = catalog

    def send_due(self, tasks: TaskGroup, now: float) -> None:
        """Start to send the orders that are due.

        :param tasks: runs the sending.
        :param now: the time.
        """
        upstreams = self._catalog.upstreams
        for wanted in self._book.list_due(self._list_wanted(), upstreams, now):
            tasks.start_soon(self._send, wanted, upstreams[wanted.upstream])

    def _list_wanted(self) -> Iterator[Wanted]:
        for versioned in self._catalog.list_records("Order"):
            order = versioned.record
            if isinstance(order, Order) and self._is_own(order):
                yield Wanted(order.name, order.models, versioned.version)

    def _is_own(self, order: Order) -> bool:
        """Return whether all ordered model versions are of the engine's own service."""
        upstream = self._catalog.upstreams.get(order.name)
        found = [self._catalog.get("ModelVersion", name) for name in order.models]
        return upstream is not None and all(
            isinstance(model, ModelVersion) and model.service == upstream.service for model in found
        )

    async def _send(self, wanted: Wanted, upstream: Upstream) -> None:
        log_event(Event.ORDER_SENT, upstream=wanted.upstream, fencing=wanted.fencing)
        body = encode(EngineOrder(wanted.fencing, wanted.models))
        state: EngineState | None = None
        try:
            await self._links.short.post(f"{upstream.address}/v1/orders", content=body)
            answer = await self._links.short.get(f"{upstream.address}/v1/state")
            found = decode(EngineState, answer.content)
            state = None if isinstance(found, Failure) else found
        except httpx.HTTPError as error:
            log_event(Event.ORDER_FAILED, upstream=wanted.upstream, error=repr(error))
        if self._book.settle(wanted, state):
            log_event(Event.ORDER_SETTLED, upstream=wanted.upstream, fencing=wanted.fencing)
