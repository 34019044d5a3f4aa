"""Commands about evacuated availability zones: list, begin, end."""

import json

from fire.decorators import SetParseFn

from daleroad.codec import encode
from daleroad.commandcalls import ask_coordinator
from daleroad.evacuations import EvacuatedZones, Evacuations
from daleroad.notices import EvacuateRequest


class EvacuationCommands:
    """Zones whose upstreams get nothing. The secret of our processes is in DALEROAD_SECRET."""

    def list(self, coordinator: str) -> None:
        """Print the evacuated zones and the orders that led there, one JSON object a line.

        Args:
            coordinator: IP:PORT where our processes call it.
        """
        known = ask_coordinator(coordinator, "evacuations", b"{}", Evacuations)
        for zone in known.current.zones:
            print(json.dumps({"zone": zone, "evacuated_now": True}))
        for change in known.history:
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
        """Send nothing more to the upstreams of a zone; returns once a majority has the order.

        Args:
            coordinator: IP:PORT where our processes call it.
            zone: the availability zone.
        """
        _order(coordinator, zone, True)

    @SetParseFn(str, "zone")
    def end(self, coordinator: str, zone: str) -> None:
        """Take the order to evacuate a zone back; returns once a majority has that.

        Args:
            coordinator: IP:PORT where our processes call it.
            zone: the availability zone.
        """
        _order(coordinator, zone, False)


def _order(coordinator: str, zone: str, evacuated: bool) -> None:
    asked = encode(EvacuateRequest(zone, evacuated))
    answer = ask_coordinator(coordinator, "evacuate", asked, EvacuatedZones)
    print(json.dumps({"zones": answer.zones, "version": answer.version}))
