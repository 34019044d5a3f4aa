"""Availability zones whose upstreams get nothing more, by an operator's order. Pure.

The orders are entries of the coordinators' replicated log, so that their sequence is the log's and
what was acknowledged outlives each loss that the log outlives. Everybody goes by the newest state
that is known; states are compared by the log index of the order that made them.
"""

from dataclasses import dataclass, replace

HISTORY_MOST = 64
"""Orders that the record remembers for operators; a zone is evacuated a few times a month."""


@dataclass(frozen=True)
class ZoneOrder:
    """An operator's order to send nothing more to a zone's upstreams, or to take that back.

    :param evacuated: whether the zone gets nothing from now on.
    :param at: when a coordinator took the order, in seconds since 1970 by its clock.
    :param by: that coordinator.
    """

    zone: str
    evacuated: bool
    at: float = 0.0
    by: str = ""


@dataclass(frozen=True)
class EvacuatedZones:
    """The zones whose upstreams get nothing, as of one place in the log.

    :param version: log index of the newest order that changed something; 0 for none yet.
    :param at: when that order was taken, in seconds since 1970 by a coordinator's clock.
    """

    version: int = 0
    zones: tuple[str, ...] = ()
    at: float = 0.0


@dataclass(frozen=True)
class ZoneChange:
    """An order that changed something.

    :param index: its index in the log.
    """

    index: int
    order: ZoneOrder


@dataclass(frozen=True)
class Evacuations:
    """The evacuated zones, and the orders that led there.

    :param history: the newest orders that changed something, the oldest first.
    """

    current: EvacuatedZones = EvacuatedZones()
    history: tuple[ZoneChange, ...] = ()

    def apply(self, index: int, order: ZoneOrder) -> "Evacuations":
        """Return the state after a committed order; one that changes nothing leaves no trace.

        :param index: its index in the log. A member that starts anew from its disk applies entries
            again that its state has already.
        :param order: the order.
        """
        known = self.current
        if index <= known.version or (order.zone in known.zones) == order.evacuated:
            return self
        rest = tuple(zone for zone in known.zones if zone != order.zone)
        zones = tuple(sorted((*rest, order.zone))) if order.evacuated else rest
        history = (*self.history, ZoneChange(index, order))[-HISTORY_MOST:]
        return replace(self, current=EvacuatedZones(index, zones, order.at), history=history)
