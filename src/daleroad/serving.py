"""The HTTP face: a small router as an ASGI application, and the server's settings."""

from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field, replace
from functools import partial
from http import HTTPStatus
from typing import Any, TypeAlias, TypeVar

import anyio
import orjson

from daleroad.channelserver import CHANNEL_PATH, ChannelAnswer, ChannelServer
from daleroad.clienttable import (
    ClientTable,
    ConnectionLimits,
    bound_connections,
    find_limits,
)
from daleroad.compression import ENCODING, pack, unpack
from daleroad.ending import ShutdownScopes, make_shutdown_failure
from daleroad.errors import DaleroadError, Failure, FailureKind, Ran
from daleroad.http1protocol import ServerConfig
from daleroad.httpserver import HttpServer
from daleroad.listeners import find_descriptor_limit
from daleroad.requeststate import Receive, RequestState, SendEvent
from daleroad.settings import Settings, Tls

_STATUS: dict[FailureKind, int] = {
    FailureKind.BAD_REQUEST: 400,
    FailureKind.INVALID: 400,
    FailureKind.UNAUTHENTICATED: 401,
    FailureKind.FORBIDDEN: 403,
    FailureKind.UNKNOWN_ROUTE: 404,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.KEY_CONFLICT: 409,
    FailureKind.KEY_RUNNING: 409,
    FailureKind.ALREADY_RAN: 409,
    FailureKind.TOO_LARGE: 413,
    FailureKind.NOT_LEADER: 421,
    FailureKind.LIMIT: 429,
    FailureKind.UPSTREAM_LOST: 502,
    FailureKind.UPSTREAM_REFUSED: 502,
    FailureKind.STALLED: 504,
    FailureKind.DEADLINE: 504,
}

_UNAVAILABLE = 503
_CANCELLED_SECONDS = 0.2

ENDING_SECONDS = 0.5
"""How long the server waits for requests that were cut off to be told; it takes milliseconds."""

# The server's default of a few seconds would cut long streams.
_GRACE_SECONDS = 3600.0

Headers = list[tuple[bytes, bytes]]
AsgiApp = Callable[[dict[str, Any], Receive, SendEvent], Awaitable[None]]
T = TypeVar("T")


