"""Transport-independent requests from a gateway to its upstreams, and the replies to them.

A client for upstreams implements :class:`Dispatcher`. It only carries out what the gateway has
decided: which instance gets a request, with which deadline and which priority.
:class:`~daleroad.guarding.GuardedDispatcher` wraps the client and checks each request first.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Protocol

from daleroad.copyschedule import RunSize
from daleroad.defaults import MOVE_WORTH_SECONDS, SILENCE_SECONDS, TOKEN_SECONDS
from daleroad.errors import Failure
from daleroad.heldbytes import RequestBytes
from daleroad.instances import Instance

Headers = tuple[tuple[bytes, bytes], ...]

LAST_EVENT_HEADER = b"last-event-id"
"""Names the event after which a stream of server-sent events is to go on."""


@dataclass(frozen=True)
class Prompt:
    """Size and composition of a prompt, as the request states them.

    :param parts: id and token count of each part, in order; requests may share leading parts.
    :param tokens: token count of the whole prompt.
    :param max_output_tokens: maximum number of output tokens.
    """

    parts: tuple[tuple[str, int], ...]
    tokens: int
    max_output_tokens: int

    def ends_soon(self) -> bool:
        """Return whether the generation is estimated as too short to be worth a migration."""
        return self.estimate_seconds() < MOVE_WORTH_SECONDS

    def estimate_seconds(self) -> float:
        """Estimate the seconds that the maximum output takes on a half-full engine."""
        return self.max_output_tokens * TOKEN_SECONDS


@dataclass(frozen=True)
class ClientRequest:
    """One request as received from a client. Times are on the event loop's clock.

    :param id: request id that the client chose; the same for all of this gateway's attempts.
    :param target: path and query, unmodified.
    :param path: the path without the query.
    :param headers: the headers to forward to the upstream, in order.
    :param key: the client's API key, or empty.
    :param received_at: when the request head was read.
    :param deadline: when the client stops waiting.
    :param prompt: description of the prompt, if the request carries one.
    :param held: account of the bytes that the gateway holds for it, if there is one.
    :param model: the model that it names, or empty.
    :param parts: ids of the parts of its prompt, in order; also known where its size is not.
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
    held: RequestBytes | None = field(default=None, compare=False, repr=False)
    model: str = ""
    parts: tuple[str, ...] = ()

    def list_shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt's parts that other requests may have too: all but the last.

        The last one belongs to the request itself or to its conversation.
        """
        return self.parts[:-1]


@dataclass(frozen=True)
class CopySource:
    """A copy of a generation's memory, from which another engine can resume it.

    The engine that a copy is made from is its origin.

    :param address: IP:PORT of the copy's origin, or of the engine that keeps the backup.
    :param handle: id of the copy.
    :param last_event: id of the last event that the client has received.
    """

    address: str
    handle: str
    last_event: str


@dataclass(frozen=True)
class Attempt:
    """One send of a client's request to one instance.

    :param organisation: name of the sender's organisation, or empty.
    :param seconds: time left for the response.
    :param rank: priority of the request on an engine; ``None`` to state none.
    :param source: the copy to resume from, for a generation that was copied; else ``None``.
    :param backup: an engine that receives copies of the generation while it runs, if any.
    :param new_connection: whether to open a new connection instead of reusing an idle one. A
        failure to connect proves that the request did not run. If an idle connection turns out to
        be broken only after the request was sent on it, the request may have run.
    :param silence_timeout_seconds: seconds without any response after which the upstream is given
        up.
    :param repeatable: whether the request may be sent elsewhere even if it runs here.
    :param last_event: id of the last event that the client has received, for a stream that is
        restarted after it; empty to pass on the client's own header. That of ``source``
        overrides it.
    """

    job: ClientRequest
    instance: Instance
    organisation: str
    seconds: float
    rank: int | None = None
    source: CopySource | None = None
    backup: Instance | None = None
    new_connection: bool = False
    silence_timeout_seconds: float = SILENCE_SECONDS
    last_event: str = ""
    repeatable: bool = False

    def starts_stream(self) -> bool:
        """Return whether a stream is to begin with its first event, not to go on after another."""
        resumed = any(name.lower() == LAST_EVENT_HEADER for name, _ in self.job.headers)
        return self.source is None and not self.last_event and not resumed


@dataclass(frozen=True)
class NotRun:
    """The request did not run on the upstream and never will.

    :param address_reused: whether the address now belongs to another instance.
    :param sent: whether any byte may have reached the upstream.
    :param held: whether the gateway itself refused to send it.
    :param earlier: responses that its connection carried before this one.
    """

    reason: str
    address_reused: bool = False
    sent: bool = True
    held: bool = False
    earlier: int = 0


@dataclass(frozen=True)
class Lost:
    """The request may have run; no complete response arrived.

    :param unread: whether the upstream cut a response that this gateway left unread, as a stream's
        client did not read or the gateway had no room for a whole one.
    :param cut_off: whether only this gateway's link to the upstream, or a tunnel, is cut.
    :param begun: whether the response had begun to arrive.
    :param ambiguous: whether a response came that may be another request's.
    :param earlier: as for :class:`NotRun`.
    """

    reason: str
    unread: bool = False
    cut_off: bool = False
    begun: bool = False
    ambiguous: bool = False
    earlier: int = 0

    def blames_upstream(self) -> bool:
        """Return whether the upstream may be the cause."""
        return not (self.unread or self.cut_off or self.ambiguous)


@dataclass(frozen=True)
class Whole:
    """A complete response; a successful one carried the upstream's signature.

    :param delimited: whether it had a length or chunks. Without, it ended with its connection, and
        looks complete even if its upstream crashed.
    :param earlier: as for :class:`NotRun`.
    """

    status: int
    headers: Headers
    body: bytes
    delimited: bool = True
    earlier: int = 0

    def is_success(self) -> bool:
        """Return whether the status is a success (2xx)."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def is_failed(self) -> bool:
        """Return whether the status is a server error (5xx)."""
        return self.status >= HTTPStatus.INTERNAL_SERVER_ERROR


