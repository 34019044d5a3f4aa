"""The catalog as a state driven by a replicated log."""

from collections import deque
from collections.abc import Iterator
from typing import Any

from daleroad.catalog import Catalog, Command
from daleroad.codec import decode
from daleroad.events import Event, log_event
from daleroad.messages import Effective

_TAIL_MOST = 4096
"""Changes kept for entries that follow; one that is further behind is sent the whole catalog."""


class CatalogMachine:
    """The catalog as a state driven by a log, with the tail of changes that entries follow."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.tail: deque[Effective] = deque(maxlen=_TAIL_MOST)
        self.tail_from = 0

    def apply_payload(self, index: int, payload: str) -> Any:
        """Apply a committed command given as text.

        :param index: its index in the log.
        :param payload: the command.
        """
        command: Command = decode(Command, payload)
        outcome = self.catalog.apply(index, command)
        if self.catalog.changed == index:
            if len(self.tail) == _TAIL_MOST:
                self.tail_from = self.tail[0].index
            self.tail.append(Effective(index, command.change))
        verdict = outcome.failure.kind.value if outcome.failure else "accepted"
        if command.operation:
            log_event(Event.CHANGE_APPLIED, index=index, by=command.operator, outcome=verdict)
        return outcome

    def dump(self) -> str:
        """Return the state as text."""
        return self.catalog.dump()

    def load(self, text: str) -> None:
        """Replace the state by a dumped one.

        :param text: what :meth:`dump` gave.
        """
        self.catalog.load(text)
        self.tail.clear()
        self.tail_from = self.catalog.revision

    def list_changes(self, after: int) -> tuple[Effective, ...] | None:
        """Return the effective changes after a revision, or nothing if the tail is too short.

        :param after: the revision.
        """
        if after < self.tail_from:
            return None
        return tuple(reversed(list(self._list_newest(after))))

    def _list_newest(self, after: int) -> Iterator[Effective]:
        for effective in reversed(self.tail):
            if effective.index <= after:
                return
            yield effective
