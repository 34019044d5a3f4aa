"""Replicated state of availability zones that operators evacuated.

Upstreams in an evacuated zone get no requests. The orders are entries in the coordinators'
replicated log, which gives their sequence and their durability. Processes use the newest state that
they know; states are compared by the log index of the order that produced them.

An order names the version of the state that it is based on, and changes nothing once there is a
newer one. An order that outlives its caller, wherever it waits, can't undo those that followed it.

Does no I/O.
"""

from dataclasses import dataclass, replace

MAX_HISTORY = 64
"""Number of orders kept for operators to list; a zone is evacuated a few times a month."""


@dataclass(frozen=True)
class ZoneOrder:
    """An operator's order to stop sending requests to a zone's upstreams, or to resume.

    :param evacuated: True to evacuate the zone, False to end its evacuation.
    :param at: when a coordinator received the order, in seconds since the epoch by its clock.
    :param by: name of that coordinator.
    :param id: identifies the order when it is sent again.
    :param base: version of the evacuated zones that it is based on; None in orders of earlier
        versions of the program, which apply to any.
    """

    zone: str
    evacuated: bool
    at: float = 0.0
    by: str = ""
    id: str = ""
    base: int | None = None


@dataclass(frozen=True)
class EvacuatedZones:
    """The zones that are evacuated as of a log index.

    :param version: log index of the newest order that changed the zones; 0 if none has.
    :param at: when a coordinator received that order, in seconds since the epoch by its clock.
    """

    version: int = 0
    zones: tuple[str, ...] = ()
    at: float = 0.0


@dataclass(frozen=True)
class ZoneOutcome:
    """The result of an order.

    :param current: the evacuated zones afterwards.
    :param superseded: whether the order was dropped because the zones have changed since its base.
    """

    current: EvacuatedZones
    superseded: bool = False


@dataclass(frozen=True)
class ZoneChange:
    """An order that changed the evacuated zones.

    :param index: its index in the log.
    """

    index: int
    order: ZoneOrder


@dataclass(frozen=True)
class Evacuations:
    """The evacuated zones, with a history of orders.

    :param history: the newest orders that changed the zones, oldest first; at most MAX_HISTORY.
    """

    current: EvacuatedZones = EvacuatedZones()
    history: tuple[ZoneChange, ...] = ()

    def would_change(self, order: ZoneOrder) -> bool:
        """Return whether an order would change a zone and was not carried out before.

        :param order: the order.
        """
        if (order.zone in self.current.zones) == order.evacuated:
            return False
        return not order.id or all(change.order.id != order.id for change in self.history)

    def is_superseded(self, order: ZoneOrder) -> bool:
        """Return whether an order must be dropped because the zones have changed since its base.

        :param order: the order.
        """
        outdated = order.base is not None and order.base < self.current.version
        return outdated and self.would_change(order)

    def apply(self, index: int, order: ZoneOrder) -> "Evacuations":
        """Return the state after a committed order.

        An order that changes nothing or is superseded is not recorded.

        :param index: its index in the log. Indexes up to the current version are ignored, since a
            member that restarts from its disk applies entries again.
        :param order: the order.
        """
        known = self.current
        if index <= known.version or not self.would_change(order) or self.is_superseded(order):
            return self
        other_zones = tuple(zone for zone in known.zones if zone != order.zone)
        zones = tuple(sorted((*other_zones, order.zone))) if order.evacuated else other_zones
        history = (*self.history, ZoneChange(index, order))[-MAX_HISTORY:]
        return replace(self, current=EvacuatedZones(index, zones, order.at), history=history)