@dataclass(frozen=True)
class StreamEvent:
    """One complete event of a stream; ``event`` is its id, or empty."""

    data: bytes
    event: str


class Stream(Protocol):
    """An event stream that an upstream has started.

    :ivar delimited: as for :class:`Whole`.
    """

    status: int
    headers: Headers
    delimited: bool

    def events(self) -> AsyncIterator[StreamEvent | Lost]:
        """Yield complete events, then :class:`Lost` if the stream was cut."""

    async def close(self) -> None:
        """Close the connection if the stream has not ended."""


Reply = NotRun | Lost | Whole | Stream


@dataclass(frozen=True)
class Copied:
    """A generation's memory was copied to the destination engine.

    :param handle: id of the copy.
    :param events_generated: number of events generated so far, as the origin reports it.
    """

    handle: str
    events_generated: int


class CopyFault(StrEnum):
    """Why no copy is known to have been made.

    "There" in ABSENT and the source in UNREACHABLE are the origin. NO_ROOM also stands for a
    destination that the guard refuses, UNREACHABLE for responses that no other value fits.
    """

    ABSENT = "no such generation is at work there"
    NO_ROOM = "the destination has no room or can't be reached"
    UNREACHABLE = "the source can't be reached"
    BUSY = "another copy is under way"


@dataclass(frozen=True)
class NotCopied:
    """No copy is known to have been made.

    :param sent: whether the source may have been asked for it.
    """

    reason: str
    fault: CopyFault
    sent: bool = True

    def may_have_stopped(self) -> bool:
        """Return whether the generation may have been stopped, if it was to be the final copy."""
        return self.sent and self.fault in (CopyFault.NO_ROOM, CopyFault.UNREACHABLE)


@dataclass(frozen=True)
class EngineReport:
    """The status that an engine reports.

    :param stops_in_seconds: seconds until the engine stops, if it knows.
    :param runs: the running generations.
    :param born: start time of the reporting process, in milliseconds since 1970; 0 if unknown.
    """

    stops_in_seconds: float | None
    runs: tuple[RunSize, ...]
    born: int = 0


class Dispatcher(Protocol):
    """Sends a gateway's requests to upstreams."""

    async def send(self, attempt: Attempt) -> Reply:
        """Send a request and return its response, or the event stream that it started."""

    async def copy(
        self, job: ClientRequest, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        """Copy a running generation's memory from its origin; a final copy stops it first.

        :param source: the origin.
        """

    async def report(self, instance: Instance) -> EngineReport | Failure:
        """Request an engine's status report."""

    def forget(self, instance: Instance) -> None:
        """Close the idle connections to an instance that has left."""
