"""Messages between our own processes, besides those of the replicated log."""

from dataclasses import dataclass

from daleroad.catalog import Change
from daleroad.records import EntryMember
from daleroad.suspects import Suspicion


@dataclass(frozen=True)
class FollowRequest:
    """An entry asks for what changed after ``revision`` and for its lease."""

    entry: EntryMember
    revision: int


@dataclass(frozen=True)
class Effective:
    """A change that the log accepted, with its index."""

    index: int
    change: Change


@dataclass(frozen=True)
class FollowAnswer:
    """What changed, or the whole state, and the lease in seconds.

    :param revision: what the entry has once it applied the answer.
    :param held: seconds between the request's arrival and this answer; the lease counts from
        then on.
    :param state: a dumped catalog when the entry was too far behind, else empty.
    """

    revision: int
    lease: float
    held: float
    changes: tuple[Effective, ...] = ()
    state: str = ""


@dataclass(frozen=True)
class MembershipRequest:
    """An entry reports a change of an upstream it is steward of, or its own leaving."""

    change: Change


@dataclass(frozen=True)
class MembershipAnswer:
    """The log index of the change."""

    index: int


@dataclass(frozen=True)
class ClaimRequest:
    """A command for the claim journal, as text."""

    payload: str


@dataclass(frozen=True)
class Work:
    """What a steward knows of a request that asks for a permit.

    :param prompt_tokens: tokens that the engine has to read.
    :param most_tokens: limit of the output.
    :param deadline: seconds from now until the permit is of no use.
    """

    generation: str
    organisation: str
    partner: str
    route: str
    model: str
    urgent: bool
    prompt_tokens: int
    most_tokens: int
    deadline: float


@dataclass(frozen=True)
class PermitRequest:
    """An entry asks an upstream's steward to admit work.

    :param entry: who asks.
    :param epoch: membership epoch by which the receiver is the steward.
    :param wait: whether to wait in the queue, or only to be admitted at once.
    """

    entry: str
    upstream: str
    epoch: int
    wait: bool
    work: Work


@dataclass(frozen=True)
class PermitAnswer:
    """The permit was given. ``load`` is the share of the upstream's memory promised."""

    load: float


@dataclass(frozen=True)
class PermitEnd:
    """An entry gives a permit back: the work ended after so many tokens, or never started."""

    upstream: str
    generation: str
    tokens: int
    started: bool
    ok: bool


@dataclass(frozen=True)
class Handover:
    """A leaving steward's ledger of one upstream: works running and their tokens so far."""

    upstream: str
    works: tuple[Work, ...]
    produced: tuple[int, ...]


@dataclass(frozen=True)
class Completion:
    """The body of a generation request."""

    route: str
    prompt: str
    max_tokens: int = 0
    stream: bool = True
    model: str = ""


@dataclass(frozen=True)
class EngineCompletion:
    """What an entry sends to an engine."""

    generation: str
    model: str
    prompt: str
    max_tokens: int
    priority: int


@dataclass(frozen=True)
class Forbidden:
    """An engine's answer to a cancel order that it remembers.

    :param state: ``unseen``, ``running``, ``done`` or ``cancelled``: what it knew before.
    """

    state: str
    tokens: int = 0


@dataclass(frozen=True)
class EngineOrder:
    """An order to an engine: the model versions it should have loaded.

    :param fencing: number that only grows; engines that check it refuse older ones.
    """

    fencing: int
    models: tuple[str, ...]


@dataclass(frozen=True)
class EngineState:
    """An engine's state, read back."""

    fencing: int
    models: tuple[str, ...]


@dataclass(frozen=True)
class SlotRequest:
    """An entry asks for a slot of a limited organisation."""

    organisation: str
    request: str
    most: int


@dataclass(frozen=True)
class SlotHold:
    """An entry asserts the slots it holds."""

    organisation: str
    requests: tuple[str, ...]


@dataclass(frozen=True)
class Suspicions:
    """What an entry saw of requests under which upstreams ended."""

    suspicions: tuple[Suspicion, ...]


@dataclass(frozen=True)
class SlotEnd:
    """An entry gives a slot back."""

    organisation: str
    request: str
