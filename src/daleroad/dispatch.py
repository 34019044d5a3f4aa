"""What a gateway asks of an upstream and what comes back, without a word on the wire.

A client of upstreams implements :class:`Dispatcher`; the product decides, it only carries out.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Protocol

from daleroad.copyschedule import RunSize
from daleroad.defaults import MOVE_WORTH_SECONDS, SILENCE_SECONDS, TOKEN_SECONDS
from daleroad.errors import Failure
from daleroad.instances import Instance

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class Prompt:
    """How a request describes its prompt.

    :param parts: the prompt's parts in order, as id and tokens; other requests share the first.
    :param tokens: tokens of the whole prompt.
    :param most_output: tokens of output at most.
    """

    parts: tuple[tuple[str, int], ...]
    tokens: int
    most_output: int

    def ends_soon(self) -> bool:
        """Return whether the generation is over before an engine that leaves has ended."""
        return self.guess_seconds() < MOVE_WORTH_SECONDS

    def guess_seconds(self) -> float:
        """Return how long the longest output takes on a half-full engine."""
        return self.most_output * TOKEN_SECONDS


@dataclass(frozen=True)
class Job:
    """One request as a client sent it.

    :param id: the client's id of this attempt.
    :param target: path and query, untouched.
    :param path: the path alone.
    :param headers: those that concern the upstream, in order.
    :param key: the client's key, or empty.
    :param received_at: when its head was read.
    :param deadline: when the client stops waiting; both on the runtime's clock.
    :param prompt: set where the request describes one.
    """

    id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str
    received_at: float
    deadline: float
    prompt: Prompt | None = None


@dataclass(frozen=True)
class Source:
    """Where a generation's memory is, for an engine that goes on with it.

    :param address: IP:PORT of the engine that keeps the copy's handle.
    :param handle: names the copy.
    :param silence: seconds for which an upstream that does not answer at all is borne.
    :param last_event: id of the last event that the client has.
    """

    address: str
    handle: str
    last_event: str


@dataclass(frozen=True)
class Attempt:
    """One dispatch of a job to one instance.

    :param organisation: name of the sender's organisation, or empty.
    :param seconds: time left for the answer.
    :param rank: urgency for an engine, or nothing.
    :param source: set when a generation goes on from a copy.
    :param backup: an engine that should get a running copy, if any.
    :param last_event: id of the last event that the client has, when a stream is made anew from
        there; empty where the client's own word stands.
    :param own_connection: whether no connection that rested may carry it. A new one shows at once
        that the upstream can be reached; what is sent on one that died unseen may have run.
    """

    job: Job
    instance: Instance
    organisation: str
    seconds: float
    rank: int | None = None
    source: Source | None = None
    backup: Instance | None = None
    own_connection: bool = False
    silence: float = SILENCE_SECONDS
    last_event: str = ""


@dataclass(frozen=True)
class NotRun:
    """The request did not run there and never will.

    :param gone: whether the address belongs to another instance now.
    :param sent: whether any byte reached the upstream.
    :param held: whether it was held back here; the upstream was not asked.
    """

    reason: str
    gone: bool = False
    sent: bool = True
    held: bool = False


@dataclass(frozen=True)
class Lost:
    """The request may have run; its answer did not arrive whole."""

    reason: str


@dataclass(frozen=True)
class Whole:
    """A complete answer of an upstream, proved to be its own."""

    status: int
    headers: Headers
    body: bytes

    def is_failed(self) -> bool:
        """Return whether the upstream says that it failed."""
        return self.status >= HTTPStatus.INTERNAL_SERVER_ERROR


@dataclass(frozen=True)
class Piece:
    """One whole event of a stream; ``event`` is its id, or empty."""

    data: bytes
    event: str


class Stream(Protocol):
    """A stream of events that an upstream has begun."""

    status: int
    headers: Headers

    def pieces(self) -> AsyncIterator[Piece | Lost]:
        """Yield whole events; a cut stream ends with :class:`Lost`, a complete one without."""

    async def close(self) -> None:
        """Close the connection if the stream is not over."""


Reply = NotRun | Lost | Whole | Stream


@dataclass(frozen=True)
class Copied:
    """A generation's memory is at the other engine.

    :param handle: names the copy.
    :param made: events made so far.
    """

    handle: str
    made: int


class CopyFault(StrEnum):
    """Why no copy was made."""

    ABSENT = "no such generation is at work there"
    NO_ROOM = "the destination has no room or can't be reached"
    UNREACHABLE = "the source can't be reached"
    BUSY = "another copy is under way"


@dataclass(frozen=True)
class NotCopied:
    """No copy was made."""

    reason: str
    fault: CopyFault


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself.

    :param leaves_in: seconds until it ends, if it knows.
    :param runs: the generations at work.
    :param born: which start of it says so, in milliseconds since 1970; 0 if it does not say.
    """

    leaves_in: float | None
    runs: tuple[RunSize, ...]
    born: int = 0


class Dispatcher(Protocol):
    """Carries out what a gateway decided."""

    async def send(self, attempt: Attempt) -> Reply:
        """Send a request and return its answer, or the stream that it began."""

    async def copy(
        self, job: Job, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        """Copy a running generation's memory; a final copy stops it first."""

    async def report(self, instance: Instance) -> EngineReport | Failure:
        """Ask an engine for its report; each one is paid for."""

    def forget(self, instance: Instance) -> None:
        """Close the idle connections to an instance that left."""
