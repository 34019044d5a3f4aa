"""Scheduling of model orders to engines: which to send next, and when one is fulfilled.

The leader sends orders with a fencing number from the log. Some engines ignore the number, so a
new leader sends none until its predecessor's lease must have expired, each engine has at most one
order in progress, and its state is read back until it matches. Model loads read from the
rate-limited weight store and are limited by a token bucket.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from daleroad.messages import EngineState
from daleroad.records import Upstream

_RETRY_SECONDS = 2.0
"""Time after which an order that was not confirmed is sent again."""


@dataclass(frozen=True)
class DesiredModels:
    """The model versions that an engine should have loaded.

    :param upstream: name of the engine.
    :param models: names of the model versions.
    :param fencing: fencing number: log index of the last change of the order.
    """

    upstream: str
    models: tuple[str, ...]
    fencing: int


@dataclass
class LoadBucket:
    """Token bucket that limits model loads from the weight store.

    :param rate: loads per second.
    :param burst: capacity of the bucket.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float | None = None

    def take(self, count: int, now: float) -> bool:
        """Consume tokens for some loads if there are enough; return whether there were.

        A new bucket starts empty, since the previous leader may have just used the burst.

        :param count: number of loads; more than the burst need a full bucket.
        :param now: the time.
        """
        if self.updated_at is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        needed = min(float(count), self.burst)
        if self.tokens < needed:
            return False
        self.tokens -= needed
        return True


@dataclass
class OrderScheduler:
    """Decides which orders are sent to engines now.

    :param since: when this leader's term began.
    :param quiet_seconds: how long it sends none, until the previous leader's lease has expired.
    :param bucket: limits model loads.
    """

    since: float
    quiet_seconds: float
    bucket: LoadBucket
    _sent: dict[str, tuple[DesiredModels, float]] = field(default_factory=dict)

    def list_due(
        self, desired: Iterable[DesiredModels], upstreams: dict[str, Upstream], now: float
    ) -> Iterator[DesiredModels]:
        """Yield the orders to send now.

        :param desired: the orders.
        :param upstreams: registered engines by name.
        :param now: the time.
        """
        if now < self.since + self.quiet_seconds:
            return
        for order in desired:
            upstream = upstreams.get(order.upstream)
            if upstream is None or set(upstream.models) == set(order.models):
                continue
            if self._is_in_progress(order, now):
                continue
            loads = len(set(order.models) - set(upstream.models))
            if self.bucket.take(loads, now):
                self._sent[order.upstream] = (order, now)
                yield order

    def confirm(self, order: DesiredModels, state: EngineState | None) -> bool:
        """Return whether an engine's state fulfils an order; if it does, the order is closed.

        :param order: the order that was sent.
        :param state: the state read back, or ``None`` if the engine did not answer.
        """
        matches = state is not None and set(state.models) == set(order.models)
        if matches:
            self._sent.pop(order.upstream, None)
        return matches

    def _is_in_progress(self, order: DesiredModels, now: float) -> bool:
        """Return whether an order to this engine is unconfirmed and not yet due for a retry."""
        sent = self._sent.get(order.upstream)
        return sent is not None and now < sent[1] + _RETRY_SECONDS
