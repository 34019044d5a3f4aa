"""The central object of an entry: settings, connections and what its parts share."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from daleroad.catalog import Catalog
from daleroad.catalogfollower import CatalogFollower
from daleroad.directory import Directory
from daleroad.health import Ejector
from daleroad.heldbytes import HeldBytes
from daleroad.lengths import OutputLengths
from daleroad.links import Links
from daleroad.messages import Work
from daleroad.retries import RetryBudget
from daleroad.settings import Settings
from daleroad.suspects import Suspects

_LATENCY_BUCKETS = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)


ANSWERS_BYTES = 20_000_000
"""Bytes of plain services' responses that an entry reads at a time; others wait at their
upstreams."""


@dataclass
class Inflight:
    """A generation that this entry delivers."""

    work: Work
    upstream: str
    produced: int = 0


class Metrics:
    """What an entry counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.accepted = Counter(
            "daleroad_requests", "Requests by route and end", ["route", "end"], registry=registry
        )
        self.tokens = Counter("daleroad_tokens", "Tokens delivered", registry=registry)
        self.resumed = Counter("daleroad_resumes", "Streams resumed", registry=registry)
        self.moved = Counter("daleroad_moves", "Requests moved", registry=registry)
        self.first_token = Histogram(
            "daleroad_first_token_seconds",
            "Time to the first token",
            ["urgent"],
            buckets=_LATENCY_BUCKETS,
            registry=registry,
        )
        self.inflight = Gauge("daleroad_inflight", "Generations now", registry=registry)
        self.waiting = Gauge("daleroad_waiting", "Works queued here", registry=registry)
        self.promised = Gauge(
            "daleroad_upstream_load", "Promised load", ["upstream"], registry=registry
        )
        self.preemptions = Gauge(
            "daleroad_upstream_preemptions", "As reported", ["upstream"], registry=registry
        )


@dataclass
class Environment:
    """Settings and shared parts of one entry; parts reach each other only through it.

    :param answers: the responses of plain services that are being read.
    :param ends_at: when the entry cuts off what it still answers; never until it is told to stop.
    """

    settings: Settings
    links: Links
    random: Random
    catalog: Catalog = field(default_factory=Catalog)
    lengths: OutputLengths = field(default_factory=OutputLengths)
    budget: RetryBudget = field(default_factory=RetryBudget)
    ejector: Ejector = field(default_factory=Ejector)
    suspects: Suspects = field(default_factory=Suspects)
    metrics: Metrics = field(default_factory=Metrics)
    inflight: dict[str, Inflight] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)
    answers: HeldBytes = field(default_factory=lambda: HeldBytes(ANSWERS_BYTES))
    tasks: TaskGroup | None = None
    ends_at: float = float("inf")

    def __post_init__(self) -> None:
        self.directory = Directory(self.catalog)
        self.follower = CatalogFollower(self.settings, self.links, self.catalog)

    def spawn(self, func: Callable[..., Coroutine[Any, Any, Any]], *args: Any) -> None:
        """Run something in the background for as long as the entry runs.

        :param func: the coroutine function.
        :param args: its arguments.
        """
        if self.tasks is not None:
            self.tasks.start_soon(func, *args)
