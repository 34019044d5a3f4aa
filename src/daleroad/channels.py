"""Channels: many calls to one process in one HTTP exchange, whose two bodies stay open.

An HTTP request for each call costs about 2 ms at either end, mostly in the client's and the
server's libraries. On channels an idle gateway takes half of the processor time: 0.0196 and 0.0098
of a core, by real processes on loopback.

A call that is lost with a channel of before is made once more on a new one: what our processes ask
of each other may be repeated.
"""

from itertools import count
from typing import Any
from urllib.parse import urlsplit

import anyio
import h11
from anyio.abc import SocketStream

from daleroad.calls import read_answer
from daleroad.channelserver import CHANNEL_PATH
from daleroad.defaults import CALL_TIMEOUT_SECONDS, WATCH_SLACK_SECONDS, WATCH_SLOW_SECONDS
from daleroad.errors import DaleroadError, Failure, FailureKind
from daleroad.frames import BrokenFrameError, Frame, FrameReader, FrameWriter

CONNECT_SECONDS = 2.0
"""Limit of a new connection to one of our processes; a lost packet is sent again after one."""

SEND_SECONDS = 1.0
"""How long a process that reads nothing is borne before its channel is given up."""

SILENT_SECONDS = WATCH_SLOW_SECONDS + WATCH_SLACK_SECONDS
"""A channel on which a question waits and nothing came for so long gets no new ones: connections
may fall silent without a reset, and no question waits for longer where all is well."""

_BODY_MOST_BYTES = 64_000_000
"""Largest answer; a routing configuration with thousands of routes takes a hundredth."""

_PORT_MOST = 65_535
_OK = 200
_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.ProtocolError,
    BrokenFrameError,
)


class ChannelLostError(DaleroadError):
    """A channel ended before the answer came."""

    def __init__(self, reason: str) -> None:
        super().__init__(Failure(FailureKind.UNREACHABLE, reason))


class Channel:
    """An open channel, at the side that asks.

    It has no task of its own: of the calls that wait for answers one reads for all.

    :param stream: the connection.
    :param host: whom it goes to, as IP:PORT.
    :param token: shown to the other side.
    """

    def __init__(self, stream: SocketStream, host: str, token: str) -> None:
        self.ended = ""
        self._retired = False
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._writer = FrameWriter()
        self._reader = FrameReader(_BODY_MOST_BYTES)
        self._numbers = count(1)
        self._answers: dict[int, Frame | None] = {}
        self._unsent: list[Frame] = []
        self._sending = False
        self._reading = False
        self._news = anyio.Event()
        self._silent_since: float | None = None
        self._head = _make_head(self._http, host, token)

    def is_usable(self, now: float) -> bool:
        """Return whether new questions may go on this channel.

        :param now: the time.
        """
        silent = self._silent_since is not None and now - self._silent_since > SILENT_SECONDS
        return not (silent or self.ended or self._retired)

    async def retire(self) -> None:
        """Take no more questions, and close once those that wait are over."""
        self._retired = True
        await self._close_if_over()

    def serve_once(self) -> None:
        """Close after the next question."""
        self._retired = True

    async def _close_if_over(self) -> None:
        if not self._answers and (self.ended or self._retired):
            await anyio.aclose_forcefully(self._stream)

    async def ask(self, path: str, body: bytes) -> Frame:
        """Send a question and return its answer.

        :param path: what is asked for.
        :param body: the message.
        :raises ChannelLostError: when the channel ends before.
        """
        number = next(self._numbers)
        self._answers[number] = None
        try:
            await self._send(Frame(number, path, body))
            while self._answers[number] is None and not self.ended:
                await self._read_or_wait()
            answer = self._answers[number]
        finally:
            del self._answers[number]
            await self._close_if_over()
        if answer is None:
            raise ChannelLostError(self.ended)
        return answer

    async def _send(self, frame: Frame) -> None:
        """Send a frame, or leave it to the call that is sending now."""
        self._unsent.append(frame)
        if self._sending:
            return
        self._sending = True
        if self._silent_since is None:
            self._silent_since = anyio.current_time()
        try:
            # What is compressed must go, also when its call is given up: the next builds on it.
            with anyio.move_on_after(SEND_SECONDS, shield=True) as scope:
                while self._unsent:
                    frames, self._unsent = self._unsent, []
                    await self._stream.send(self._pack(frames))
            if scope.cancelled_caught:
                self.ended = "nothing is read at the other side"
        except _STREAM_ERRORS as error:
            self.ended = repr(error)
        finally:
            self._sending = False

    def _pack(self, frames: list[Frame]) -> bytes:
        head, self._head = self._head, b""
        return head + (self._http.send(h11.Data(data=self._writer.pack(frames))) or b"")

    async def _read_or_wait(self) -> None:
        """Wait until something has arrived, for whichever call."""
        if self._reading:
            await self._news.wait()
            return
        self._reading = True
        try:
            self._take(await self._stream.receive())
        except _STREAM_ERRORS as error:
            self.ended = repr(error)
        finally:
            self._reading = False
            self._news.set()
            self._news = anyio.Event()

    def _take(self, data: bytes) -> None:
        """Keep the first answer to each question, but for those that nobody waits for any more."""
        self._silent_since = None
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            match event:
                case h11.Response(status_code=status) if status != _OK:
                    raise h11.RemoteProtocolError(f"status {status}")
                case h11.Data(data=part):
                    for frame in self._reader.feed(bytes(part)):
                        self._keep(frame)
                case h11.InformationalResponse(status_code=status):
                    raise h11.RemoteProtocolError(f"status {status}")
                case h11.EndOfMessage() | h11.ConnectionClosed():
                    raise anyio.EndOfStream
                case h11.Response():
                    pass
                case _:
                    return

    def _keep(self, frame: Frame) -> None:
        if not frame.label.isdecimal():
            raise BrokenFrameError(f"not a status: {frame.label!r}")
        if self._answers.get(frame.number, frame) is None:
            self._answers[frame.number] = frame


