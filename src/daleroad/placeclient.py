"""A gateway's way to the process that chooses engines for all gateways.

Where that doesn't answer at once the gateway chooses by itself, by what it was told.
"""

from collections.abc import Callable

import anyio

from daleroad.calls import Calls, make_url
from daleroad.codec import encode
from daleroad.defaults import PLACE_PAUSE_SECONDS, PLACE_SECONDS, TELL_LOADS_SECONDS
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.gateway import Gateway
from daleroad.notices import (
    LoadsRequest,
    PlaceAnswer,
    PlaceRequest,
    TrialAnswer,
    TrialRequest,
)


class PlaceClient:
    """Asks for engines, and tells of work that began or ended.

    :param gateway: the gateway.
    :param calls: connections to the coordinators.
    :param get_leader: returns the leading coordinator, if one is heard.
    """

    def __init__(
        self, gateway: Gateway, calls: Calls, get_leader: Callable[[], str | None]
    ) -> None:
        self._gateway = gateway
        self._calls = calls
        self._get_leader = get_leader
        self._failed_at = float("-inf")
        self._failing = False

    async def ask(self, asked: PlaceRequest) -> PlaceAnswer | None:
        """Return the leading coordinator's answer, or nothing where the gateway must choose.

        :param asked: the question.
        """
        leader = self._get_leader()
        now = anyio.current_time()
        if leader is None or now - self._failed_at < PLACE_PAUSE_SECONDS:
            return None
        url = f"{make_url(leader)}/site/place"
        answer = None
        with anyio.move_on_after(PLACE_SECONDS):
            answer = await self._calls.call(url, encode(asked), PlaceAnswer, PLACE_SECONDS)
        if isinstance(answer, PlaceAnswer):
            self._note_failing(False, leader, "")
            return answer
        self._failed_at = now
        reason = answer.reason if isinstance(answer, Failure) else "no answer in time"
        self._note_failing(True, leader, reason)
        return None

    async def ask_trial(self, fingerprint: str) -> bool:
        """Return whether this gateway, alone of all, may try a request that was held for long.

        :param fingerprint: the request.
        """
        leader = self._get_leader()
        if leader is None:
            return False
        url = f"{make_url(leader)}/site/trial"
        asked = encode(TrialRequest(fingerprint))
        answer = await self._calls.call(url, asked, TrialAnswer, PLACE_SECONDS)
        return isinstance(answer, TrialAnswer) and answer.granted

    async def run(self) -> None:
        """Tell of work that began or ended soon after it did, until cancelled."""
        gateway = self._gateway
        while True:
            await gateway.loads.changed.wait()
            gateway.loads.changed = anyio.Event()
            await anyio.sleep(TELL_LOADS_SECONDS)
            leader = self._get_leader()
            if leader is None:
                continue
            told = LoadsRequest(gateway.options.address, gateway.loads.list_own())
            url = f"{make_url(leader)}/site/loads"
            # What is lost is told again with the next question of the watch.
            await self._calls.call(url, encode(told), type(None), PLACE_PAUSE_SECONDS)

    def _note_failing(self, failing: bool, leader: str, reason: str) -> None:
        if failing != self._failing:
            event = Event.PLACING_LOST if failing else Event.PLACING_REGAINED
            log_event(event, name=leader, reason=reason)
        self._failing = failing
