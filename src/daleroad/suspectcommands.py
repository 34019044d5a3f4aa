"""Operator commands on suspected poison requests: list, release, and compare detection rules."""

import json

from fire.decorators import SetParseFn

from daleroad.codec import encode
from daleroad.commandcalls import ask_coordinator
from daleroad.notices import ReleaseRequest, SuspectsAnswer
from daleroad.partmodel import CASES as PART_CASES
from daleroad.partmodel import compare_part_rules
from daleroad.suspectmodel import CASES, compare_rules


class SuspectCommands:
    """Requests and parts of prompts suspected of crashing upstreams.

    Set DALEROAD_SECRET to the processes' secret.
    """

    def list(self, coordinator: str) -> None:
        """Print the suspected requests and parts as JSON lines; any coordinator can answer.

        Args:
            coordinator: IP:PORT of its internal API.
        """
        answer = ask_coordinator(coordinator, "suspects", b"{}", SuspectsAnswer)
        for known in answer.suspicions:
            row = {
                "fingerprint": known.fingerprint,
                "held": known.fingerprint in answer.held,
                "part": known.part,
                "caller": known.caller,
                "callers": known.callers,
                "route": known.route,
                "ended": known.crashes,
                "ended_as_begun": known.begun,
                "answered": known.whole,
                "taken_back": known.cleared,
                "seconds_ago": round(known.age, 1),
            }
            print(json.dumps(row))

    @SetParseFn(str, "fingerprint")
    def release(self, coordinator: str, fingerprint: str) -> None:
        """Retract the crashes recorded until now for a request or a part, at all gateways.

        Args:
            coordinator: IP:PORT of its internal API.
            fingerprint: the fingerprint that ``list`` prints.
        """
        answer = ask_coordinator(coordinator, "suspects", b"{}", SuspectsAnswer)
        known = (known for known in answer.suspicions if known.fingerprint == fingerprint)
        crashes = tuple(instance for suspicion in known for instance in suspicion.crashes)
        request = encode(ReleaseRequest(fingerprint, crashes))
        ask_coordinator(coordinator, "release", request, type(None))
        print("released")

    def weigh(self, seeds: int = 10) -> None:
        """Simulate and compare rules for holding requests back.

        Args:
            seeds: simulations of each case and rule.
        """
        for line in compare_rules(CASES, seeds):
            print(line)

    def weigh_parts(self, seeds: int = 10) -> None:
        """Simulate and compare rules for holding parts of prompts back.

        Args:
            seeds: simulations of each case and rule.
        """
        for line in compare_part_rules(PART_CASES, seeds):
            print(line)
