"""The gateways through which one gateway may open tunnels, and the choice between them.

Does no I/O; the caller passes in the time.
"""

from collections import Counter
from collections.abc import Container
from dataclasses import dataclass, field

PEER_RETRY_SECONDS = 2.0
"""How long a gateway that did not answer is left alone, if there is another."""

REFUSED_RETRY_SECONDS = 1.0
"""The same for one upstream, after the gateway could not reach that."""


@dataclass
class TunnelPeers:
    """The gateways that offer tunnels, as a coordinator listed them.

    :ivar listed: IP:PORT of their tunnels, in the coordinator's order of preference.
    """

    listed: tuple[str, ...] = ()
    _open: Counter[str] = field(default_factory=Counter)
    _failed_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def replace(self, listed: tuple[str, ...]) -> tuple[str, ...]:
        """Replace the list, unless the new one is empty; return the gateways that are gone from it.

        A coordinator that just started knows no gateways yet.

        :param listed: the new list.
        """
        if not listed:
            return ()
        dropped = tuple(peer for peer in self.listed if peer not in listed)
        self.listed = listed
        return dropped

    def choose(self, address: str, tried: Container[str], now: float) -> str | None:
        """Return the gateway to open a tunnel through, or None if none is left.

        Those that failed lately go last, before them those that could not reach other upstreams;
        among the rest it is the one with the fewest tunnels of this gateway.

        :param address: the upstream.
        :param tried: gateways not to choose.
        :param now: the time.
        """
        left = [peer for peer in self.listed if peer not in tried]
        return min(
            left,
            key=lambda peer: (
                self._has_failed(peer, address, now),
                self._count_refused(peer, now),
                self._open[peer],
            ),
            default=None,
        )

    def _has_failed(self, peer: str, address: str, now: float) -> bool:
        silent_at = self._failed_at.get((peer, ""), float("-inf"))
        refused_at = self._failed_at.get((peer, address), float("-inf"))
        return now - silent_at < PEER_RETRY_SECONDS or now - refused_at < REFUSED_RETRY_SECONDS

    def _count_refused(self, peer: str, now: float) -> int:
        """Return how many upstreams a gateway could not reach lately; it may be cut off itself."""
        return sum(
            name == peer and now - at < REFUSED_RETRY_SECONDS
            for (name, _), at in self._failed_at.items()
        )

    def record_silent(self, peer: str, now: float) -> None:
        """Record that a gateway did not answer.

        :param peer: the gateway.
        :param now: the time.
        """
        self._record(peer, "", now)

    def record_refused(self, peer: str, address: str, now: float) -> None:
        """Record that a gateway could not reach an upstream, or had no room.

        :param peer: the gateway.
        :param address: the upstream.
        :param now: the time.
        """
        self._record(peer, address, now)

    def _record(self, peer: str, address: str, now: float) -> None:
        self._failed_at = {
            key: at for key, at in self._failed_at.items() if now - at < PEER_RETRY_SECONDS
        }
        self._failed_at[peer, address] = now

    def change_open(self, peer: str, count: int) -> None:
        """Count tunnels that were opened, or closed if negative.

        :param peer: the gateway.
        :param count: their number.
        """
        self._open[peer] += count
        if not self._open[peer]:
            del self._open[peer]

    def list_open(self) -> list[str]:
        """Return the gateways through which tunnels are open."""
        return list(self._open)

    def count_open(self) -> int:
        """Return how many tunnels are open."""
        return self._open.total()
