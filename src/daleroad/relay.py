"""Streams one generation from an engine over HTTP and resumes it after an interruption.

Interruptions are closed connections, stalls and gaps in the token indexes. Each stage is an async
generator: response chunks, then events, then frames, then the parts that the caller gets.
Frames of another generation are never delivered.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from random import Random

import anyio
import httpx

from daleroad.calls import parse_problem
from daleroad.codec import decode, encode
from daleroad.defaults import CALL_TIMEOUT_SECONDS, MAX_RESUME_TRIES
from daleroad.delivery import (
    UNDELIVERED_BYTES,
    FrameAction,
    TokenSequence,
    parse_frames,
    split_events,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.events import Event, log_event
from daleroad.links import SHORT_ANSWER_BYTES, Links, fetch, read_body
from daleroad.messages import EngineCompletion, Forbidden
from daleroad.retries import get_backoff


@dataclass(frozen=True)
class TokenChunk:
    """Complete events for the caller and the number of tokens in them."""

    raw: bytes
    count: int


@dataclass(frozen=True)
class StreamEnded:
    """The generation is complete; ``raw`` is its end event."""

    raw: bytes
    tokens: int


@dataclass(frozen=True)
class StreamFailed:
    """The generation can't be resumed."""

    failure: Failure


StreamPart = TokenChunk | StreamEnded | StreamFailed


@dataclass(frozen=True)
class _Interruption:
    """A response that ended before the generation did.

    :param final: whether a resume is pointless.
    """

    failure: Failure
    final: bool = False


