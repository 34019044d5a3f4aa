"""Calls to the leader of a control group, wherever it is."""

from typing import Any

import anyio

from daleroad.calls import Calls
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.settings import Settings

_PAUSE_SECONDS = 0.15


class LeaderClient:
    """Finds the leader of one group and calls it.

    :param settings: names the control processes.
    :param links: connections.
    """

    def __init__(self, settings: Settings, links: Calls) -> None:
        self._links = links
        self._urls = [settings.get_control_url(name) for name in settings.control]
        self._url = self._urls[0]

    async def call(
        self, path: str, body: bytes, shape: Any, read_seconds: float, limit: float
    ) -> Any:
        """POST a message to the leader; look for another leader until a limit.

        The message must be idempotent, since it may arrive twice.

        :param path: the path of the call.
        :param body: the message as JSON.
        :param shape: the type of the answer.
        :param read_seconds: longest wait for one answer.
        :param limit: seconds after which to give up.
        """
        deadline = anyio.current_time() + limit
        ran = Ran.NO
        while True:
            answer = await self._links.call(self._url + path, body, shape, read_seconds)
            if not isinstance(answer, Failure):
                return answer
            if answer.kind is FailureKind.UNREACHABLE or answer.ran is Ran.UNKNOWN:
                ran = Ran.UNKNOWN
            if not self._turn(answer):
                return answer
            if anyio.current_time() >= deadline:
                reason = "no leader answered in time"
                return Failure(FailureKind.NO_MAJORITY, reason, ran, 1.0)
            if answer.kind is not FailureKind.NOT_LEADER:
                await anyio.sleep(_PAUSE_SECONDS)

    def _turn(self, failure: Failure) -> bool:
        """Choose whom to ask next; return whether asking again makes sense."""
        match failure.kind:
            case FailureKind.NOT_LEADER if failure.reason in self._urls:
                self._url = failure.reason
                return True
            case (
                FailureKind.NOT_LEADER
                | FailureKind.UNREACHABLE
                | FailureKind.DRAINING
                | FailureKind.NO_MAJORITY
                | FailureKind.LEADERSHIP_LOST
            ):
                place = self._urls.index(self._url)
                self._url = self._urls[(place + 1) % len(self._urls)]
                return True
            case _:
                return False
