"""Small fakes at the product's interfaces: upstreams that answer as a test says."""

from collections.abc import AsyncIterator, Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import anyio

from daleroad.choosing import GatewayOptions
from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    Copied,
    CopyFault,
    EngineReport,
    Lost,
    NotCopied,
    Prompt,
    Reply,
    StreamEvent,
    Whole,
)
from daleroad.errors import Failure, FailureKind
from daleroad.forwarding import Forwarder
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.metrics import Metrics, RequestMetrics
from daleroad.migration import EngineMigrator
from daleroad.routing import (
    EngineRule,
    Repeat,
    RouteRule,
    RoutingConfig,
    ServiceRule,
    Target,
)
from daleroad.runs import StreamRegistry

ENGINE = EngineRule(24, 34_000, 0.00005, True, True)
PROMPT = Prompt((("p", 3000),), 3000, 2000)
WHOLE = Whole(200, (), b"answer")


def make_config(
    repeat: Repeat, attempts: int = 1, engine: bool = False, resumable: bool = False
) -> RoutingConfig:
    """Return a configuration with one route to one service."""
    route = RouteRule(
        name="r",
        host="h",
        prefix="/",
        repeat=repeat,
        timeout=2.0,
        objective=0.2,
        pause=0.2,
        rank=1,
        targets=(Target("s", 1.0),),
        attempts=attempts,
        public=True,
        prompts=engine,
        resumable=resumable,
    )
    service = ServiceRule("s", "/", 100, ENGINE if engine else None)
    return RoutingConfig(7, (route,), (service,), ())


def make_job(now: float, seconds: float = 5.0, prompt: Prompt | None = None) -> ClientRequest:
    """Return a request that arrives now."""
    return ClientRequest(
        "id1", "POST", b"/x", "h", "/x", (), b"body", "", now, now + seconds, prompt
    )


class FakeStream:
    """A stream of events; a cut one ends with a loss."""

    status = 200
    headers = ()
    delimited = True

    def __init__(self, first: int, last: int, cut: bool = False, wait: Callable | None = None):
        self._events = range(first, last + 1)
        self._cut = cut
        self._wait = wait
        self.closed = False

    async def events(self) -> AsyncIterator[StreamEvent | Lost]:
        for number in self._events:
            yield StreamEvent(f"event {number}".encode(), str(number))
        if self._wait is not None:
            await self._wait()
        if self._cut:
            yield Lost("cut")

    async def close(self) -> None:
        self.closed = True


class FakeDispatcher:
    """Answers with what a test prepared, one reply for each send, and notes what was asked."""

    def __init__(self, *replies: Reply) -> None:
        self.replies = list(replies)
        self.attempts: list[Attempt] = []
        self.copies: list[tuple[str, str, bool]] = []
        self.copied: Copied | NotCopied = NotCopied("no", CopyFault.UNREACHABLE)
        self.copied_at: list[float] = []
        self.reported: EngineReport | None = None
        self.on_send: Callable | None = None

    async def send(self, attempt: Attempt) -> Reply:
        self.attempts.append(attempt)
        if self.on_send is not None:
            await self.on_send()
        return self.replies.pop(0)

    async def copy(
        self, job: ClientRequest, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        self.copies.append((source.id, destination.id, final))
        self.copied_at.append(anyio.current_time())
        return self.copied

    async def report(self, instance: Instance) -> EngineReport | Failure:
        return self.reported or Failure(FailureKind.UNREACHABLE, "no report")

    def forget(self, instance: Instance) -> None:
        pass


def make_instance(number: int, state: InstanceState = InstanceState.READY) -> Instance:
    """Return an upstream of the one service."""
    return Instance(f"i{number}", "s", f"10.0.0.{number}:1", "z", 24, state, 1)


def make_gateway(dispatcher: FakeDispatcher, config: RoutingConfig | None, now: float) -> Gateway:
    """Return a gateway that knows three upstreams."""
    options = GatewayOptions("10.0.0.9:80", "z", "region", (), 1.0, 0.2, 30, 10.0)
    gateway = Gateway(options, dispatcher, Random(1))
    gateway.last_heard_at = now
    if config is not None:
        gateway.replace_config(config)
    for number in (1, 2, 3):
        gateway.fleet.note(Sighting(make_instance(number), 0.0), now)
    return gateway


def make_forwarder(gateway: Gateway) -> Forwarder:
    """Return what serves requests for a gateway."""
    runs = StreamRegistry(gateway, EngineMigrator(gateway))
    return Forwarder(gateway, runs, RequestMetrics(Metrics()))


def make_serving_gateway(table: Any = None) -> Any:
    """Return what the client application needs of a gateway that serves.

    :param table: the routing table.
    """
    return SimpleNamespace(
        open_requests=0,
        serving=True,
        table=table,
        is_ready=lambda: True,
        exits_at=float("inf"),
        limit_attempt=lambda time: anyio.CancelScope(deadline=time),
    )
