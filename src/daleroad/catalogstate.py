"""Adapter that runs the catalog as a state machine of the replicated log.

It also keeps the recent changes, so that entries can be sent only those that they lack.
"""

from collections import deque
from collections.abc import Iterator
from typing import Any

from daleroad.catalog import Catalog, Command
from daleroad.codec import decode
from daleroad.events import Event, log_event
from daleroad.messages import AcceptedChange

_MAX_TAIL_CHANGES = 4096
"""Recent changes kept for entries; an entry that is further behind is sent the whole catalog."""


class CatalogMachine:
    """The catalog with the tail of recent changes that is sent to entries.

    :ivar catalog: the current state.
    """

    def __init__(self) -> None:
        self.catalog = Catalog()
        self._tail: deque[AcceptedChange] = deque(maxlen=_MAX_TAIL_CHANGES)
        self._tail_start = 0

    def apply_payload(self, index: int, payload: str) -> Any:
        """Apply a committed command and return its outcome.

        :param index: log index of the command.
        :param payload: the encoded command.
        """
        command: Command = decode(Command, payload)
        outcome = self.catalog.apply(index, command)
        if self.catalog.changed_revision == index:
            if len(self._tail) == _MAX_TAIL_CHANGES:
                self._tail_start = self._tail[0].index
            self._tail.append(AcceptedChange(index, command.change))
        result = outcome.failure.kind.value if outcome.failure else "accepted"
        if command.operation:
            log_event(Event.CHANGE_APPLIED, index=index, by=command.operator, outcome=result)
        return outcome

    def dump(self) -> str:
        """Return the serialised state."""
        return self.catalog.dump()

    def load(self, text: str) -> None:
        """Replace the state with a serialised one.

        :param text: output of :meth:`dump`.
        """
        self.catalog.load(text)
        self._tail.clear()
        self._tail_start = self.catalog.revision

    def list_changes(self, after: int) -> tuple[AcceptedChange, ...] | None:
        """Return the changes after a revision, or ``None`` if some are no longer kept.

        :param after: the revision.
        """
        if after < self._tail_start:
            return None
        return tuple(reversed(list(self._iterate_backwards(after))))

    def _iterate_backwards(self, after: int) -> Iterator[AcceptedChange]:
        for change in reversed(self._tail):
            if change.index <= after:
                return
            yield change
