"""Client for the leader of a control group, with leader discovery and retries."""

from typing import Any

import anyio

from daleroad.calls import Calls
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.settings import Settings

_RETRY_PAUSE_SECONDS = 0.15


class LeaderClient:
    """Calls the leader of one group, following redirects and trying the members in turn.

    :param settings: settings with the names and URLs of the control processes.
    :param links: calls to other processes.
    """

    def __init__(self, settings: Settings, links: Calls) -> None:
        self._links = links
        self._urls = [settings.get_control_url(name) for name in settings.control]
        self._leader_url = self._urls[0]

    async def call(
        self, path: str, body: bytes, answer_type: Any, read_seconds: float, limit: float
    ) -> Any:
        """POST a message to the leader, trying other members until a timeout.

        The message must be idempotent, since it may be delivered more than once.

        :param path: path of the call.
        :param body: the message as JSON.
        :param answer_type: type of the answer.
        :param read_seconds: timeout of each attempt.
        :param limit: seconds after which no further attempt is made.
        """
        deadline = anyio.current_time() + limit
        ran = Ran.NO
        while True:
            answer = await self._links.call(
                self._leader_url + path, body, answer_type, read_seconds
            )
            if not isinstance(answer, Failure):
                return answer
            if answer.kind is FailureKind.UNREACHABLE or answer.ran is Ran.UNKNOWN:
                ran = Ran.UNKNOWN
            if not self._select_next(answer):
                return answer
            if anyio.current_time() >= deadline:
                reason = "no leader answered in time"
                return Failure(FailureKind.NO_MAJORITY, reason, ran, 1.0)
            if answer.kind is not FailureKind.NOT_LEADER:
                await anyio.sleep(_RETRY_PAUSE_SECONDS)

    def _select_next(self, failure: Failure) -> bool:
        """Select the member for the next attempt; return whether the failure can be retried."""
        match failure.kind:
            case FailureKind.NOT_LEADER if failure.reason in self._urls:
                self._leader_url = failure.reason
                return True
            case (
                FailureKind.NOT_LEADER
                | FailureKind.UNREACHABLE
                | FailureKind.DRAINING
                | FailureKind.NO_MAJORITY
                | FailureKind.LEADERSHIP_LOST
            ):
                index = self._urls.index(self._leader_url)
                self._leader_url = self._urls[(index + 1) % len(self._urls)]
                return True
            case _:
                return False
