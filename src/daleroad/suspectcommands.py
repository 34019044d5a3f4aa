"""Commands about requests under which upstreams ended: list, release, weigh the rule."""

import json
import os
import sys

import anyio
from fire.decorators import SetParseFn

from daleroad.calls import make_url
from daleroad.channels import ChannelCalls
from daleroad.codec import encode
from daleroad.errors import Failure
from daleroad.notices import ReleaseRequest, SuspectsAnswer
from daleroad.suspectmodel import CASES, compare_rules

SECRET_VARIABLE = "DALEROAD_SECRET"
_FAILED = 1


class SuspectCommands:
    """Requests under which upstreams ended. The secret of our processes is in DALEROAD_SECRET."""

    def list(self, coordinator: str) -> None:
        """Print the suspected requests, one JSON object a line; any coordinator knows all.

        Args:
            coordinator: IP:PORT where our processes call it.
        """
        answer = anyio.run(_call, coordinator, "suspects", b"{}", SuspectsAnswer)
        assert isinstance(answer, SuspectsAnswer)
        for known in answer.suspicions:
            row = {
                "fingerprint": known.fingerprint,
                "held": known.fingerprint in answer.held,
                "caller": known.caller,
                "route": known.route,
                "ended": known.crashes,
                "taken_back": known.cleared,
                "seconds_ago": round(known.age, 1),
            }
            print(json.dumps(row))

    @SetParseFn(str, "fingerprint")
    def release(self, coordinator: str, fingerprint: str) -> None:
        """Take back all that is held against a request, at all gateways.

        Args:
            coordinator: IP:PORT where our processes call it.
            fingerprint: the request, as ``list`` prints it.
        """
        anyio.run(_call, coordinator, "release", encode(ReleaseRequest(fingerprint)), type(None))
        print("released")

    def weigh(self, seeds: int = 10) -> None:
        """Compare rules that hold requests back, in virtual time.

        Args:
            seeds: plays of each case.
        """
        for line in compare_rules(CASES, seeds):
            print(line)


async def _call(coordinator: str, name: str, body: bytes, shape: type) -> object:
    """Return a coordinator's answer; end with an error line where there is none."""
    calls = ChannelCalls(os.environ.get(SECRET_VARIABLE, "daleroad"))
    answer = await calls.call(f"{make_url(coordinator)}/site/{name}", body, shape)
    if isinstance(answer, Failure):
        print(f"{answer.kind}: {answer.reason}", file=sys.stderr)
        sys.exit(_FAILED)
    return answer
