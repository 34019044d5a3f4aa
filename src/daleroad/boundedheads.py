"""A transport of the HTTP client that bounds what comes before a response's body.

The library bounds the head of each response, but not the number of interim (1xx) responses.
"""

import ssl
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import httpcore
import httpx

HEAD_BYTES = 128 * 1024
"""More is not read while a head is not whole, interim responses before it included. The library
reads 64 KiB at a time, so as much may come on top."""

SocketOption = (
    tuple[int, int, int] | tuple[int, int, bytes | bytearray] | tuple[int, int, None, int]
)


class _Stream(httpcore.AsyncNetworkStream):
    """A connection on which heads are bounded."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._in_head = True
        self._read = 0

    def end_head(self) -> None:
        """Bound no more, until the next request is sent."""
        self._in_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self._in_head and self._read >= HEAD_BYTES:
            raise httpcore.RemoteProtocolError(f"no whole head in {self._read} bytes")
        data = await self._stream.read(max_bytes, timeout)
        self._read += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._in_head, self._read = True, 0
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _Stream(await self._stream.start_tls(ssl_context, server_hostname, timeout))

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class _Backend(httpcore.AsyncNetworkBackend):
    """Makes the connections of one pool."""

    def __init__(self) -> None:
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SocketOption] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return _Stream(stream)


class _Body(httpx.AsyncByteStream):
    """A response's body, with the client's errors."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        with _raise_as_client_errors():
            async for part in self._stream:
                yield part

    async def aclose(self) -> None:
        await self._stream.aclose()


class BoundedTransport(httpx.AsyncBaseTransport):
    """Sends the requests of a client.

    :param context: how servers are checked.
    :param limits: which connections are kept.
    """

    def __init__(self, context: ssl.SSLContext, limits: httpx.Limits) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_Backend(),
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response, whose body is still to be read.

        :param request: the request.
        :raises httpx.TransportError: when no response comes.
        """
        url = request.url
        sent = httpcore.Request(
            method=request.method,
            url=httpcore.URL(
                scheme=url.raw_scheme, host=url.raw_host, port=url.port, target=url.raw_path
            ),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        with _raise_as_client_errors():
            response = await self._pool.handle_async_request(sent)
        stream = response.extensions["network_stream"]
        if isinstance(stream, _Stream):
            stream.end_head()
        return httpx.Response(
            status_code=response.status,
            headers=response.headers,
            stream=_Body(response.stream),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


@contextmanager
def _raise_as_client_errors() -> Iterator[None]:
    """Raise the pool's errors as those of the same name of the client."""
    try:
        yield
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.UnsupportedProtocol,
    ) as error:
        kind = getattr(httpx, type(error).__name__, httpx.TransportError)
        raise kind(str(error)) from error
