"""The gateways that offer tunnels, as a coordinator lists them to each gateway.

Does no I/O.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from daleroad.notices import GatewayNotice
from daleroad.paths import Reach

MAX_NEAR_TUNNELS = 2
"""Gateways of its own availability zone that a gateway is told, as traffic between zones costs."""

MAX_FAR_TUNNELS = 2
"""Gateways of other zones that it is told besides: a whole zone may be cut off."""


@dataclass(frozen=True)
class TunnelOffers:
    """The gateways that offer tunnels at one moment.

    :param notices: those that may be used, by their addresses.
    """

    notices: tuple[GatewayNotice, ...] = ()
    _zones: dict[str, list[GatewayNotice]] = field(default_factory=dict)

    def choose(self, address: str, zone: str) -> tuple[str, ...]:
        """Return IP:PORT of the tunnels that a gateway should use, those in its zone first.

        Each gateway begins at another place of the list, so that they spread over it.

        :param address: the gateway.
        :param zone: its availability zone.
        """
        near = _list_from_place(self._zones.get(zone, ()), address)
        far = (n for n in _list_from_place(self.notices, address) if n.zone != zone)
        chosen = [*_take(near, address, MAX_NEAR_TUNNELS), *_take(far, address, MAX_FAR_TUNNELS)]
        return tuple(notice.tunnel for notice in chosen)


def make_offers(notices: Iterable[GatewayNotice]) -> TunnelOffers:
    """Return the offers among the gateways that accept clients.

    Those that reach all upstreams themselves are used before those that reach some of them.

    :param notices: the gateways.
    """
    offers = [n for n in notices if n.tunnel and n.reach is not Reach.NONE]
    whole = [notice for notice in offers if notice.reach is Reach.FULL]
    chosen = sorted(whole or offers, key=lambda notice: notice.address)
    zones: dict[str, list[GatewayNotice]] = {}
    for notice in chosen:
        zones.setdefault(notice.zone, []).append(notice)
    return TunnelOffers(tuple(chosen), zones)


def _list_from_place(notices: Sequence[GatewayNotice], address: str) -> Iterator[GatewayNotice]:
    place = xxh3_64_intdigest(address.encode()) % max(1, len(notices))
    for number in range(len(notices)):
        yield notices[(place + number) % len(notices)]


def _take(notices: Iterator[GatewayNotice], address: str, count: int) -> Iterator[GatewayNotice]:
    """Yield the first few gateways but the one that asks."""
    others = (notice for notice in notices if notice.address != address)
    yield from (notice for _, notice in zip(range(count), others, strict=False))
