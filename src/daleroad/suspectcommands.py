"""Commands about requests under which upstreams ended: list, release, weigh the rule."""

import json

from fire.decorators import SetParseFn

from daleroad.codec import encode
from daleroad.commandcalls import ask_coordinator
from daleroad.notices import ReleaseRequest, SuspectsAnswer
from daleroad.suspectmodel import CASES, compare_rules


class SuspectCommands:
    """Requests under which upstreams ended. The secret of our processes is in DALEROAD_SECRET."""

    def list(self, coordinator: str) -> None:
        """Print the suspected requests, one JSON object a line; any coordinator knows all.

        Args:
            coordinator: IP:PORT where our processes call it.
        """
        answer = ask_coordinator(coordinator, "suspects", b"{}", SuspectsAnswer)
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
        ask_coordinator(coordinator, "release", encode(ReleaseRequest(fingerprint)), type(None))
        print("released")

    def weigh(self, seeds: int = 10) -> None:
        """Compare rules that hold requests back, in virtual time.

        Args:
            seeds: plays of each case.
        """
        for line in compare_rules(CASES, seeds):
            print(line)
