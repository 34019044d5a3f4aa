"""Delivery of the leader's model orders to engines over HTTP, with their state read back."""

from collections.abc import Iterator

import httpx
from anyio.abc import TaskGroup

from daleroad.catalog import Catalog
from daleroad.codec import decode, encode
from daleroad.defaults import CALL_TIMEOUT_SECONDS
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.links import SHORT_ANSWER_BYTES, Links, fetch
from daleroad.messages import EngineOrder, EngineState
from daleroad.orders import DesiredModels, LoadBucket, OrderScheduler
from daleroad.records import ModelVersion, Order, Upstream
from daleroad.settings import Settings


class OrderSender:
    """Sends the model orders of one leader during its term.

    :param settings: limits and leases.
    :param links: HTTP clients.
    :param catalog: holds the orders and the registered engines.
    :param now: when the leader's term began.
    """

    def __init__(self, settings: Settings, links: Links, catalog: Catalog, now: float) -> None:
        bucket = LoadBucket(settings.load_rate, settings.load_burst)
        self._scheduler = OrderScheduler(now, settings.entry_lease, bucket)
        self._links = links
        self._catalog = catalog

    def send_due(self, tasks: TaskGroup, now: float) -> None:
        """Start sending the orders that are due.

        :param tasks: task group for the requests.
        :param now: the time.
        """
        upstreams = self._catalog.upstreams
        for desired in self._scheduler.list_due(self._list_desired(), upstreams, now):
            tasks.start_soon(self._send, desired, upstreams[desired.upstream])

    def _list_desired(self) -> Iterator[DesiredModels]:
        for versioned in self._catalog.list_records("Order"):
            order = versioned.record
            if isinstance(order, Order) and self._matches_service(order):
                yield DesiredModels(order.name, order.models, versioned.version)

    def _matches_service(self, order: Order) -> bool:
        """Return whether the engine is registered and all ordered models are of its service."""
        upstream = self._catalog.upstreams.get(order.name)
        found = [self._catalog.get("ModelVersion", name) for name in order.models]
        return upstream is not None and all(
            isinstance(model, ModelVersion) and model.service == upstream.service for model in found
        )

    async def _send(self, desired: DesiredModels, upstream: Upstream) -> None:
        log_event(Event.ORDER_SENT, upstream=desired.upstream, fencing=desired.fencing)
        body = encode(EngineOrder(desired.fencing, desired.models))
        state: EngineState | None = None
        try:
            await self._fetch("POST", f"{upstream.address}/v1/orders", body)
            found = decode(EngineState, await self._fetch("GET", f"{upstream.address}/v1/state"))
            state = None if isinstance(found, Failure) else found
        except (httpx.HTTPError, TimeoutError) as error:
            log_event(Event.ORDER_FAILED, upstream=desired.upstream, error=repr(error))
        if self._scheduler.confirm(desired, state):
            log_event(Event.ORDER_SETTLED, upstream=desired.upstream, fencing=desired.fencing)

    async def _fetch(self, method: str, url: str, body: bytes = b"") -> bytes:
        client, seconds = self._links.urgent, CALL_TIMEOUT_SECONDS
        answer = await fetch(client, method, url, SHORT_ANSWER_BYTES, seconds, content=body)
        return answer.body