@dataclass(frozen=True)
class Request:
    """A request with its body. ``tail`` is the path behind the route's prefix."""

    method: str
    path: str
    tail: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Response:
    """A response whose body is whole."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Stream:
    """A response whose body comes in pieces. The first piece is waited for before the head."""

    pieces: AsyncGenerator[bytes, None]
    content_type: str = "text/event-stream"
    headers: tuple[tuple[str, str], ...] = ()


Answer: TypeAlias = Response | Stream | Failure
Handler = Callable[[Request], Awaitable[Answer]]


@dataclass
class Router:
    """Dispatches requests by method and path prefix.

    :param body_bytes: the largest body that is accepted.
    :param compress: whether compressed bodies are read, and whole answers compressed for callers
        that take them so; not where bodies only pass through.
    :param shutdown_scopes: cuts off what is still answered at the process's end;
        :func:`serve_app` gives it.
    :param channels: serves channels; without it calls come one in a request.
    :param authorize: returns why a request is refused, by its headers; nothing more is read then.
    """

    body_bytes: int
    compress: bool = False
    routes: dict[tuple[str, str], Handler] = field(default_factory=dict)
    mounts: dict[str, AsgiApp] = field(default_factory=dict)
    shutdown_scopes: ShutdownScopes | None = None
    channels: ChannelServer | None = None
    authorize: Callable[[Mapping[str, str]], Failure | None] = field(default=lambda headers: None)

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Add a handler.

        :param method: the HTTP method, or ``*`` for any.
        :param path: a whole path, or a prefix that ends in ``/``.
        :param handler: what answers.
        """
        self.routes[method, path] = handler

    def mount(self, path: str, app: AsgiApp) -> None:
        """Let an ASGI application answer all below a path.

        :param path: the path prefix.
        :param app: the application.
        """
        self.mounts[path] = app

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: SendEvent) -> None:
        """Answer one ASGI connection."""
        state = RequestState(receive, send)
        await self._serve(scope, state.receive, state.send)

    async def _serve(self, scope: dict[str, Any], receive: Receive, send: SendEvent) -> None:
        for path, app in self.mounts.items():
            if scope["path"].startswith(path):
                await app(scope, receive, send)
                return
        headers = {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in scope["headers"]}
        if self.channels is not None and scope["path"] == CHANNEL_PATH:
            refusal = self.authorize(headers)
            if refusal is None:
                await self.channels.serve(partial(self._answer_call, headers), receive, send)
            else:
                await _send_response(make_response(refusal), scope["method"], send)
            return
        answer = await self._answer(scope, headers, receive)
        if self.compress and ENCODING in headers.get("accept-encoding", ""):
            answer = _compress(answer)
        await _send_answer(answer, scope["method"], receive, send, self.shutdown_scopes)

    async def _answer(
        self, scope: dict[str, Any], headers: Mapping[str, str], receive: Receive
    ) -> Answer:
        found = self._find(scope["method"], scope["path"])
        if isinstance(found, Failure):
            return found
        handler, tail = found
        refusal = self.authorize(headers)
        if refusal is not None:
            return refusal
        if self.shutdown_scopes is None:
            body = await self._read_body(receive)
        else:
            body = await _run_until(self.shutdown_scopes, self._read_body(receive), Ran.NO)
        packed = self.compress and headers.get("content-encoding") == ENCODING
        if packed and not isinstance(body, Failure):
            body = unpack(body, self.body_bytes)
        if isinstance(body, Failure):
            return body
        query = scope.get("query_string", b"").decode("latin-1")
        request = Request(scope["method"], scope["path"], tail, query, headers, body)
        try:
            if self.shutdown_scopes is None:
                return await handler(request)
            return await _handle_until(self.shutdown_scopes, handler, request)
        except DaleroadError as error:
            return error.failure

    async def _answer_call(
        self, headers: Mapping[str, str], path: str, body: bytes
    ) -> ChannelAnswer:
        """Answer one call that came on a channel."""
        found = self._find("POST", path)
        if isinstance(found, Failure):
            return _make_channel_answer(found)
        handler, tail = found
        try:
            request = Request("POST", path, tail, "", headers, body)
            return _make_channel_answer(await handler(request))
        except DaleroadError as error:
            return _make_channel_answer(error.failure)

    def _find(self, method: str, path: str) -> tuple[Handler, str] | Failure:
        best = ""
        for known_method, known in self.routes:
            fits = path == known or (known.endswith("/") and path.startswith(known))
            if fits and known_method in (method, "*") and len(known) > len(best):
                best = known
        if not best:
            return Failure(FailureKind.NOT_FOUND, f"nothing at {method} {path}")
        handler = self.routes.get((method, best)) or self.routes["*", best]
        return handler, path[len(best) :]

    async def _read_body(self, receive: Receive) -> bytes | Failure:
        # One buffer: a list of its parts takes many times their size if they are small.
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return Failure(FailureKind.BAD_REQUEST, "the caller went away")
            body += event.get("body", b"")
            if len(body) > self.body_bytes:
                reason = f"the body is larger than {self.body_bytes} bytes"
                return Failure(FailureKind.TOO_LARGE, reason)
            if not event.get("more_body", False):
                return bytes(body)


async def _handle_until(ending: ShutdownScopes, handler: Handler, request: Request) -> Answer:
    """Answer a request, but not beyond the process's end."""
    if ending.is_shut_down:
        return make_shutdown_failure(Ran.NO)
    return await _run_until(ending, handler(request), Ran.UNKNOWN)


