"""Operator commands that list, begin and end evacuations of availability zones."""

import json
import time

from fire.decorators import SetParseFn

from daleroad.codec import encode
from daleroad.commandcalls import ask_coordinator, call_coordinator, exit_on_failure
from daleroad.defaults import COORDINATOR_TURN_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.evacuations import EvacuatedZones, Evacuations
from daleroad.notices import EvacuateRequest

_MAX_TRIES = 10
"""Tries of an order; a coordinator may lag behind the newest change of the zones for a moment."""


class EvacuationCommands:
    """Evacuated availability zones. Set DALEROAD_SECRET to the processes' secret."""

    def list(self, coordinator: str) -> None:
        """Print the evacuated zones and the newest orders, one JSON object per line.

        Args:
            coordinator: IP:PORT of its internal API.
        """
        state = ask_coordinator(coordinator, "evacuations", b"{}", Evacuations)
        for zone in state.current.zones:
            print(json.dumps({"zone": zone, "evacuated_now": True}))
        for change in state.history:
            order = change.order
            row = {
                "zone": order.zone,
                "evacuated_now": False,
                "evacuated": order.evacuated,
                "index": change.index,
                "at": order.at,
                "by": order.by,
            }
            print(json.dumps(row))

    @SetParseFn(str, "zone")
    def begin(self, coordinator: str, zone: str) -> None:
        """Send no more requests to a zone's upstreams; returns once a majority has the order.

        Args:
            coordinator: IP:PORT of its internal API.
            zone: the availability zone.
        """
        _send_order(coordinator, zone, True)

    @SetParseFn(str, "zone")
    def end(self, coordinator: str, zone: str) -> None:
        """End the evacuation of a zone; returns once a majority has the order.

        Args:
            coordinator: IP:PORT of its internal API.
            zone: the availability zone.
        """
        _send_order(coordinator, zone, False)


def _send_order(coordinator: str, zone: str, evacuated: bool) -> None:
    """Order what the operator wants, based on the newest version of the zones that is known."""
    for _ in range(_MAX_TRIES):
        state = ask_coordinator(coordinator, "evacuations", b"{}", Evacuations)
        request = encode(EvacuateRequest(zone, evacuated, state.current.version))
        answer = call_coordinator(coordinator, "evacuate", request, EvacuatedZones)
        if not isinstance(answer, Failure) or answer.kind is not FailureKind.CONFLICT:
            break
        time.sleep(COORDINATOR_TURN_SECONDS)
    zones = exit_on_failure(answer)
    print(json.dumps({"zones": zones.zones, "version": zones.version}))
