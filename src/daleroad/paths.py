"""The state of the paths from one gateway to its upstreams, and how to dial each of them.

An upstream that this gateway can't connect to may be well and reachable from other gateways: its
heartbeats go to coordinators, over other links. So the evidence on a path is what was connected
over it, directly or through another gateway.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, field
from enum import StrEnum

TUNNEL_DELAY_SECONDS = 0.1
"""How long a direct connection may take before a tunnel is tried beside it. A connection within a
region takes milliseconds; a lost packet is sent again after a second."""

MIN_ISOLATED_UPSTREAMS = 2
"""Upstreams without a direct path from which on the gateway is taken to be cut off, if nothing came
from any upstream on a direct connection since."""

MIN_BLOCKED_SECONDS = 1.0
"""How long all connections over a path, direct or through tunnels, fail before it is blocked: a
sound upstream may be silent for a second."""

PROBE_SECONDS = 0.5
"""Interval at which paths that are not direct are probed."""

RESTORING_PROBES = 2
"""Successful probes in a row after which a path is direct again."""

CHECK_SECONDS = 1.0
"""Shortest time between two checks of the path to an upstream that is silent."""


class PathState(StrEnum):
    """How an upstream is connected to."""

    DIRECT = "direct"
    TUNNELED = "tunneled"
    """Through another gateway: that works, and a direct connection does not."""
    BLOCKED = "blocked"
    """Neither works."""


class Reach(StrEnum):
    """Which of its upstreams a gateway reaches."""

    FULL = "full"
    PARTIAL = "partial"
    """Some only through other gateways."""
    NONE = "none"
    """None, by whatever path."""


@dataclass(frozen=True)
class DialPlan:
    """How to connect to an upstream.

    :param tunnel_first: whether the first attempt is through a tunnel and the second direct, not
        the other way round.
    :param delay: seconds after which the second attempt starts if the first is still under way; it
        starts at once when the first has failed.
    """

    tunnel_first: bool
    delay: float


@dataclass(frozen=True)
class PathChange:
    """A change of a path's state.

    :param address: IP:PORT of the upstream.
    :param seconds: how long the previous state lasted.
    """

    address: str
    before: PathState
    after: PathState
    seconds: float


@dataclass
class _Path:
    state: PathState
    since: float
    failing_since: float = float("inf")
    probes: int = 0
    checked_at: float = float("-inf")
    received_at: float = float("-inf")


@dataclass
class PathTable:
    """The paths to the upstreams that one gateway has dialed, by IP:PORT."""

    _paths: dict[str, _Path] = field(default_factory=dict)

    def get_state(self, address: str) -> PathState:
        """Return how an upstream is connected to.

        :param address: the upstream.
        """
        path = self._paths.get(address)
        return path.state if path is not None else PathState.DIRECT

    def plan_dial(self, address: str) -> DialPlan | None:
        """Return how to connect to an upstream, or None if its path is blocked.

        :param address: the upstream.
        """
        path = self._paths.get(address)
        match path.state if path is not None else PathState.DIRECT:
            case PathState.TUNNELED:
                return DialPlan(True, float("inf"))
            case PathState.BLOCKED:
                return None
        return DialPlan(False, 0.0 if self.is_isolated() else TUNNEL_DELAY_SECONDS)

    def record_direct(self, address: str, now: float) -> PathChange | None:
        """Record that a direct connection was made; return the change, if any.

        :param address: the upstream.
        :param now: the time.
        """
        path = self._get(address, now)
        path.failing_since = float("inf")
        path.received_at = now
        return self._move(address, path, PathState.DIRECT, now)

    def record_tunnel(self, address: str, now: float) -> PathChange | None:
        """Record that a connection was made through a tunnel, and none directly.

        :param address: the upstream.
        :param now: the time.
        """
        path = self._get(address, now)
        path.failing_since = float("inf")
        return self._move(address, path, PathState.TUNNELED, now)

    def record_failure(self, address: str, now: float) -> PathChange | None:
        """Record that no connection was made, neither directly nor through a tunnel.

        :param address: the upstream.
        :param now: the time.
        """
        path = self._get(address, now)
        path.failing_since = min(path.failing_since, now)
        if now - path.failing_since < MIN_BLOCKED_SECONDS:
            return None
        return self._move(address, path, PathState.BLOCKED, now)

    def record_probe(self, address: str, connected: bool, now: float) -> PathChange | None:
        """Record whether a direct connection over a tunneled path was made.

        :param address: the upstream.
        :param connected: whether it was.
        :param now: the time.
        """
        path = self._paths.get(address)
        if path is None or path.state is not PathState.TUNNELED:
            return None
        path.probes = path.probes + 1 if connected else 0
        if path.probes < RESTORING_PROBES:
            return None
        return self.record_direct(address, now)

    def record_received(self, address: str, now: float) -> None:
        """Record that bytes came from an upstream on a direct connection.

        :param address: the upstream.
        :param now: the time.
        """
        path = self._paths.get(address)
        if path is not None:
            path.received_at = now

    def should_check(self, address: str, silent_since: float, now: float) -> bool:
        """Return whether to find out if the path to a silent upstream, or its tunnel, still works.

        :param address: the upstream.
        :param silent_since: from when on something was expected from it.
        :param now: the time.
        """
        path = self._get(address, now)
        if path.state is PathState.BLOCKED or path.received_at > silent_since:
            return False
        if now - path.checked_at < CHECK_SECONDS:
            return False
        path.checked_at = now
        return True

    def list_in(self, state: PathState) -> list[str]:
        """Return the upstreams whose paths are in a state.

        :param state: the state.
        """
        return [address for address, path in self._paths.items() if path.state is state]

    def count(self, state: PathState) -> int:
        """Return how many paths are in a state.

        :param state: the state.
        """
        return len(self.list_in(state))

    def is_isolated(self) -> bool:
        """Return whether this gateway seems to reach no upstream directly.

        Several are reached through other gateways only, and nothing came directly from another
        one since.
        """
        failed = [path for path in self._paths.values() if path.state is PathState.TUNNELED]
        if len(failed) < MIN_ISOLATED_UPSTREAMS:
            return False
        since = min(path.since for path in failed)
        return all(path.received_at < since for path in self._paths.values())

    def get_reach(self) -> Reach:
        """Return which upstreams this gateway reaches."""
        if self.count(PathState.TUNNELED):
            return Reach.PARTIAL
        blocked = self.count(PathState.BLOCKED)
        cut_off = blocked >= MIN_ISOLATED_UPSTREAMS and blocked == len(self._paths)
        return Reach.NONE if cut_off else Reach.FULL

    def get_since(self, address: str) -> float:
        """Return since when the state of a path has been what it is; infinity if it is unknown.

        :param address: the upstream.
        """
        path = self._paths.get(address)
        return path.since if path is not None else float("inf")

    def forget(self, address: str) -> None:
        """Forget an upstream that left.

        :param address: the upstream.
        """
        self._paths.pop(address, None)

    def _get(self, address: str, now: float) -> _Path:
        path = self._paths.get(address)
        if path is None:
            path = self._paths[address] = _Path(PathState.DIRECT, now)
        return path

    def _move(self, address: str, path: _Path, state: PathState, now: float) -> PathChange | None:
        if path.state is state:
            return None
        change = PathChange(address, path.state, state, now - path.since)
        path.state, path.since, path.probes = state, now, 0
        return change