async def _run_until(ending: ShutdownScopes, work: Awaitable[T], ran: Ran) -> T | Failure:
    """Wait for work, but not beyond the process's end; ``ran`` says what a cut may have done."""
    with ending.open_scope():
        return await work
    return make_shutdown_failure(ran)


def make_problem(failure: Failure) -> dict[str, object]:
    """Return a failure as the members of an RFC 9457 problem document.

    :param failure: the failure.
    """
    return {
        "type": f"urn:daleroad:{failure.kind.value}",
        "title": failure.kind.value,
        "detail": failure.reason,
        "ran": failure.ran.value,
        "retry_after": failure.retry_after,
    }


def make_response(failure: Failure) -> Response:
    """Return a failure as an HTTP response.

    :param failure: the failure.
    """
    headers: tuple[tuple[str, str], ...] = ()
    if failure.retry_after is not None:
        headers = (("retry-after", str(max(1, round(failure.retry_after + 0.5)))),)
    status = _STATUS.get(failure.kind, _UNAVAILABLE)
    body = orjson.dumps(make_problem(failure))
    return Response(status, body, "application/problem+json", headers)


def make_error(failure: Failure) -> bytes:
    """Return the typed end of a stream that can't be made whole.

    :param failure: why it can't.
    """
    partial = replace(failure, ran=Ran.PARTIAL)
    return b"event: error\ndata: " + orjson.dumps(make_problem(partial)) + b"\n\n"


def _make_channel_answer(answer: Answer) -> ChannelAnswer:
    """Return an answer in the form that channels carry."""
    match answer:
        case Response():
            return ChannelAnswer(answer.status, answer.body)
        case Failure():
            response = make_response(answer)
            return ChannelAnswer(response.status, response.body)
        case Stream():
            raise DaleroadError(Failure(FailureKind.BAD_REQUEST, "channels carry no streams"))


def _compress(answer: Answer) -> Answer:
    """Return an answer in compressed form where that is shorter."""
    packed = pack(answer.body) if isinstance(answer, Response) else None
    if packed is None or not isinstance(answer, Response):
        return answer
    headers = (*answer.headers, ("content-encoding", ENCODING))
    return replace(answer, body=packed, headers=headers)


def has_length(method: str, status: int) -> bool:
    """Return whether a whole response states the length of its body.

    One to HEAD doesn't know it, and those without a body must not name any (RFC 9110, 8.6).

    :param method: the request's method.
    :param status: the response's status.
    """
    return method != "HEAD" and status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


async def _send_answer(
    answer: Answer,
    method: str,
    receive: Receive,
    send: SendEvent,
    ending: ShutdownScopes | None,
) -> None:
    match answer:
        case Failure():
            await _send_response(make_response(answer), method, send)
        case Response():
            await _send_response(answer, method, send)
        case Stream():
            await _send_while_connected(answer, method, receive, send, ending)


async def _send_response(response: Response, method: str, send: SendEvent) -> None:
    headers = _make_headers(response.content_type, response.headers)
    if has_length(method, response.status):
        headers.append((b"content-length", str(len(response.body)).encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})


async def _send_while_connected(
    stream: Stream,
    method: str,
    receive: Receive,
    send: SendEvent,
    ending: ShutdownScopes | None,
) -> None:
    """Send a stream, but stop when the caller goes away."""

    async def watch() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        async with aclosing(stream.pieces):
            await _send_stream(stream, method, send, ending)
        tasks.cancel_scope.cancel()


async def _send_stream(
    stream: Stream, method: str, send: SendEvent, ending: ShutdownScopes | None
) -> None:
    piece = await _take_piece(stream.pieces, ending)
    if isinstance(piece, Failure):
        await _send_response(make_response(piece), method, send)
        return
    headers = _make_headers(stream.content_type, stream.headers)
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    while isinstance(piece, bytes):
        await send({"type": "http.response.body", "body": piece, "more_body": True})
        piece = await _take_piece(stream.pieces, ending)
    body = b"" if piece is None else make_error(piece)
    await send({"type": "http.response.body", "body": body})