@dataclass
class EngineStream:
    """Reads one generation from an engine.

    :param links: HTTP clients.
    :param address: base URL of the engine.
    :param delivery: position in the token sequence.
    :param stall_seconds: read timeout of the stream.
    :param urgent: whether to use the connection pool for urgent requests.
    :param random: source of jitter.
    :param resumes: resume requests made so far.
    """

    links: Links
    address: str
    delivery: TokenSequence
    stall_seconds: float
    urgent: bool
    random: Random
    resumes: int = 0

    async def start(self, completion: EngineCompletion) -> AsyncGenerator[StreamPart, None]:
        """Dispatch a generation and yield its parts.

        :param completion: the request for the engine; it is sent once and never retried.
        """
        first = self._stream_response("POST", "/v1/completions", encode(completion))
        async with aclosing(self._read_with_resumes(first)) as parts:
            async for part in parts:
                yield part

    async def resume(self) -> AsyncGenerator[StreamPart, None]:
        """Yield the remaining parts of a generation that was dispatched earlier."""
        async with aclosing(self._read_with_resumes(self._request_resume())) as parts:
            async for part in parts:
                yield part

    def _request_resume(self) -> AsyncGenerator[bytes | _Interruption, None]:
        generation, index = self.delivery.generation, self.delivery.next_index
        return self._stream_response("GET", f"/v1/generations/{generation}?from={index}", None)

    async def _read_with_resumes(
        self, source: AsyncGenerator[bytes | _Interruption, None]
    ) -> AsyncGenerator[StreamPart, None]:
        tries_without_progress = 0
        while True:
            index_before = self.delivery.next_index
            interruption = _Interruption(
                Failure(FailureKind.UPSTREAM_LOST, "the stream ended early", Ran.UNKNOWN)
            )
            async with aclosing(self._assemble_parts(source)) as parts:
                async for part in parts:
                    if isinstance(part, _Interruption):
                        interruption = part
                        break
                    yield part
                    if isinstance(part, StreamEnded):
                        return
            tries_without_progress = (
                0 if self.delivery.next_index > index_before else tries_without_progress + 1
            )
            if interruption.final or tries_without_progress > MAX_RESUME_TRIES:
                yield StreamFailed(interruption.failure)
                return
            await anyio.sleep(get_backoff(tries_without_progress, self.random))
            self.resumes += 1
            log_event(
                Event.STREAM_RESUMED,
                generation=self.delivery.generation,
                index=self.delivery.next_index,
            )
            source = self._request_resume()

    async def _assemble_parts(
        self, source: AsyncGenerator[bytes | _Interruption, None]
    ) -> AsyncGenerator[TokenChunk | StreamEnded | _Interruption, None]:
        """Turn response chunks into parts for the caller, up to the end or the first gap."""
        buffer = bytearray()
        undelivered = 0
        async with aclosing(source) as chunks:
            async for chunk in chunks:
                if isinstance(chunk, _Interruption):
                    yield chunk
                    return
                undelivered += len(chunk)
                delivered: list[bytes] = []
                verdict: FrameAction | None = None
                end_event = b""
                for frame in parse_frames(split_events(buffer, chunk)):
                    verdict = self.delivery.accept(frame)
                    if verdict is FrameAction.DELIVER:
                        delivered.append(frame.raw)
                    elif verdict is not FrameAction.DROP:
                        end_event = frame.raw
                        break
                if delivered:
                    undelivered = 0
                    yield TokenChunk(b"\n\n".join(delivered) + b"\n\n", len(delivered))
                if verdict is FrameAction.END:
                    yield StreamEnded(end_event + b"\n\n", self.delivery.next_index)
                    return
                if verdict is FrameAction.GAP:
                    yield _Interruption(
                        Failure(FailureKind.UPSTREAM_LOST, "gap in the token indexes", Ran.UNKNOWN)
                    )
                    return
                if undelivered > UNDELIVERED_BYTES:
                    reason = f"no token in {undelivered} bytes"
                    yield _Interruption(Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN))
                    return

    async def _stream_response(
        self, method: str, path: str, body: bytes | None
    ) -> AsyncGenerator[bytes | _Interruption, None]:
        """Yield the chunks of one response, then its interruption if there is one."""
        client = self.links.urgent if self.urgent else self.links.long
        try:
            with anyio.fail_after(self.stall_seconds):
                request = client.build_request(method, self.address + path, content=body)
                response = await client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            ran = Ran.NO if method == "POST" else Ran.UNKNOWN
            failure = Failure(FailureKind.UPSTREAM_LOST, f"connection failed: {error!r}", ran)
            yield _Interruption(failure, final=method == "POST")
            return
        except (httpx.HTTPError, TimeoutError) as error:
            yield _Interruption(Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN))
            return
        try:
            if response.status_code >= 400:
                yield await self._parse_error_response(response, method)
                return
            async for chunk in self._read_chunks(response):
                yield chunk
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await response.aclose()

    async def _parse_error_response(self, response: httpx.Response, method: str) -> _Interruption:
        try:
            with anyio.fail_after(self.stall_seconds):
                problem = parse_problem(await read_body(response, SHORT_ANSWER_BYTES))
        except (httpx.HTTPError, TimeoutError) as error:
            failure = Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN)
            return _Interruption(failure)
        ran = problem.ran if method == "POST" else Ran.UNKNOWN
        reason = f"{problem.kind.value}: {problem.reason}"
        failure = Failure(FailureKind.UPSTREAM_REFUSED, reason, ran, problem.retry_after)
        return _Interruption(failure, final=True)

    async def _read_chunks(
        self, response: httpx.Response
    ) -> AsyncGenerator[bytes | _Interruption, None]:
        chunks = response.aiter_raw()
        while True:
            try:
                with anyio.fail_after(self.stall_seconds):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                reason = "the stream ended early"
                yield _Interruption(Failure(FailureKind.UPSTREAM_LOST, reason, Ran.UNKNOWN))
                return
            except TimeoutError:
                yield _Interruption(
                    Failure(FailureKind.STALLED, "no data within the stall timeout", Ran.UNKNOWN)
                )
                return
            except httpx.HTTPError as error:
                yield _Interruption(Failure(FailureKind.UPSTREAM_LOST, f"{error!r}", Ran.UNKNOWN))
                return
            yield chunk


async def cancel_generation(links: Links, address: str, generation: str) -> Forbidden | Failure:
    """Tell an engine to cancel a generation, or to reject it if it arrives later.

    :param links: HTTP clients.
    :param address: base URL of the engine.
    :param generation: id of the generation.
    """
    try:
        url = f"{address}/v1/forbid/{generation}"
        answer = await fetch(links.urgent, "POST", url, SHORT_ANSWER_BYTES, CALL_TIMEOUT_SECONDS)
    except (httpx.HTTPError, TimeoutError) as error:
        return Failure(FailureKind.UNREACHABLE, f"{error!r}", Ran.UNKNOWN)
    if answer.status != 200:
        return Failure(FailureKind.UNREACHABLE, f"HTTP status {answer.status}", Ran.UNKNOWN)
    return decode(Forbidden, answer.body)