class ChannelCalls:
    """Calls to other processes of ours, on one channel to each.

    :param token: shown to them.
    """

    def __init__(self, token: str) -> None:
        self.token = token
        self._channels: dict[str, Channel] = {}

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ) -> Any:
        """Send a message to one of our processes and return the typed answer or a failure.

        :param url: the whole URL.
        :param body: the message as JSON.
        :param answer_type: the type of the answer.
        :param read_seconds: longest wait for the answer, if not the default.
        """
        target = urlsplit(url)
        seconds = CALL_TIMEOUT_SECONDS if read_seconds is None else read_seconds
        known = await self._find(target.netloc)
        if known is not None:
            try:
                return await self._ask(known, target.path, body, answer_type, seconds)
            except ChannelLostError:
                # Its process may have started anew since the last call; a new channel tells.
                pass
        opened = await self._open(target.netloc)
        if isinstance(opened, Failure):
            return opened
        try:
            return await self._ask(opened, target.path, body, answer_type, seconds)
        except ChannelLostError as error:
            return error.failure

    async def _ask(
        self, channel: Channel, path: str, body: bytes, answer_type: Any, seconds: float
    ) -> Any:
        with anyio.move_on_after(seconds):
            answer = await channel.ask(path, body)
            return read_answer(int(answer.label), answer.body, answer_type)
        await channel.retire()
        return Failure(FailureKind.UNREACHABLE, f"{path}: no answer in {seconds:g} s")

    async def _find(self, host: str) -> Channel | None:
        """Return the channel to a process, if there is one that can be used."""
        channel = self._channels.get(host)
        if channel is None or channel.is_usable(anyio.current_time()):
            return channel
        del self._channels[host]
        await channel.retire()
        return None

    async def _open(self, host: str) -> Channel | Failure:
        address, _, port = host.partition(":")
        if not port.isdecimal() or int(port) > _PORT_MOST:
            # A name that another process told may be no address at all.
            return Failure(FailureKind.UNREACHABLE, f"{host}: not IP:PORT")
        with anyio.move_on_after(CONNECT_SECONDS):
            try:
                stream = await anyio.connect_tcp(address, int(port))
            except OSError as error:
                return Failure(FailureKind.UNREACHABLE, f"{host}: {error!r}")
            channel = Channel(stream, host, self.token)
            if await self._find(host) is None:
                self._channels[host] = channel
            else:
                # Another call opened one meanwhile; this one serves for a single question.
                channel.serve_once()
            return channel
        return Failure(FailureKind.UNREACHABLE, f"{host}: not connected in {CONNECT_SECONDS:g} s")


def _make_head(http: h11.Connection, host: str, token: str) -> bytes:
    headers = [
        ("host", host),
        ("authorization", f"Bearer {token}"),
        ("transfer-encoding", "chunked"),
    ]
    return http.send(h11.Request(method="POST", target=CHANNEL_PATH, headers=headers)) or b""
