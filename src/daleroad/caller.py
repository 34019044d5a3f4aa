"""A caller: asks where to connect, streams, and resumes elsewhere when an entry dies."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from contextlib import aclosing
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any, TypeAlias
from uuid import uuid4

import anyio
import httpx
import orjson

from daleroad.calls import parse_problem
from daleroad.codec import decode
from daleroad.daleroad_pb import LocateAnswer, LocateRequest
from daleroad.delivery import (
    UNDELIVERED_BYTES,
    Frame,
    FrameAction,
    TokenSequence,
    parse_frames,
    split_events,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.links import SHORT_ANSWER_BYTES, fetch, make_client, read_body
from daleroad.publicmessages import read_message
from daleroad.retries import get_backoff
from daleroad.settings import Tls

_LOCATE = "/daleroad.v1.Locator/Locate"
_LOCATE_SECONDS = 2.0
_TRIES = 12
_SILENCE_SECONDS = 30.0


@dataclass(frozen=True)
class Token:
    """One token of an answer."""

    index: int
    text: str


@dataclass(frozen=True)
class Whole:
    """The answer is whole."""

    generation: str
    tokens: int


CallerPart: TypeAlias = Token | Whole | Failure


@dataclass
class _Progress:
    """Where one answer stands."""

    key: str
    delivery: TokenSequence | None = None
    resumes: int = 0


@dataclass
class Caller:
    """Calls from one organisation.

    :param seeds: base URLs of some entries, to ask first.
    :param token: the organisation's token.
    :param zone: the caller's availability zone, or empty.
    """

    seeds: Sequence[str]
    token: str
    zone: str = ""
    tls: Tls = Tls()
    random: Random = field(default_factory=Random)
    resumes: int = 0
    _addresses: list[str] = field(default_factory=list)
    _keep_until: float = float("-inf")

    def __post_init__(self) -> None:
        self._client = make_client(self.tls, _SILENCE_SECONDS)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def locate(self) -> list[str] | Failure:
        """Return addresses of entries to use, from an answer that may be kept."""
        if self._addresses and anyio.current_time() < self._keep_until:
            return self._addresses
        body = LocateRequest(zone=self.zone).to_json()
        headers = {"content-type": "application/json"}
        for seed in [*self._addresses, *self.random.sample(list(self.seeds), len(self.seeds))]:
            try:
                answer = await self._ask(seed, body, headers)
            except (httpx.HTTPError, TimeoutError):
                continue
            if isinstance(answer, LocateAnswer) and answer.addresses:
                self._addresses = list(answer.addresses)
                self._keep_until = anyio.current_time() + answer.keep_seconds
                return self._addresses
        return Failure(FailureKind.UNREACHABLE, "no entry answers locate", Ran.NO, 1.0)

    async def _ask(
        self, seed: str, body: str, headers: dict[str, str]
    ) -> LocateAnswer | Failure | None:
        url, most, seconds = seed + _LOCATE, SHORT_ANSWER_BYTES, _LOCATE_SECONDS
        found = await fetch(self._client, "POST", url, most, seconds, content=body, headers=headers)
        return read_message(LocateAnswer, found.body) if found.status == HTTPStatus.OK else None

    async def generate(
        self, route: str, prompt: str, key: str = "", max_tokens: int = 0
    ) -> AsyncGenerator[CallerPart, None]:
        """Yield an answer token by token, then how it ended.

        :param route: the route.
        :param prompt: the prompt.
        :param key: idempotency key; one is made if empty, so that retries are safe.
        :param max_tokens: limit of the output; 0 leaves it to the route.
        """
        body = orjson.dumps({"route": route, "prompt": prompt, "max_tokens": max_tokens})
        progress = _Progress(key or uuid4().hex)
        failure = Failure(FailureKind.UNREACHABLE, "not tried", Ran.NO)
        for attempt in range(_TRIES):
            before = progress.delivery.next_index if progress.delivery else 0
            async with aclosing(self._try(body, progress, attempt)) as parts:
                async for part in parts:
                    if isinstance(part, Failure):
                        failure = part
                        break
                    yield part
                    if isinstance(part, Whole):
                        return
            if not _is_passing(failure):
                break
            moved = progress.delivery is not None and progress.delivery.next_index > before
            delay = 0.0 if moved else max(failure.retry_after or 0.0, 0.0)
            await anyio.sleep(delay + get_backoff(attempt, self.random))
        yield failure

    async def _try(
        self, body: bytes, progress: _Progress, attempt: int
    ) -> AsyncGenerator[CallerPart, None]:
        addresses = await self.locate()
        if isinstance(addresses, Failure):
            yield addresses
            return
        address = addresses[attempt % len(addresses)]
        headers = {
            "authorization": f"Bearer {self.token}",
            "content-type": "application/json",
            "idempotency-key": progress.key,
        }
        if progress.delivery is not None and progress.delivery.next_index:
            last = progress.delivery.next_index - 1
            headers["last-event-id"] = f"{progress.delivery.generation}:{last}"
            self.resumes += 1
        try:
            async with self._client.stream(
                "POST", f"{address}/v1/completions", content=body, headers=headers
            ) as response:
                if response.status_code != 200:
                    yield parse_problem(await read_body(response, SHORT_ANSWER_BYTES))
                    return
                generation = response.headers.get("x-generation", "")
                if progress.delivery is None or not progress.delivery.next_index:
                    progress.delivery = TokenSequence(generation)
                async for part in _read(response, progress.delivery):
                    yield part
        except httpx.HTTPError as error:
            self._keep_until = float("-inf")
            yield Failure(FailureKind.UNREACHABLE, f"{address}: {error!r}", Ran.UNKNOWN)


def _is_passing(failure: Failure) -> bool:
    """Return whether another try with the same key may go better."""
    return failure.kind in (
        FailureKind.UNREACHABLE,
        FailureKind.NO_LEASE,
        FailureKind.NO_MAJORITY,
        FailureKind.NO_UPSTREAM,
        FailureKind.DRAINING,
        FailureKind.KEY_RUNNING,
    )


async def _read(
    response: httpx.Response, delivery: TokenSequence
) -> AsyncGenerator[CallerPart, None]:
    """Yield the parts of one response; each token once and in order."""
    buffer = bytearray()
    undelivered = 0
    async for chunk in response.aiter_raw():
        undelivered += len(chunk)
        for frame in parse_frames(split_events(buffer, chunk)):
            if frame.raw.startswith(b"event: error"):
                yield parse_problem(frame.raw.rpartition(b"data: ")[2])
                return
            match delivery.accept(frame):
                case FrameAction.DELIVER:
                    undelivered = 0
                    yield _parse_token(frame)
                case FrameAction.END:
                    yield Whole(delivery.generation, delivery.next_index)
                    return
                case FrameAction.GAP:
                    yield Failure(FailureKind.UNREACHABLE, "a gap", Ran.PARTIAL)
                    return
                case FrameAction.DROP:
                    pass
        if undelivered > UNDELIVERED_BYTES:
            reason = f"no token in {undelivered} bytes"
            yield Failure(FailureKind.UNREACHABLE, reason, Ran.PARTIAL)
            return
    yield Failure(FailureKind.UNREACHABLE, "the stream ended early", Ran.PARTIAL)


def _parse_token(frame: Frame) -> Token | Failure:
    found = decode(Mapping[str, Any], frame.raw.rpartition(b"data: ")[2])
    if isinstance(found, Failure) or not isinstance(found.get("text"), str):
        return Failure(FailureKind.UPSTREAM_LOST, "an event that is no token", Ran.PARTIAL)
    return Token(frame.index, found["text"])
