"""Validation of routing configurations: whether all that they say can be applied.

Does no I/O.
"""

from collections import Counter
from collections.abc import Hashable, Iterable, Iterator
from typing import TypeVar

from daleroad.errors import Failure, FailureKind
from daleroad.headertext import is_field_value, is_visible_ascii
from daleroad.routing import (
    EngineRule,
    OrganisationRule,
    RequestLimits,
    RouteRule,
    RoutingConfig,
    ServiceRule,
)

MIN_TIMEOUT_SECONDS = 0.001
"""Shortest timeout; upstreams are told theirs in whole milliseconds."""

MAX_NAME_CHARACTERS = 256
"""Longest name under which upstreams can announce a service."""

T = TypeVar("T", bound=Hashable)

_PATH_ENDS = "?#"
"""Characters that end the path of a request target."""


def validate_config(config: RoutingConfig) -> Failure | None:
    """Return the first reason why a configuration is invalid, or nothing.

    :param config: the configuration.
    """
    reason = next(_list_errors(config), None)
    return Failure(FailureKind.INVALID, reason) if reason else None


def _list_errors(config: RoutingConfig) -> Iterator[str]:
    if config.version < 1:
        yield f"version {config.version} must be above 0"
    for service in config.services:
        for error in _list_service_errors(service):
            yield f"service {service.name!r}: {error}"
    for name in _find_repeated(service.name for service in config.services):
        yield f"service {name!r}: another service has the same name"
    services = {service.name for service in config.services}
    for route in config.routes:
        for error in _list_route_errors(route, services):
            yield f"route {route.name}: {error}"
    locations = _find_repeated(route.get_location() for route in config.routes)
    for route in config.routes:
        if route.get_location() in locations:
            yield (
                f"route {route.name}: another route has the same host and prefix, "
                f"{route.host}{route.prefix}"
            )
    for organisation in config.organisations or ():
        for error in _list_organisation_errors(organisation):
            yield f"organisation {organisation.name!r}: {error}"
    yield from _list_shared_keys(config.organisations or ())
    yield from _list_limit_errors(config.limits)


def _list_route_errors(route: RouteRule, services: set[str]) -> Iterator[str]:
    if route.host and not is_visible_ascii(route.host):
        yield f"no request can name the host {route.host!r}"
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield f"prefix {route.prefix!r} must start and end with a slash"
    elif not is_visible_ascii(route.prefix) or any(end in route.prefix for end in _PATH_ENDS):
        yield f"no request can have a path with prefix {route.prefix!r}"
    if route.timeout <= 0:
        yield "the timeout must be above 0"
    elif route.timeout < MIN_TIMEOUT_SECONDS:
        yield f"the timeout must be at least {1000 * MIN_TIMEOUT_SECONDS:g} ms"
    if route.objective < 0 or route.pause < 0:
        yield "the latency objectives must not be below 0"
    if route.attempts < 1:
        yield "the number of attempts must be above 0"
    if any(target.weight < 0 for target in route.targets):
        yield "a target has a negative weight"
    if sum(target.weight for target in route.targets) <= 0:
        yield "the sum of the target weights must be above 0"
    for target in route.targets:
        if target.service not in services:
            yield f"unknown service {target.service}"


def _list_service_errors(service: ServiceRule) -> Iterator[str]:
    if not 0 < len(service.name) <= MAX_NAME_CHARACTERS:
        yield f"the name must have 1 to {MAX_NAME_CHARACTERS} characters"
    if not service.health_path.startswith("/") or not is_visible_ascii(service.health_path):
        yield f"{service.health_path!r} is no path"
    if service.connections < 0:
        yield "the connection limit must not be below 0"
    if service.cold_rate < 0:
        yield "the rate of cold upstreams must not be below 0"
    if service.engine is not None:
        yield from _list_engine_errors(service.engine)


def _list_engine_errors(engine: EngineRule) -> Iterator[str]:
    if engine.slots < 1 or engine.memory_tokens < 1:
        yield "an engine must have slots and memory"
    if engine.token_seconds < 0:
        yield "the size of a token must not be below 0"
    if engine.event_tokens < 1:
        yield "an event must have a token at least"


def _list_organisation_errors(organisation: OrganisationRule) -> Iterator[str]:
    if not is_field_value(organisation.name):
        yield "the name can't be sent in a header"
    if not all(is_visible_ascii(key) for key in organisation.keys):
        yield "one of its keys can't be sent in a header"


def _list_shared_keys(organisations: Iterable[OrganisationRule]) -> Iterator[str]:
    organisations = tuple(organisations)
    shared = _find_repeated(key for org in organisations for key in set(org.keys))
    for organisation in organisations:
        if shared.intersection(organisation.keys):
            yield (
                f"organisation {organisation.name!r}: one of its keys belongs to another "
                "organisation too"
            )


def _list_limit_errors(limits: RequestLimits) -> Iterator[str]:
    if limits.header_bytes < 1:
        yield "the limit of a request's header must be above 0"
    if limits.body_bytes < 0:
        yield "the limit of a request's body must not be below 0"
    if min(limits.header_seconds, limits.idle_seconds) < MIN_TIMEOUT_SECONDS:
        yield f"the timeouts of clients must be at least {1000 * MIN_TIMEOUT_SECONDS:g} ms"


def _find_repeated(values: Iterable[T]) -> set[T]:
    return {value for value, count in Counter(values).items() if count > 1}
