"""State machine of the coordinators' replicated log.

The state is the newest routing configuration and the evacuated availability zones.
"""

from collections.abc import Callable
from dataclasses import dataclass

from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.evacuations import EvacuatedZones, Evacuations, ZoneOrder, ZoneOutcome
from daleroad.events import Event, log_event


@dataclass(frozen=True)
class Document:
    """A routing configuration document; version 0 means that there is none yet."""

    version: int
    text: str


@dataclass(frozen=True)
class _SiteState:
    """The serialised state. Earlier versions of the program wrote it without evacuations.

    :param version: version of the routing configuration.
    :param text: the routing configuration document.
    """

    version: int
    text: str
    evacuations: Evacuations = Evacuations()


class SiteStateMachine:
    """The routing configuration with the highest version, and the evacuated zones.

    :ivar on_change: called when the routing configuration has changed.
    :ivar on_zones_change: called when the evacuated zones have changed.
    """

    def __init__(self) -> None:
        self.document = Document(0, "")
        self.evacuations = Evacuations()
        self.on_change: Callable[[], None] = lambda: None
        self.on_zones_change: Callable[[], None] = lambda: None

    @property
    def zones(self) -> EvacuatedZones:
        """The evacuated zones, whose upstreams get no requests."""
        return self.evacuations.current

    def apply_payload(self, index: int, payload: str) -> Document | ZoneOutcome:
        """Apply a committed document or zone order; return the resulting document or its outcome.

        :param index: index of the log entry.
        :param payload: the serialised document or order.
        """
        order = decode(ZoneOrder, payload)
        if isinstance(order, ZoneOrder):
            return self._apply_order(index, order)
        return self._apply_document(index, payload)

    def _apply_order(self, index: int, order: ZoneOrder) -> ZoneOutcome:
        before = self.zones
        superseded = self.evacuations.is_superseded(order)
        self.evacuations = self.evacuations.apply(index, order)
        changed = self.zones != before
        log_event(
            Event.ZONE_ORDER_COMMITTED,
            index=index,
            zone=order.zone,
            evacuated=order.evacuated,
            changed=changed,
            superseded=superseded,
            at=order.at,
            by=order.by,
            id=order.id,
        )
        if changed:
            self.on_zones_change()
        return ZoneOutcome(self.zones, superseded)

    def _apply_document(self, index: int, payload: str) -> Document:
        document = decode(Document, payload)
        before = self.document.version
        if isinstance(document, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=index, reason=document.reason)
            return self.document
        if document.version > before:
            self.document = document
            self.on_change()
        log_event(Event.CONFIG_COMMITTED, index=index, version=document.version, before=before)
        return self.document

    def dump(self) -> str:
        """Return the serialised state."""
        document = self.document
        return encode(_SiteState(document.version, document.text, self.evacuations)).decode()

    def load(self, text: str) -> None:
        """Load a serialised state; parts that are not newer than the current ones are ignored.

        :param text: the output of :meth:`dump`.
        """
        state = decode(_SiteState, text)
        if isinstance(state, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=0, reason=state.reason)
            return
        if state.evacuations.current.version > self.zones.version:
            self.evacuations = state.evacuations
            self.on_zones_change()
        if state.version > self.document.version:
            self.document = Document(state.version, state.text)
            self.on_change()