async def _take_piece(
    pieces: AsyncGenerator[bytes, None], ending: ShutdownScopes | None
) -> bytes | Failure | None:
    """Return a stream's next piece, nothing at its end, or a failure where it is cut off."""
    # Only the wait is cut off: a piece that is being sent may be the last, without error behind it.
    if ending is None:
        return await anext(pieces, None)
    return await _run_until(ending, anext(pieces, None), Ran.UNKNOWN)


def _make_headers(content_type: str, extra: tuple[tuple[str, str], ...]) -> Headers:
    headers = [(b"content-type", content_type.encode())]
    headers.extend((name.encode(), value.encode()) for name, value in extra)
    return headers


def make_config(binds: list[str], tls: Tls) -> ServerConfig:
    """Return the server's settings without the library's default limits.

    :param binds: each IP:PORT to listen on.
    :param tls: key files.
    """
    config = ServerConfig()
    config.bind = binds
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = 75.0
    config.keep_alive_max_requests = 1_000_000
    config.backlog = 1024
    config.include_server_header = False
    if tls.certificate:
        config.certfile = tls.certificate
        config.keyfile = tls.key
    return config


def make_client_table(settings: Settings) -> ClientTable:
    """Return the table for the connections of a process's clients.

    :param settings: the settings of the process.
    """
    connections = bound_connections(settings.connections_most, find_descriptor_limit())
    return ClientTable(ConnectionLimits(connections, settings.connection_bytes))


async def serve_app(
    app: Router,
    bind: str,
    tls: Tls,
    wait_stop: Callable[[], Awaitable[None]],
    grace: float = _GRACE_SECONDS,
    table: ClientTable | None = None,
) -> None:
    """Serve a router until told to stop, then until open requests ended.

    Those that are still open after the grace, or when this is cancelled, are cut off and told.

    :param app: the router.
    :param bind: IP:PORT to listen on.
    :param tls: key files.
    :param wait_stop: returns when serving should stop; it is called twice.
    :param grace: seconds that open requests get to end.
    :param table: the connections of the process's clients, by default a table of its own.
    """
    config = make_config([bind], tls)
    config.graceful_timeout = grace + ENDING_SECONDS
    ending = ShutdownScopes()
    app.shutdown_scopes = ending

    async def end_late() -> None:
        try:
            await wait_stop()
            await anyio.sleep(grace)
        finally:
            ending.cancel_all()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(end_late)
        await serve_config(app, config, wait_stop, ENDING_SECONDS, table)
        tasks.cancel_scope.cancel()


async def serve_config(
    app: AsgiApp,
    config: ServerConfig,
    wait_stop: Callable[[], Awaitable[None]],
    cancelled_grace: float = _CANCELLED_SECONDS,
    table: ClientTable | None = None,
    uncounted: frozenset[str] = frozenset(),
) -> None:
    """Serve an application by the server's settings until told to stop.

    :param app: the application.
    :param config: the settings; the idle timeout may change while it serves.
    :param wait_stop: returns when serving should stop.
    :param cancelled_grace: seconds that open requests get to end when this is cancelled.
    :param table: the connections of the process's clients, by default a table of its own.
    :param uncounted: IP:PORT of the listeners whose application counts the bodies itself.
    """
    if table is None:
        table = ClientTable(find_limits(None, find_descriptor_limit()))
    server = HttpServer(app, config, table, uncounted)
    stopping = anyio.Event()

    async def watch() -> None:
        try:
            await wait_stop()
        except anyio.get_cancelled_exc_class():
            config.graceful_timeout = cancelled_grace
            raise
        finally:
            stopping.set()

    async def serve() -> None:
        # A cancelled server is told to stop instead, so that open requests end within the grace.
        with anyio.CancelScope(shield=True):
            await server.run(stopping.wait)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        tasks.start_soon(serve)
