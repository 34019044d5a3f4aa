"""Requests that wait on open connections to upstreams, and which of them wait in vain.

An open connection over a link that is cut hangs until its system gives it up. A request that may be
sent elsewhere need not wait so long: once the upstream is known to be reachable through another
gateway only, its silence here is the link's.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from daleroad.paths import PathState, PathTable

SWEEP_SECONDS = 0.25
"""Interval at which silent connections are looked for."""

SILENT_SECONDS = 0.5
"""How long an answer is waited for before the path is checked. Most plain requests take less than a
fifth of that, and a silent upstream may be busy."""

SILENT_STREAM_SECONDS = 0.3
"""The same for the next event of a stream; the longest pauses that routes allow are shorter."""

GIVE_UP_AGAIN_SECONDS = 1.0
"""How much longer a wait that went on is silent before it is given up again."""


@dataclass(eq=False)
class Wait:
    """One wait for bytes from an upstream.

    :param address: IP:PORT of the upstream.
    :param begun_at: when its request was sent.
    :param limit: seconds of silence after which to act.
    :param since: when something came last; infinity while nothing is waited for.
    :param give_up: called when the wait is in vain; None if the request can't go on elsewhere.
    """

    address: str
    begun_at: float
    limit: float
    since: float
    give_up: Callable[[], None] | None = None


@dataclass
class SilenceWatch:
    """The waits of one gateway.

    :param paths: the paths to the upstreams.
    """

    paths: PathTable
    _waits: set[Wait] = field(default_factory=set)

    @contextmanager
    def watch(self, wait: Wait) -> Iterator[Wait]:
        """Keep a wait within the context.

        :param wait: the wait.
        """
        self._waits.add(wait)
        try:
            yield wait
        finally:
            self._waits.discard(wait)

    def sweep(self, now: float) -> Iterator[str]:
        """Give up the waits that are in vain; yield the upstreams whose paths should be checked.

        :param now: the time.
        """
        for wait in [w for w in self._waits if now - w.since >= w.limit]:
            tunneled = self.paths.get_state(wait.address) is PathState.TUNNELED
            # A request that was sent since the path is tunneled goes through a tunnel.
            if tunneled and wait.begun_at < self.paths.get_since(wait.address):
                if wait.give_up is not None:
                    wait.limit += GIVE_UP_AGAIN_SECONDS
                    wait.give_up()
            elif self.paths.should_check(wait.address, wait.since, now):
                yield wait.address
