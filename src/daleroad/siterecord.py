"""What coordinators agree on, as a state driven by a replicated log.

It is the newest routing configuration and the availability zones that are evacuated.
"""

from collections.abc import Callable
from dataclasses import dataclass

from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.evacuations import EvacuatedZones, Evacuations, ZoneOrder
from daleroad.events import Event, log_event


@dataclass(frozen=True)
class Document:
    """A routing configuration as text; version 0 stands for none yet."""

    version: int
    text: str


@dataclass(frozen=True)
class _SiteState:
    """All that the log drives. A state without evacuations is one of an earlier program.

    :param version: of the routing configuration.
    :param text: of the routing configuration.
    """

    version: int
    text: str
    evacuations: Evacuations = Evacuations()


class SiteRecord:
    """Keeps the document with the highest version, and the evacuated zones.

    :ivar on_change: called when the routing configuration changed.
    :ivar on_zones: called when the evacuated zones changed.
    """

    def __init__(self) -> None:
        self.document = Document(0, "")
        self.evacuations = Evacuations()
        self.on_change: Callable[[], None] = lambda: None
        self.on_zones: Callable[[], None] = lambda: None

    @property
    def zones(self) -> EvacuatedZones:
        """The zones whose upstreams get nothing."""
        return self.evacuations.current

    def apply_payload(self, index: int, payload: str) -> Document | EvacuatedZones:
        """Apply a committed document or order; return what is in force after it.

        :param index: its index in the log.
        :param payload: the document or order.
        """
        order = decode(ZoneOrder, payload)
        if isinstance(order, ZoneOrder):
            return self._apply_order(index, order)
        return self._apply_document(index, payload)

    def _apply_order(self, index: int, order: ZoneOrder) -> EvacuatedZones:
        before = self.zones
        self.evacuations = self.evacuations.apply(index, order)
        changed = self.zones != before
        log_event(
            Event.ZONE_ORDER_COMMITTED,
            index=index,
            zone=order.zone,
            evacuated=order.evacuated,
            changed=changed,
            by=order.by,
        )
        if changed:
            self.on_zones()
        return self.zones

    def _apply_document(self, index: int, payload: str) -> Document:
        fresh = decode(Document, payload)
        before = self.document.version
        if isinstance(fresh, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=index, reason=fresh.reason)
            return self.document
        if fresh.version > before:
            self.document = fresh
            self.on_change()
        log_event(Event.CONFIG_COMMITTED, index=index, version=fresh.version, before=before)
        return self.document

    def dump(self) -> str:
        """Return the state as text."""
        document = self.document
        return encode(_SiteState(document.version, document.text, self.evacuations)).decode()

    def load(self, text: str) -> None:
        """Replace the state by a dumped one.

        :param text: what :meth:`dump` gave.
        """
        found = decode(_SiteState, text)
        if isinstance(found, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=0, reason=found.reason)
            return
        if found.evacuations.current.version > self.zones.version:
            self.evacuations = found.evacuations
            self.on_zones()
        if found.version > self.document.version:
            self.document = Document(found.version, found.text)
            self.on_change()
