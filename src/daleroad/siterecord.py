"""The newest routing configuration as a state driven by a replicated log."""

from collections.abc import Callable
from dataclasses import dataclass

from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.events import Event, log_event


@dataclass(frozen=True)
class Document:
    """A routing configuration as text; version 0 stands for none yet."""

    version: int
    text: str


class SiteRecord:
    """Keeps the document with the highest version; an equal or lower one changes nothing."""

    def __init__(self) -> None:
        self.document = Document(0, "")
        self.on_change: Callable[[], None] = lambda: None

    def apply_payload(self, index: int, payload: str) -> Document:
        """Apply a committed document and return the newest one.

        :param index: its index in the log.
        :param payload: the document.
        """
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
        return encode(self.document).decode()

    def load(self, text: str) -> None:
        """Replace the state by a dumped one.

        :param text: what :meth:`dump` gave.
        """
        found = decode(Document, text)
        if isinstance(found, Failure):
            log_event(Event.DOCUMENT_UNREADABLE, index=0, reason=found.reason)
            return
        if found.version > self.document.version:
            self.document = found
            self.on_change()
