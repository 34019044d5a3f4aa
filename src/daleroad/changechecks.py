"""Checks of an operator's change against the other records, made by the leader that proposes it.

:mod:`daleroad.rules` is applied by each replica to each command of the log, also again after a
restart. A check that not all of them know, or that a command in the log would fail, belongs here:
otherwise replicas of different versions would come to different states.

Does no I/O.
"""

from collections.abc import Iterator

from daleroad.catalog import Catalog, Change, Put
from daleroad.errors import Failure, FailureKind
from daleroad.records import (
    ModelVersion,
    Operator,
    Organisation,
    Record,
    Route,
    Service,
    ServiceType,
    Share,
)
from daleroad.security import is_token_hash


def find_change_fault(catalog: Catalog, change: Change) -> Failure | None:
    """Return why a change could not be applied as it says, or None.

    :param catalog: the catalog before the change.
    :param change: the change.
    """
    if not isinstance(change, Put):
        return None
    reason = next(_list_faults(catalog, change.record), None)
    return Failure(FailureKind.INVALID, reason) if reason else None


def _list_faults(catalog: Catalog, record: Record) -> Iterator[str]:
    match record:
        case Organisation() | Operator():
            yield from _list_token_faults(catalog, record)
        case Share():
            for other in _list_others(catalog, record):
                if other.partner == record.partner:
                    yield f"{other.name} is this partner's share"
        case Route():
            yield from _list_route_faults(catalog, record)
        case Service():
            yield from _list_service_faults(catalog, record)
        case ModelVersion():
            for route in _list_routes(catalog):
                used = any(split.model == record.name for split in route.models)
                if used and route.service != record.service:
                    yield f"route {route.name} sends it to service {route.service}"


def _list_token_faults(catalog: Catalog, record: Organisation | Operator) -> Iterator[str]:
    if not is_token_hash(record.token_hash):
        yield "token_hash is SHA-256 in lower-case hex"
    for other in _list_others(catalog, record):
        if isinstance(other, Organisation | Operator) and other.token_hash == record.token_hash:
            yield "token_hash is already in use"


def _list_route_faults(catalog: Catalog, route: Route) -> Iterator[str]:
    service = catalog.get("Service", route.service)
    if not isinstance(service, Service) or service.type is ServiceType.MODEL:
        return
    if "/" in route.name:
        yield "the name of a route to a plain service is a part of a path, without a slash"
    if route.models:
        yield "a route to a plain service names no model version"


def _list_service_faults(catalog: Catalog, service: Service) -> Iterator[str]:
    for route in _list_routes(catalog):
        is_model = service.type is ServiceType.MODEL
        if route.service == service.name and bool(route.models) is not is_model:
            yield f"route {route.name} is one to a service of another type"


def _list_routes(catalog: Catalog) -> Iterator[Route]:
    for versioned in catalog.list_records("Route"):
        assert isinstance(versioned.record, Route)
        yield versioned.record


def _list_others(catalog: Catalog, record: Record) -> Iterator[Record]:
    """Yield the other records of a record's type."""
    for versioned in catalog.list_records(type(record).__name__):
        if versioned.record.name != record.name:
            yield versioned.record
