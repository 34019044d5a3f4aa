"""Rules that the records must keep as a whole, checked before a change is accepted."""

from collections.abc import Iterator
from typing import Protocol

from daleroad.errors import Failure, FailureKind
from daleroad.records import (
    ModelVersion,
    Order,
    Organisation,
    Record,
    Route,
    Service,
    ServiceType,
    Share,
)


class _Versioned(Protocol):
    @property
    def record(self) -> Record:
        """The record."""


class _Records(Protocol):
    def get(self, type_name: str, name: str) -> Record | None:
        """Return a record or nothing."""

    def list_records(self, type_name: str) -> Iterator[_Versioned]:
        """Yield the records of a type."""


def find_fault(records: _Records, type_name: str, name: str, new: Record | None) -> Failure | None:
    """Return why a change would break a rule, or nothing.

    :param records: the records before the change.
    :param type_name: class name of the record.
    :param name: its name.
    :param new: the record afterwards, or nothing if it is removed.
    """
    if not name:
        return _fault("the name is empty")
    match new:
        case None:
            return _check_removal(records, type_name, name)
        case Route():
            return _check_route(records, new)
        case ModelVersion():
            return _check_model(records, new)
        case Organisation():
            return _check_organisation(records, new)
        case Share():
            return _check_share(records, new)
        case Order():
            return _check_order(records, new)
        case _:
            return None


def _fault(reason: str) -> Failure:
    return Failure(FailureKind.INVALID, reason)


def _check_removal(records: _Records, type_name: str, name: str) -> Failure | None:
    if records.get(type_name, name) is None:
        return Failure(FailureKind.NOT_FOUND, f"no {type_name} {name}")
    for versioned in records.list_records("Route"):
        route = versioned.record
        assert isinstance(route, Route)
        used = [split.model for split in route.models]
        if (type_name == "Service" and route.service == name) or (
            type_name == "ModelVersion" and name in used
        ):
            return _fault(f"route {route.name} still uses it")
    return None


def _check_route(records: _Records, route: Route) -> Failure | None:
    service = records.get("Service", route.service)
    if not isinstance(service, Service):
        return _fault(f"no service {route.service}")
    if service.partner != route.partner:
        return Failure(FailureKind.FORBIDDEN, "the service is another partner's")
    if service.type is ServiceType.MODEL and not route.models:
        return _fault("a route to a model service names at least one model version")
    if route.max_tokens <= 0 or route.deadline < 0:
        return _fault("max_tokens is above 0 and deadline not below 0")
    for split in route.models:
        model = records.get("ModelVersion", split.model)
        if not isinstance(model, ModelVersion) or model.service != route.service:
            return _fault(f"service {route.service} has no model version {split.model}")
        if split.weight <= 0:
            return _fault("the weight of a model version is above 0")
    return None


def _check_model(records: _Records, model: ModelVersion) -> Failure | None:
    service = records.get("Service", model.service)
    if not isinstance(service, Service) or service.partner != model.partner:
        return _fault(f"no service {model.service} of this partner")
    return None


def _check_organisation(records: _Records, organisation: Organisation) -> Failure | None:
    if organisation.weight <= 0 or organisation.most_running < 0:
        return _fault("weight is above 0 and most_running not below 0")
    if len(organisation.token_hash) != 64:
        return _fault("token_hash is SHA-256 in hex")
    return None


def _check_order(records: _Records, order: Order) -> Failure | None:
    for name in order.models:
        model = records.get("ModelVersion", name)
        if not isinstance(model, ModelVersion) or model.partner != order.partner:
            return _fault(f"no model version {name} of this partner")
    return None


def _check_share(records: _Records, share: Share) -> Failure | None:
    if not 0 <= share.share <= 1:
        return _fault("a share lies between 0 and 1")
    others = (v.record for v in records.list_records("Share") if v.record.name != share.name)
    total = share.share + sum(s.share for s in others if isinstance(s, Share))
    if total > 1 + 1e-9:
        return _fault(f"the shares add up to {total:.3f}, above 1")
    return None
