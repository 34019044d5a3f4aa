"""Tracks one request of the HTTP server, and drops what its application left unread."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]


class RequestState:
    """The events of one ASGI request and its response.

    :param receive: returns the next event of the request.
    :param send: sends an event of the response.
    :ivar request_read: whether the request was read to its end.
    :ivar response_started: whether an event of the response was sent.
    """

    def __init__(self, receive: Receive, send: SendEvent) -> None:
        self._receive = receive
        self._send = send
        self.request_read = False
        self.response_started = False

    async def receive(self) -> dict[str, Any]:
        """Return the next event of the request."""
        event = await self._receive()
        self.request_read = self.request_read or not event.get("more_body", False)
        return event

    async def send(self, event: dict[str, Any]) -> None:
        """Send the next event of the response."""
        self.response_started = True
        is_last = event["type"] == "http.response.body" and not event.get("more_body", False)
        if is_last and not self.request_read:
            await self._send_last(event)
        else:
            await self._send(event)

    async def _send_last(self, event: dict[str, Any]) -> None:
        """Send the last event while the rest of the request is dropped.

        The server queues a few events of a request. With a full queue it can't end the response,
        and the connection hangs.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._drop_rest)
            await self._send(event)
            tasks.cancel_scope.cancel()

    async def _drop_rest(self) -> None:
        while not self.request_read:
            await self.receive()
