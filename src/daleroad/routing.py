"""What may be asked of which service: the routes, services and organisations of one version.

A routing configuration is replaced as a whole; versions only grow. The table built from it
answers, for each request, which route it takes and which organisation sent it. Pure.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from daleroad.defaults import (
    CLIENT_GAP_OBJECTIVES,
    CLIENT_GAP_PAUSES,
    CLIENT_GAP_SECONDS,
    SILENCE_SECONDS,
)
from daleroad.errors import Failure, FailureKind


class Repeat(StrEnum):
    """What may be done again with a request that failed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float


@dataclass(frozen=True)
class RouteRule:
    """One route. Times are in seconds.

    :param timeout: after which a request has its final answer.
    :param objective: within which the first output should be there.
    :param pause: longest pause between outputs of a stream that is still on time.
    :param rank: urgency; 0 goes first.
    :param attempts: upstreams that one request may run on.
    :param public: whether requests need no key.
    :param prompts: whether requests describe their prompt.
    :param resumable: whether a stream may go on at another upstream after its last event.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: float
    objective: float
    pause: float
    rank: int
    targets: tuple[Target, ...]
    attempts: int
    public: bool
    prompts: bool
    resumable: bool = False

    def find_silence(self) -> float:
        """Return for how many seconds an upstream that does not answer at all is borne.

        A stream that may run once is lost when its connection is given up; its engine goes on
        behind a cut, and what it made meanwhile comes when the cut has healed. So the silence is
        borne as long as the client bears it.
        """
        if self.repeat is not Repeat.STREAM or self.resumable:
            return SILENCE_SECONDS
        objectives = CLIENT_GAP_OBJECTIVES * self.objective
        return max(CLIENT_GAP_SECONDS, objectives, CLIENT_GAP_PAUSES * self.pause)

    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent to another upstream."""
        return self.repeat is Repeat.IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineRule:
    """What the engines of a service can do.

    :param slots: generations at a time.
    :param memory_tokens: tokens that prompts and outputs may take together.
    :param token_seconds: time of one token's memory on an engine's link.
    :param moves: whether a running generation can be copied to another engine.
    :param backups: whether an engine copies a generation elsewhere while it runs.
    :param event_tokens: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    token_seconds: float
    moves: bool
    backups: bool
    event_tokens: int = 1


@dataclass(frozen=True)
class ServiceRule:
    """A service; ``engine`` is set where model engines serve it.

    :param connections: connections that one upstream takes from all callers together.
    :param cold_rate: requests a second that one upstream bears while it is cold; 0 for any number.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineRule | None
    cold_rate: float = 0.0


@dataclass(frozen=True)
class OrganisationRule:
    """An organisation with its keys; a rank of its own goes before its routes' ranks."""

    name: str
    keys: tuple[str, ...]
    rank: int | None


@dataclass(frozen=True)
class RequestLimits:
    """What a client may send, in bytes, and how long it may take or stay idle, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class RoutingConfig:
    """One version of all routes, services and organisations."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]
    organisations: tuple[OrganisationRule, ...]
    limits: RequestLimits = RequestLimits()


def find_fault(config: RoutingConfig) -> Failure | None:
    """Return the first reason why a configuration can't come into force, or nothing.

    :param config: the configuration.
    """
    reason = next(_list_faults(config), None)
    return Failure(FailureKind.INVALID, reason) if reason else None


def _list_faults(config: RoutingConfig) -> Iterator[str]:
    services = {service.name for service in config.services}
    places = Counter((route.host, route.prefix) for route in config.routes)
    for route in config.routes:
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            yield f"route {route.name}: prefix {route.prefix!r} needs a slash at both ends"
        if places[route.host, route.prefix] > 1:
            yield f"route {route.name}: another route has {route.host}{route.prefix}"
        if route.timeout <= 0:
            yield f"route {route.name}: a timeout of 0"
        if any(target.weight < 0 for target in route.targets):
            yield f"route {route.name}: a weight below 0"
        if sum(target.weight for target in route.targets) <= 0:
            yield f"route {route.name}: the weights add up to 0"
        for target in route.targets:
            if target.service not in services:
                yield f"route {route.name}: unknown service {target.service}"
    keys = Counter(key for org in config.organisations for key in set(org.keys))
    for organisation in config.organisations:
        if any(keys[key] > 1 for key in organisation.keys):
            yield f"organisation {organisation.name}: another organisation has one of its keys"


@dataclass
class RoutingTable:
    """Look-ups in one configuration.

    :param config: the configuration.
    """

    config: RoutingConfig
    services: dict[str, ServiceRule] = field(default_factory=dict)
    _hosts: dict[str, dict[str, RouteRule]] = field(default_factory=dict)
    _keys: dict[str, OrganisationRule] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.services = {service.name: service for service in self.config.services}
        for route in self.config.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route
        for organisation in self.config.organisations:
            self._keys.update(dict.fromkeys(organisation.keys, organisation))

    def match(self, host: str, path: str) -> RouteRule | Failure:
        """Return the route with the longest prefix of a path.

        :param host: the host asked for, with or without a port.
        :param path: the path, without the query.
        """
        prefixes = self._hosts.get(host.rpartition(":")[0].lower() or host.lower())
        if prefixes is None:
            prefixes = self._hosts.get(host.lower(), {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return Failure(FailureKind.UNKNOWN_ROUTE, f"no route for {host}{path}")

    def identify(self, key: str) -> OrganisationRule | Failure:
        """Return the organisation that holds a key.

        :param key: the key.
        """
        found = self._keys.get(key)
        if found is None:
            return Failure(FailureKind.UNAUTHENTICATED, "no organisation holds this key")
        return found

    def pick_service(self, route: RouteRule, draw: float) -> str:
        """Return the service that a request goes to, by the route's weights.

        :param route: the route.
        :param draw: a random number from 0 up to 1.
        """
        place = draw * sum(target.weight for target in route.targets)
        for target in route.targets:
            place -= target.weight
            if place < 0:
                return target.service
        return route.targets[-1].service
