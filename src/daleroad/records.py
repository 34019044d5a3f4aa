"""The records that operators make, and those of the membership."""

from dataclasses import dataclass
from enum import StrEnum

from daleroad.codec import register_union


class ServiceType(StrEnum):
    """What the upstreams of a service speak."""

    MODEL = "model"
    PLAIN = "plain"


class State(StrEnum):
    """State of an entry or an upstream in the membership."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Operator:
    """Somebody who may change a partner's records; ``token_hash`` is SHA-256 in hex."""

    name: str
    partner: str
    token_hash: str


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer of a partner. ``most_running`` limits its requests; 0 sets no limit."""

    name: str
    partner: str
    token_hash: str
    weight: float = 1.0
    most_running: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same work."""

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
    """A model version's part of a route, by weight."""

    model: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of work: where it goes and how it may be treated. Times are in seconds."""

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
    """A partner's share of the pool, from 0 to 1."""

    name: str
    partner: str
    share: float


@dataclass(frozen=True, slots=True)
class Order:
    """What an engine should have loaded; its name is the upstream's."""

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
    """An entry in the membership."""

    name: str
    address: str
    zone: str
    region: str
    state: State = State.SERVING


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream that announced itself. ``capacity`` is in tokens of memory."""

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
