"""Cancels open requests at process shutdown, so that their callers receive a typed failure."""

from collections.abc import Iterator
from contextlib import contextmanager

from anyio import CancelScope

from daleroad.errors import Failure, FailureKind, Ran

_RETRY_AFTER_SECONDS = 0.1
"""Short, since other instances are still serving."""


class ShutdownScopes:
    """Cancels the registered scopes of one process when it shuts down."""

    def __init__(self) -> None:
        self._scopes: set[CancelScope] = set()
        self.is_shut_down = False

    def cancel_all(self) -> None:
        """Cancel all current scopes, and each later one on entry."""
        self.is_shut_down = True
        for scope in self._scopes:
            scope.cancel()

    @contextmanager
    def open_scope(self) -> Iterator[CancelScope]:
        """Run a block in a scope that is cancelled at shutdown; the scope tells whether it was."""
        with CancelScope() as scope:
            self._scopes.add(scope)
            if self.is_shut_down:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.discard(scope)


def make_shutdown_failure(ran: Ran) -> Failure:
    """Return the failure of a request that is refused or cancelled because of shutdown.

    :param ran: whether the request ran.
    """
    return Failure(
        FailureKind.DRAINING,
        "this process is shutting down; retry on another one",
        ran,
        _RETRY_AFTER_SECONDS,
    )
