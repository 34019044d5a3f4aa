"""A gateway's client of the central placer, which runs on the leading coordinator.

When the placer does not answer in time, the gateway chooses by the loads that it last received.
"""

from collections.abc import Callable

import anyio

from daleroad.calls import Calls, make_url
from daleroad.codec import encode
from daleroad.defaults import (
    LOAD_BATCH_SECONDS,
    MEMORY_WAIT_PAUSE_SECONDS,
    PLACER_RETRY_SECONDS,
    PLACER_TIMEOUT_SECONDS,
)
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.gateway import Gateway
from daleroad.notices import (
    LoadsRequest,
    PlaceAnswer,
    PlaceRequest,
    TrialAnswer,
    TrialRequest,
    WithdrawRequest,
)
from daleroad.promptqueue import HOLD_SECONDS, POLL_SLACK_SECONDS

MAX_HOLDS = 32
"""Requests of one gateway that wait in long polls at a time; further ones ask again and again. The
leader answers twice as many questions of one process at a time, and watches need some of them."""


class PlacerClient:
    """Requests placements from the leading coordinator, and reports load changes to it.

    :param gateway: the gateway.
    :param calls: sends requests to the coordinators.
    :param get_leader: returns the address of the leading coordinator, if one is known.
    """

    def __init__(
        self, gateway: Gateway, calls: Calls, get_leader: Callable[[], str | None]
    ) -> None:
        self._gateway = gateway
        self._calls = calls
        self._get_leader = get_leader
        self._failed_at = float("-inf")
        self._is_failing = False
        self._holds = 0

    async def request_placement(self, request: PlaceRequest) -> PlaceAnswer | None:
        """Return the leading coordinator's answer, or ``None`` if the gateway must choose itself.

        After a failure the coordinator is not asked again for ``PLACER_RETRY_SECONDS``.

        :param request: the request.
        """
        return await self._ask("place", request, PLACER_TIMEOUT_SECONDS)

    async def await_placement(self, request: PlaceRequest) -> PlaceAnswer | None:
        """Return the answer once a waiting request has its place, or ``crowded`` after a hold.

        :param request: the request, which the leader has told to wait.
        :return: ``None`` if there is no leader to wait at.
        """
        if self._holds >= MAX_HOLDS:
            await anyio.sleep(MEMORY_WAIT_PAUSE_SECONDS)
            return await self.request_placement(request)
        self._holds += 1
        try:
            return await self._ask("await-place", request, HOLD_SECONDS + POLL_SLACK_SECONDS)
        finally:
            self._holds -= 1

    async def withdraw(self, request: WithdrawRequest) -> None:
        """Tell the leader that a waiting request needs no place any more.

        A notice that is lost needs no retry: the leader drops requests that nobody asks for.

        :param request: the notice.
        """
        leader = self._get_leader()
        if leader is not None:
            url = f"{make_url(leader)}/site/withdraw"
            await self._calls.call(url, encode(request), type(None), PLACER_RETRY_SECONDS)

    async def _ask(self, name: str, request: PlaceRequest, seconds: float) -> PlaceAnswer | None:
        """Return the leader's answer in time, if there is one.

        :param name: the call.
        :param request: the request.
        :param seconds: timeout.
        """
        leader = self._get_leader()
        now = anyio.current_time()
        if leader is None or now - self._failed_at < PLACER_RETRY_SECONDS:
            return None
        url = f"{make_url(leader)}/site/{name}"
        answer = None
        with anyio.move_on_after(seconds):
            answer = await self._calls.call(url, encode(request), PlaceAnswer, seconds)
        if isinstance(answer, PlaceAnswer):
            self._set_failing(False, leader, "")
            return answer
        # The time counts from the end of a hold, since most of that is no sign of a failure.
        self._failed_at = now + max(0.0, seconds - PLACER_TIMEOUT_SECONDS)
        reason = answer.reason if isinstance(answer, Failure) else "the request timed out"
        self._set_failing(True, leader, reason)
        return None

    async def request_trial(self, fingerprint: str) -> bool | None:
        """Return whether this gateway may try what was held; only one gateway may at a time.

        None if no leader answers.

        :param fingerprint: the request or part.
        """
        leader = self._get_leader()
        if leader is None:
            return None
        url = f"{make_url(leader)}/site/trial"
        body = encode(TrialRequest(fingerprint))
        answer = await self._calls.call(url, body, TrialAnswer, PLACER_TIMEOUT_SECONDS)
        return answer.granted if isinstance(answer, TrialAnswer) else None

    async def report_loads(self) -> None:
        """Report load changes to the leading coordinator in short batches, until cancelled."""
        gateway = self._gateway
        while True:
            await gateway.loads.changed.wait()
            gateway.loads.changed = anyio.Event()
            await anyio.sleep(LOAD_BATCH_SECONDS)
            leader = self._get_leader()
            if leader is None:
                continue
            request = LoadsRequest(gateway.options.address, gateway.loads.list_own_loads())
            url = f"{make_url(leader)}/site/loads"
            # A lost report needs no retry: each watch request carries all loads.
            await self._calls.call(url, encode(request), type(None), PLACER_RETRY_SECONDS)

    def _set_failing(self, failing: bool, leader: str, reason: str) -> None:
        if failing != self._is_failing:
            event = Event.PLACING_LOST if failing else Event.PLACING_REGAINED
            log_event(event, name=leader, reason=reason)
        self._is_failing = failing
