"""What a process still answers when it must end: cut off from inside, so that callers are told."""

from collections.abc import Iterator
from contextlib import contextmanager

from anyio import CancelScope

from daleroad.errors import Failure, FailureKind, Ran

_RETRY_SECONDS = 0.1
"""When to come back after a process ended; others serve, so nearly at once."""


class Ending:
    """The end of one process's answers."""

    def __init__(self) -> None:
        self._scopes: set[CancelScope] = set()
        self.is_over = False

    def end(self) -> None:
        """Cut off all that is watched, now and from now on."""
        self.is_over = True
        for scope in self._scopes:
            scope.cancel()

    @contextmanager
    def watch(self) -> Iterator[CancelScope]:
        """Let what runs inside be cut off at the end; the scope given tells whether it was."""
        with CancelScope() as scope:
            self._scopes.add(scope)
            if self.is_over:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.discard(scope)


def make_leaving(ran: Ran) -> Failure:
    """Return the failure of a request that a process's end cuts off.

    :param ran: whether it ran.
    """
    return Failure(FailureKind.DRAINING, "this process ends; use another", ran, _RETRY_SECONDS)
