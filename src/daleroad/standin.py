"""What the stand-in upstreams share: announcing themselves and reporting to their steward."""

from collections.abc import Callable, Sequence
from http import HTTPStatus

import anyio
import httpx

from daleroad.daleroad_pb import (
    AnnounceAnswer,
    Announcement,
    Report,
    ReportAnswer,
)
from daleroad.errors import Failure
from daleroad.links import SHORT_ANSWER_BYTES, fetch, make_client
from daleroad.publicmessages import read_message
from daleroad.settings import Tls

_REGISTRY = "/daleroad.v1.Registry"
_RETRY_SECONDS = 0.2
_ANSWER_SECONDS = 1.0
_EXCHANGE_SECONDS = 4.0


class Announcer:
    """Announces an upstream to any entry, then reports to its steward.

    :param entries: base URLs of some entries.
    :param token: the upstream token.
    :param announce: makes the announcement.
    :param report: makes the next report.
    """

    def __init__(
        self,
        entries: Sequence[str],
        token: str,
        announce: Callable[[], Announcement],
        report: Callable[[], Report],
    ) -> None:
        self._entries = list(entries)
        self._announce = announce
        self._report = report
        self._client = make_client(Tls(), _ANSWER_SECONDS)
        self._headers = {
            "authorization": f"Bearer {token}",
            "content-type": "application/json",
        }
        self.steward = ""
        self.wake = anyio.Event()

    async def run(self) -> None:
        """Announce and report until cancelled."""
        turn = 0
        while True:
            self.steward = ""
            turn += 1
            seconds = await self._find_steward(self._entries[turn % len(self._entries)])
            if seconds is None:
                await anyio.sleep(_RETRY_SECONDS)
                continue
            while await self.report_once():
                with anyio.move_on_after(seconds):
                    await self.wake.wait()
                self.wake = anyio.Event()

    async def report_once(self) -> bool:
        """Send one report; return whether the steward took it."""
        if not self.steward:
            return False
        body = await self._post(self.steward, "Tell", self._report())
        if body is None:
            return False
        answer = read_message(ReportAnswer, body)
        return not (isinstance(answer, Failure) or answer.announce_again)

    async def _find_steward(self, first: str) -> float | None:
        url = first
        for _ in range(3):
            body = await self._post(url, "Announce", self._announce())
            if body is None:
                return None
            answer = read_message(AnnounceAnswer, body)
            if isinstance(answer, Failure):
                return None
            if answer.steward == url:
                self.steward = url
                return answer.report_seconds
            url = answer.steward
        return None

    async def _post(self, url: str, method: str, message: Announcement | Report) -> bytes | None:
        try:
            found = await fetch(
                self._client,
                "POST",
                f"{url}{_REGISTRY}/{method}",
                SHORT_ANSWER_BYTES,
                _EXCHANGE_SECONDS,
                content=message.to_json(),
                headers=self._headers,
            )
        except (httpx.HTTPError, TimeoutError):
            return None
        return found.body if found.status == HTTPStatus.OK else None
