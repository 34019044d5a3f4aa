"""Relays one generation from an engine: resumes after cuts, stalls and gaps, never splices.

The stages are generators: chunks of a response, events, frames, pieces for the caller.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from random import Random

import anyio
import httpx

from daleroad.calls import parse_problem
from daleroad.codec import decode, encode
from daleroad.defaults import CALL_TIMEOUT_SECONDS, RESUME_TRIES
from daleroad.delivery import Delivery, Verdict, parse_frames, split_events
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.links import Links
from daleroad.messages import EngineCompletion, Forbidden
from daleroad.retries import get_backoff


@dataclass(frozen=True)
class Piece:
    """Whole events for the caller, with how many tokens they carry."""

    raw: bytes
    count: int


@dataclass(frozen=True)
class Ended:
    """The generation is whole."""

    raw: bytes
    tokens: int


@dataclass(frozen=True)
class Broken:
    """The generation can't be had further."""

    failure: Failure


Part = Piece | Ended | Broken


@dataclass(frozen=True)
class _Cut:
    """A response ended early; ``failure`` says how it looks from here."""

    failure: Failure
    final: bool = False


@dataclass
class Relay:
    """Reads one generation.

    :param links: connections.
    :param address: the engine's base URL.
    :param delivery: where the delivery stands.
    :param stall: seconds without any byte after which a link is taken as stalled.
    :param urgent: which pool of connections to use.
    :param random: source of jitter.
    """

    links: Links
    address: str
    delivery: Delivery
    stall: float
    urgent: bool
    random: Random
    resumes: int = 0

    async def start(self, order: EngineCompletion) -> AsyncGenerator[Part, None]:
        """Dispatch a generation and yield its parts.

        :param order: what the engine should run; sent once and never again.
        """
        first = self._request("POST", "/v1/completions", encode(order))
        async with aclosing(self._read(first)) as parts:
            async for part in parts:
                yield part

    async def resume(self) -> AsyncGenerator[Part, None]:
        """Yield the parts of a generation that was dispatched before."""
        async with aclosing(self._read(self._make_resume())) as parts:
            async for part in parts:
                yield part

    def _make_resume(self) -> AsyncGenerator[bytes | _Cut, None]:
        generation, index = self.delivery.generation, self.delivery.next_index
        return self._request("GET", f"/v1/generations/{generation}?from={index}", None)

    async def _read(self, source: AsyncGenerator[bytes | _Cut, None]) -> AsyncGenerator[Part, None]:
        tries = 0
        while True:
            before = self.delivery.next_index
            cut = _Cut(Failure(FailureKind.UPSTREAM_LOST, "the stream ended early", Ran.UNKNOWN))
            async with aclosing(self._judge(source)) as parts:
                async for part in parts:
                    if isinstance(part, _Cut):
                        cut = part
                        break
                    yield part
                    if isinstance(part, Ended):
                        return
            tries = 0 if self.delivery.next_index > before else tries + 1
            if cut.final or tries > RESUME_TRIES:
                yield Broken(cut.failure)
                return
            await anyio.sleep(get_backoff(tries, self.random))
            self.resumes += 1
            log_event(
                Event.STREAM_RESUMED,
                generation=self.delivery.generation,
                index=self.delivery.next_index,
            )
            source = self._make_resume()

    async def _judge(
        self, source: AsyncGenerator[bytes | _Cut, None]
    ) -> AsyncGenerator[Piece | Ended | _Cut, None]:
        """Turn chunks into pieces, and stop at the first gap."""
        buffer = bytearray()
        async with aclosing(source) as chunks:
            async for chunk in chunks:
                if isinstance(chunk, _Cut):
                    yield chunk
                    return
                kept: list[bytes] = []
                last: Verdict | None = None
                end = b""
                for frame in parse_frames(split_events(buffer, chunk)):
                    last = self.delivery.judge(frame)
                    if last is Verdict.DELIVER:
                        kept.append(frame.raw)
                    elif last is not Verdict.DROP:
                        end = frame.raw
                        break
                if kept:
                    yield Piece(b"\n\n".join(kept) + b"\n\n", len(kept))
                if last is Verdict.END:
                    yield Ended(end + b"\n\n", self.delivery.next_index)
                    return
                if last is Verdict.GAP:
                    yield _Cut(Failure(FailureKind.UPSTREAM_LOST, "a gap", Ran.UNKNOWN))
                    return

    async def _request(
        self, method: str, path: str, body: bytes | None
    ) -> AsyncGenerator[bytes | _Cut, None]:
        """Yield the chunks of one response, then how it was cut if it was."""
        client = self.links.urgent if self.urgent else self.links.long
        try:
            with anyio.fail_after(self.stall):
                request = client.build_request(method, self.address + path, content=body)
                response = await client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            ran = Ran.NO if method == "POST" else Ran.UNKNOWN
            failure = Failure(FailureKind.UPSTREAM_LOST, f"no connection: {error!r}", ran)
            yield _Cut(failure, final=method == "POST")
            return
        except (httpx.HTTPError, TimeoutError) as error:
            yield _Cut(Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN))
            return
        try:
            if response.status_code >= 400:
                yield await self._parse_refusal(response, method)
                return
            async for chunk in self._read_chunks(response):
                yield chunk
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await response.aclose()

    async def _parse_refusal(self, response: httpx.Response, method: str) -> _Cut:
        try:
            problem = parse_problem(await response.aread())
        except httpx.HTTPError as error:
            failure = Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN)
            return _Cut(failure)
        ran = problem.ran if method == "POST" else Ran.UNKNOWN
        reason = f"{problem.kind.value}: {problem.reason}"
        failure = Failure(FailureKind.UPSTREAM_REFUSED, reason, ran, problem.retry_after)
        return _Cut(failure, final=True)

    async def _read_chunks(self, response: httpx.Response) -> AsyncGenerator[bytes | _Cut, None]:
        chunks = response.aiter_raw()
        while True:
            try:
                with anyio.fail_after(self.stall):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                reason = "the stream ended early"
                yield _Cut(Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN))
                return
            except TimeoutError:
                yield _Cut(Failure(FailureKind.STALLED, "no progress", Ran.UNKNOWN))
                return
            except httpx.HTTPError as error:
                yield _Cut(Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN))
                return
            yield chunk


async def forbid(links: Links, address: str, generation: str) -> Forbidden | Failure:
    """Tell an engine to cancel a generation, and to refuse it if it comes later.

    :param links: connections.
    :param address: the engine's base URL.
    :param generation: the generation.
    """
    try:
        response = await links.short.post(
            f"{address}/v1/forbid/{generation}", timeout=CALL_TIMEOUT_SECONDS
        )
    except httpx.HTTPError as error:
        return Failure(FailureKind.UNREACHABLE, f"{error!r}", Ran.UNKNOWN)
    if response.status_code != 200:
        return Failure(FailureKind.UNREACHABLE, f"status {response.status_code}", Ran.UNKNOWN)
    return decode(Forbidden, response.content)
