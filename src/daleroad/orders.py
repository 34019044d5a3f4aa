"""Orders to engines: which to send next, and when one is settled. Pure.

The leader sends orders with a fencing number from the log. Some engines ignore the number, so a
new leader sends none until its predecessor's lease has surely run out, there is one order under
way for each engine, and the engine's state is read back until it matches. Loads take from the
rate-limited weight store, so they obey a token bucket.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from daleroad.messages import EngineState
from daleroad.records import Upstream

_AGAIN_SECONDS = 2.0


@dataclass(frozen=True)
class Wanted:
    """The model versions that an engine should have loaded.

    :param fencing: log index of the change that asked for it.
    """

    upstream: str
    models: tuple[str, ...]
    fencing: int


@dataclass
class LoadBucket:
    """Limits loads from the weight store.

    :param rate: loads a second.
    :param burst: loads at once after quiet.
    """

    rate: float
    burst: float
    left: float = 0.0
    at: float | None = None

    def take(self, count: int, now: float) -> bool:
        """Take some loads; return whether they are allowed now.

        A new bucket starts empty: a former leader may have used it up a moment ago.

        :param count: how many; more than the burst wait for a full bucket.
        :param now: the time.
        """
        if self.at is not None:
            self.left = min(self.burst, self.left + (now - self.at) * self.rate)
        self.at = now
        needed = min(float(count), self.burst)
        if self.left < needed:
            return False
        self.left -= needed
        return True


@dataclass
class OrderBook:
    """Decides which order goes to which engine now.

    :param since: when this leader began.
    :param quiet: seconds to wait for a former leader's orders to be over.
    :param bucket: limits loads.
    """

    since: float
    quiet: float
    bucket: LoadBucket
    _sent: dict[str, tuple[Wanted, float]] = field(default_factory=dict)

    def list_due(
        self, wanted: Iterable[Wanted], upstreams: dict[str, Upstream], now: float
    ) -> Iterator[Wanted]:
        """Yield the orders to send now.

        :param wanted: what each engine should have.
        :param upstreams: the engines as they report.
        :param now: the time.
        """
        if now < self.since + self.quiet:
            return
        for order in wanted:
            upstream = upstreams.get(order.upstream)
            if upstream is None or set(upstream.models) == set(order.models):
                continue
            if self._is_under_way(order, now):
                continue
            loads = len(set(order.models) - set(upstream.models))
            if self.bucket.take(loads, now):
                self._sent[order.upstream] = (order, now)
                yield order

    def settle(self, order: Wanted, state: EngineState | None) -> bool:
        """Note an engine's state read back after an order; return whether it matches.

        :param order: the order.
        :param state: the state, or nothing if the engine did not answer.
        """
        matches = state is not None and set(state.models) == set(order.models)
        if matches:
            self._sent.pop(order.upstream, None)
        return matches

    def _is_under_way(self, order: Wanted, now: float) -> bool:
        """Return whether an order to this engine is open; it is sent again after a while."""
        sent = self._sent.get(order.upstream)
        return sent is not None and now < sent[1] + _AGAIN_SECONDS
