"""Data classes of the catalog: the configuration records of operators, and cluster members."""

from dataclasses import dataclass
from enum import StrEnum

from daleroad.codec import register_union


class ServiceType(StrEnum):
    """The protocol that the upstreams of a service speak."""

    MODEL = "model"
    PLAIN = "plain"


class State(StrEnum):
    """Lifecycle state of an entry or an upstream in the membership."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Operator:
    """An account that may change a partner's records; ``token_hash`` is a SHA-256 digest in hex."""

    name: str
    partner: str
    token_hash: str


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer of a partner. ``most_running`` limits its concurrent requests; 0 is unlimited."""

    name: str
    partner: str
    token_hash: str
    weight: float = 1.0
    most_running: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that handle the same requests."""

    name: str
    partner: str
    type: ServiceType


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A version of a model that a service can load."""

    name: str
    partner: str
    service: str


@dataclass(frozen=True, slots=True)
class Split:
    """The weight of a model version in a route's traffic split."""

    model: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rules for a kind of request: its service, models and limits. Times are in seconds."""

    name: str
    partner: str
    service: str
    models: tuple[Split, ...] = ()
    urgent: bool = False
    repeatable: bool = False
    max_tokens: int = 32_768
    deadline: float = 0.0


@dataclass(frozen=True, slots=True)
class Share:
    """A partner's share of the pool, as a fraction from 0 to 1."""

    name: str
    partner: str
    share: float


@dataclass(frozen=True, slots=True)
class Order:
    """The model versions that an engine should have loaded; ``name`` is that of the upstream."""

    name: str
    partner: str
    models: tuple[str, ...]


Record = Operator | Organisation | Service | ModelVersion | Route | Share | Order

RECORD_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (Operator, Organisation, Service, ModelVersion, Route, Share, Order)
}


@dataclass(frozen=True, slots=True)
class EntryMember:
    """An entry process in the membership."""

    name: str
    address: str
    zone: str
    region: str
    state: State = State.SERVING


@dataclass(frozen=True, slots=True)
class Upstream:
    """A registered upstream. ``capacity`` is the size of its memory in tokens."""

    name: str
    address: str
    service: str
    zone: str
    capacity: int = 0
    slots: int = 0
    models: tuple[str, ...] = ()
    checks_fencing: bool = False
    state: State = State.SERVING


register_union(Record)
