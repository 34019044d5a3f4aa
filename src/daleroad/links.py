"""HTTP connections to other processes: reused ones to our own, single ones to upstreams.

Nothing in an upstream's response says which request it answers, so a duplicate of a response, or
bytes behind it, would answer the next request on its connection.
"""

import ssl
from dataclasses import dataclass
from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any

import anyio
import httpx

from daleroad.boundedheads import BoundedTransport
from daleroad.calls import read_answer
from daleroad.compression import ENCODING, pack
from daleroad.defaults import CALL_TIMEOUT_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.heldbytes import RequestBytes
from daleroad.settings import Tls

SHORT_ANSWER_BYTES = 1_000_000
"""Largest answer to a call about a single upstream or request, and largest body of an error."""

OWN_ANSWER_BYTES = 64_000_000
"""Largest answer of one of our processes; a routing configuration with thousands of routes takes a
hundredth."""

_CONNECT_SECONDS = 2.0
_REUSED = httpx.Limits(max_connections=None, max_keepalive_connections=64, keepalive_expiry=30)
_SINGLE_USE = httpx.Limits(max_connections=None, max_keepalive_connections=0)


class BodyTooLargeError(httpx.HTTPError):
    """A response's body is larger than its bound; its connection is closed."""

    def __init__(self, most: int) -> None:
        super().__init__(f"the body is larger than {most} bytes")


@dataclass(frozen=True)
class Fetched:
    """A response whose body is whole, as it was sent.

    :param status: the HTTP status.
    :param headers: its headers.
    :param body: its body, still encoded where ``content-encoding`` says so.
    """

    status: int
    headers: httpx.Headers
    body: bytes


async def read_body(response: httpx.Response, most: int, held: RequestBytes | None = None) -> bytes:
    """Return the rest of a response's body as it was sent.

    :param response: the response.
    :param most: bytes that it may have.
    :param held: where the body is counted; it is read on once there is room.
    :raises BodyTooLargeError: when it has more.
    :raises httpx.HTTPError: when it is cut.
    """
    body = bytearray()
    async for chunk in response.aiter_raw():
        before = len(body)
        if before + len(chunk) > most:
            raise BodyTooLargeError(most)
        if held is not None and not await held.reserve_answer(len(chunk), before):
            raise BodyTooLargeError(before)
        body += chunk
    return bytes(body)


def read_body_now(response: httpx.Response, most: int) -> bytes:
    """Return what :func:`read_body` returns, of a response of a synchronous client.

    :param response: the response.
    :param most: bytes that it may have.
    :raises BodyTooLargeError: when it has more.
    :raises httpx.HTTPError: when it is cut.
    """
    body = bytearray()
    for chunk in response.iter_raw():
        body += chunk
        if len(body) > most:
            raise BodyTooLargeError(most)
    return bytes(body)


async def fetch(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    most: int,
    seconds: float,
    held: RequestBytes | None = None,
    **request: Any,
) -> Fetched:
    """Make a request and return its whole response.

    :param client: the client.
    :param method: the HTTP method.
    :param url: the whole URL.
    :param most: bytes that the response's body may have.
    :param seconds: limit of the whole exchange.
    :param held: where the response's body is counted.
    :param request: its ``content`` and ``headers``.
    :raises BodyTooLargeError: when the body has more.
    :raises httpx.HTTPError: when there is no whole response.
    :raises TimeoutError: when the limit is over.
    """
    with anyio.fail_after(seconds):
        async with client.stream(method, url, **request) as response:
            body = await read_body(response, most, held)
            return Fetched(response.status_code, response.headers, body)


def make_client(
    tls: Tls, read_seconds: float | None, limits: httpx.Limits = _REUSED
) -> httpx.AsyncClient:
    """Return a client without the library's default limits, which keeps no cookies.

    :param tls: key files; with an authority, servers are checked against it.
    :param read_seconds: longest silence of a response, or no limit.
    :param limits: which connections are kept.
    """
    timeout = httpx.Timeout(
        connect=_CONNECT_SECONDS, read=read_seconds, write=_CONNECT_SECONDS, pool=None
    )
    return httpx.AsyncClient(
        transport=BoundedTransport(_make_context(tls), limits),
        timeout=timeout,
        trust_env=False,
        headers={"accept-encoding": "identity"},
        cookies=CookieJar(DefaultCookiePolicy(allowed_domains=())),
    )


def _make_context(tls: Tls) -> ssl.SSLContext:
    if tls.authority:
        return ssl.create_default_context(cafile=tls.authority)
    return httpx.create_ssl_context(verify=False)


class Links:
    """The clients of one process.

    :param tls: key files.
    :param token: shown to our own processes.
    :param compress: whether the others read compressed bodies.
    :ivar short: calls to our own processes, on reused connections.
    :ivar urgent: short and urgent requests to upstreams, each on a connection of its own.
    :ivar long: other requests to upstreams, each on a connection of its own.
    """

    def __init__(self, tls: Tls, token: str, compress: bool = False) -> None:
        self.short = make_client(tls, CALL_TIMEOUT_SECONDS)
        self.urgent = make_client(tls, None, _SINGLE_USE)
        self.long = make_client(tls, None, _SINGLE_USE)
        self.token = token
        self._compress = compress
        self._headers = {"authorization": f"Bearer {token}"}

    async def close(self) -> None:
        """Close all connections."""
        for client in (self.short, self.urgent, self.long):
            await client.aclose()

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ) -> Any:
        """POST a message to one of our processes and return the typed answer or a failure.

        :param url: the whole URL.
        :param body: the message as JSON.
        :param answer_type: the type of the answer.
        :param read_seconds: longest wait for the answer, if not the default.
        """
        timeout: Any = httpx.USE_CLIENT_DEFAULT
        if read_seconds is not None:
            timeout = httpx.Timeout(
                connect=_CONNECT_SECONDS, read=read_seconds, write=_CONNECT_SECONDS, pool=None
            )
        packed = pack(body) if self._compress else None
        headers = self._headers | ({"content-encoding": ENCODING} if packed else {})
        try:
            async with self.short.stream(
                "POST", url, content=packed or body, headers=headers, timeout=timeout
            ) as response:
                found = await read_body(response, OWN_ANSWER_BYTES)
        except httpx.HTTPError as error:
            return Failure(FailureKind.UNREACHABLE, f"{url}: {error!r}")
        return read_answer(response.status_code, found, answer_type)
