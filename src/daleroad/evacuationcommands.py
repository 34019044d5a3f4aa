"""Operator commands that list, begin and end evacuations of availability zones."""

import json

from fire.decorators import SetParseFn

from daleroad.codec import encode
from daleroad.commandcalls import ask_coordinator
from daleroad.evacuations import EvacuatedZones, Evacuations
from daleroad.notices import EvacuateRequest


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
    request = encode(EvacuateRequest(zone, evacuated))
    answer = ask_coordinator(coordinator, "evacuate", request, EvacuatedZones)
    print(json.dumps({"zones": answer.zones, "version": answer.version}))
