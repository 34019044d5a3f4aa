"""JSON messages among callers, entries, control processes and engines, without the log's."""

from dataclasses import dataclass

from daleroad.catalog import Change
from daleroad.records import EntryMember
from daleroad.suspicions import Suspicion


@dataclass(frozen=True)
class FollowRequest:
    """Sent by an entry to get the changes after ``revision`` and to renew its lease."""

    entry: EntryMember
    revision: int


@dataclass(frozen=True)
class AcceptedChange:
    """A committed change with its log index."""

    index: int
    change: Change


@dataclass(frozen=True)
class FollowAnswer:
    """The changes or the whole state, and a lease.

    :param revision: revision of the entry's catalog once it has applied the answer.
    :param lease: duration of the lease in seconds, counted from this answer.
    :param held: seconds from the request's arrival to this answer.
    :param state: a catalog dump if the entry was too far behind, otherwise empty.
    """

    revision: int
    lease: float
    held: float
    changes: tuple[AcceptedChange, ...] = ()
    state: str = ""


@dataclass(frozen=True)
class MembershipRequest:
    """Sent by an entry to change an upstream that it is steward of, or to leave."""

    change: Change


@dataclass(frozen=True)
class MembershipAnswer:
    """The log index of the change."""

    index: int


@dataclass(frozen=True)
class ClaimRequest:
    """An encoded command for the claim journal."""

    payload: str


@dataclass(frozen=True)
class Work:
    """Describes a generation to the steward that admits it.

    :param prompt_tokens: estimated size of the prompt.
    :param most_tokens: maximum number of output tokens.
    :param deadline: seconds until the permit is no longer useful.
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
    """Sent by an entry to an upstream's steward to have work admitted.

    :param entry: name of the sender.
    :param epoch: membership epoch in which the sender takes the receiver for the steward.
    :param wait: whether to queue the work if it can't be admitted at once.
    """

    entry: str
    upstream: str
    epoch: int
    wait: bool
    work: Work


@dataclass(frozen=True)
class PermitAnswer:
    """The work was admitted; ``load`` is the reserved share of the upstream's memory."""

    load: float


@dataclass(frozen=True)
class PermitEnd:
    """Sent by an entry to release a permit when the work has ended or never started.

    :param tokens: tokens that the work produced.
    """

    upstream: str
    generation: str
    tokens: int
    started: bool
    ok: bool


@dataclass(frozen=True)
class Handover:
    """Running works of one upstream and their token counts, for its new steward."""

    upstream: str
    works: tuple[Work, ...]
    produced: tuple[int, ...]


@dataclass(frozen=True)
class Completion:
    """Body of a caller's generation request."""

    route: str
    prompt: str
    max_tokens: int = 0
    stream: bool = True
    model: str = ""


@dataclass(frozen=True)
class EngineCompletion:
    """Body of the generation request that an entry sends to an engine."""

    generation: str
    model: str
    prompt: str
    max_tokens: int
    priority: int


@dataclass(frozen=True)
class Forbidden:
    """An engine's answer to a cancellation, which it remembers for requests that arrive later.

    :param state: state before the cancellation: ``unseen``, ``running``, ``done`` or
        ``cancelled``.
    :param tokens: tokens generated so far.
    """

    state: str
    tokens: int = 0


@dataclass(frozen=True)
class EngineOrder:
    """The model versions that an engine should have loaded.

    :param fencing: increasing fencing number; engines that check it refuse lower ones.
    """

    fencing: int
    models: tuple[str, ...]


@dataclass(frozen=True)
class EngineState:
    """The model versions that an engine has loaded, and its highest fencing number."""

    fencing: int
    models: tuple[str, ...]


@dataclass(frozen=True)
class SlotRequest:
    """Sent by an entry to take a slot of an organisation with a concurrency limit."""

    organisation: str
    request: str
    most: int


@dataclass(frozen=True)
class SlotHold:
    """Sent by an entry to confirm the slots that it holds."""

    organisation: str
    requests: tuple[str, ...]


@dataclass(frozen=True)
class Suspicions:
    """Requests that were running on upstreams when these crashed, as seen by an entry."""

    suspicions: tuple[Suspicion, ...]


@dataclass(frozen=True)
class SlotEnd:
    """Sent by an entry to release a slot."""

    organisation: str
    request: str
