"""The answering side of channels."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from daleroad.events import Event, log_event
from daleroad.frames import BrokenFrameError, Frame, FrameReader, FrameWriter

CHANNEL_PATH = "/channel"

QUESTIONS_MOST = 64
"""Questions of one channel that are answered at a time; a process has a few, mostly long polls."""

IDLE_SECONDS = 30.0
"""A channel on which nothing is asked for so long is ended: its process may be gone without a word.
One that watches or shares asks every second."""

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]
Handle = Callable[[str, bytes], Awaitable["ChannelAnswer"]]


@dataclass(frozen=True)
class ChannelAnswer:
    """An answer on a channel.

    :param status: as of an HTTP response.
    :param body: the message.
    """

    status: int
    body: bytes


class ChannelServer:
    """Serves channels until closed.

    :param body_most: bytes that a question may have.
    """

    def __init__(self, body_most: int) -> None:
        self._body_most = body_most
        self._reading: set[anyio.CancelScope] = set()
        self._closed = False

    def close(self) -> None:
        """Take no more questions; channels end when those that were read are answered."""
        self._closed = True
        for scope in self._reading:
            scope.cancel()

    async def serve(self, handle: Handle, receive: Receive, send: SendEvent) -> None:
        """Serve one channel to its end.

        :param handle: answers a question by its path and message.
        :param receive: the request's events.
        :param send: takes the answer's events.
        """
        await send({"type": "http.response.start", "status": 200, "headers": []})
        sender = _Sender(send)
        room = anyio.Semaphore(QUESTIONS_MOST)

        async def answer(frame: Frame) -> None:
            try:
                found = await handle(frame.label, frame.body)
                await sender.send(Frame(frame.number, str(found.status), found.body))
            finally:
                room.release()

        async with anyio.create_task_group() as tasks:
            with anyio.CancelScope() as scope:
                self._reading.add(scope)
                if self._closed:
                    scope.cancel()
                async for frame in _read_frames(receive, FrameReader(self._body_most)):
                    await room.acquire()
                    tasks.start_soon(answer, frame)
            self._reading.discard(scope)
        await send({"type": "http.response.body", "body": b""})


class _Sender:
    """Sends the answers of one channel in the order in which they were compressed.

    :param send: takes the answer's events.
    """

    def __init__(self, send: SendEvent) -> None:
        self._send = send
        self._writer = FrameWriter()
        self._unsent: list[Frame] = []
        self._sending = False

    async def send(self, frame: Frame) -> None:
        """Send a frame, or leave it to the answer that is being sent now."""
        self._unsent.append(frame)
        if self._sending:
            return
        self._sending = True
        try:
            while self._unsent:
                frames, self._unsent = self._unsent, []
                body = self._writer.pack(frames)
                await self._send({"type": "http.response.body", "body": body, "more_body": True})
        finally:
            self._sending = False


async def _read_frames(receive: Receive, reader: FrameReader) -> AsyncIterator[Frame]:
    """Yield the questions of a channel until its caller ends it, goes away or asks no more."""
    while True:
        event: dict[str, Any] = {"type": "http.disconnect"}
        with anyio.move_on_after(IDLE_SECONDS):
            event = await receive()
        if event["type"] == "http.disconnect":
            return
        try:
            for frame in reader.feed(event.get("body", b"")):
                yield frame
        except BrokenFrameError as error:
            log_event(Event.CHANNEL_BROKEN, reason=error.failure.reason)
            return
        if not event.get("more_body", False):
            return
