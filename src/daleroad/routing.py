"""Routing configuration of a gateway, and the table that matches requests.

A configuration is replaced as a whole, under a higher version. The table finds a request's route,
the organisation that sent it and the service that receives it.

Does no I/O.
"""

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
    """How a failed request may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


def normalize_host(host: str) -> str:
    """Return a host as hosts of routes and requests are compared: regardless of case.

    A port and a trailing dot are kept, so hosts with and without them are different.

    :param host: the host, with or without a port.
    """
    return host.lower()


@dataclass(frozen=True)
class Target:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class RouteRule:
    """One route. Times are in seconds.

    :param timeout: limit of the whole request.
    :param objective: latency objective of the first output.
    :param pause: longest pause between outputs of a stream that meets its objective.
    :param rank: priority; 0 is the highest.
    :param targets: the services of the route and their weights.
    :param attempts: maximum number of upstreams that one request may run on.
    :param public: whether requests need no API key.
    :param prompts: whether requests describe their prompt.
    :param resumable: whether another upstream can resume a stream after its last event.
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

    def get_location(self) -> tuple[str, str]:
        """Return the host and prefix by which requests are matched; they identify the route."""
        return normalize_host(self.host), self.prefix

    def get_silence_timeout(self) -> float:
        """Return the seconds without any response after which an upstream is given up.

        A stream that can't be resumed is lost when its connection is closed. During a network
        interruption its engine keeps generating, and the output arrives once the network has
        recovered. So the limit is as long as the longest gap that the client accepts.
        """
        if self.repeat is not Repeat.STREAM or self.resumable:
            return SILENCE_SECONDS
        objective_limit = CLIENT_GAP_OBJECTIVES * self.objective
        return max(CLIENT_GAP_SECONDS, objective_limit, CLIENT_GAP_PAUSES * self.pause)

    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be retried on another upstream."""
        return self.repeat is Repeat.IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineRule:
    """Capacity and features of a service's engines.

    :param slots: maximum number of concurrent generations.
    :param memory_tokens: memory for prompts and outputs together, in tokens.
    :param token_seconds: time to copy one token's memory over an engine's link.
    :param moves: whether a running generation can be copied to another engine.
    :param backups: whether an engine can back up a generation to another one while it runs.
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

    :param connections: connection limit of one upstream, for all callers together.
    :param cold_rate: requests per second that a cold upstream can serve; 0 for no limit.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineRule | None
    cold_rate: float = 0.0


@dataclass(frozen=True)
class OrganisationRule:
    """An organisation with its API keys; its rank, if set, overrides the rank of the route."""

    name: str
    keys: tuple[str, ...]
    rank: int | None


@dataclass(frozen=True)
class RequestLimits:
    """Size limits of a client's request, and timeouts of its header and of idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class RoutingConfig:
    """One version of all routes, services and organisations.

    :param organisations: the organisations, or None if requests need no API keys. If there are
        none of them, no key is known, and only public routes can be used.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]
    organisations: tuple[OrganisationRule, ...] | None
    limits: RequestLimits = RequestLimits()

    def needs_key(self, route: RouteRule) -> bool:
        """Return whether the requests of a route need an API key.

        :param route: the route.
        """
        return self.organisations is not None and not route.public


@dataclass
class RoutingTable:
    """Indexes one configuration by host, prefix and API key.

    :param config: the configuration.
    :param services: the services by name.
    :param longest_timeout: the longest timeout of a route, in seconds.
    """

    config: RoutingConfig
    services: dict[str, ServiceRule] = field(default_factory=dict)
    longest_timeout: float = 0.0
    _routes: dict[tuple[str, str], RouteRule] = field(default_factory=dict)
    _keys: dict[str, OrganisationRule] = field(default_factory=dict)
    _longest: int = 0

    def __post_init__(self) -> None:
        self.services = {service.name: service for service in self.config.services}
        self._routes = {route.get_location(): route for route in self.config.routes}
        self.longest_timeout = max((route.timeout for route in self.config.routes), default=0.0)
        self._longest = max((len(route.prefix) for route in self.config.routes), default=0)
        for organisation in self.config.organisations or ():
            self._keys.update(dict.fromkeys(organisation.keys, organisation))

    def match(self, host: str, path: str) -> RouteRule | Failure:
        """Return the route with the longest matching prefix.

        Routes of the host with its port precede those of the host without it.

        :param host: host of the request, with or without a port.
        :param path: the path, without the query.
        """
        name = normalize_host(host)
        route = self._find_longest_prefix(name, path)
        if route is None and (portless := name.rpartition(":")[0]):
            route = self._find_longest_prefix(portless, path)
        if route is None:
            return Failure(FailureKind.UNKNOWN_ROUTE, f"no route for {host}{path}")
        return route

    def _find_longest_prefix(self, host: str, path: str) -> RouteRule | None:
        end = min(len(path), self._longest)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def list_overridden_routes(self) -> tuple[RouteRule, ...]:
        """Return the routes that get no requests, as a later one has the same host and prefix."""
        return tuple(
            route for route in self.config.routes if self._routes[route.get_location()] is not route
        )

    def find_organisation(self, key: str) -> OrganisationRule | Failure:
        """Return the organisation that an API key belongs to.

        :param key: the API key; empty if the request has none, which belongs to nobody.
        """
        found = self._keys.get(key) if key else None
        if found is None:
            return Failure(FailureKind.UNAUTHENTICATED, "unknown API key")
        return found

    def pick_service(self, route: RouteRule, draw: float) -> str:
        """Choose the service for a request by the weights of its route.

        :param route: the route.
        :param draw: a random number from 0 (inclusive) to 1 (exclusive).
        """
        remaining = draw * sum(target.weight for target in route.targets)
        for target in route.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return route.targets[-1].service
