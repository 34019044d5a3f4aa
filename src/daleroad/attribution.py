"""Whether a response from an upstream is that to the request that was sent. Does no I/O."""

from collections.abc import Sequence

from daleroad.dispatch import Lost, Whole
from daleroad.exchanges import STATUS_LINE


def find_doubt(request_id: str, named: Sequence[str], status: int, earlier: int) -> Lost | None:
    """Return a loss if a response belongs to another request, or may do so; else nothing.

    :param request_id: id of the request that was sent.
    :param named: ids of requests that the response names.
    :param status: its status.
    :param earlier: responses that its connection carried before.
    """
    if any(name != request_id for name in named):
        return Lost("the response carries the attempt id of another request")
    if not named and earlier:
        reason = f"status {status} without an attempt id, on a reused connection"
        return Lost(reason, ambiguous=True)
    return None


def reject_duplicate(response: Whole, request_id: str) -> Whole | Lost:
    """Return a response, or a loss if it has no length and a duplicate of it follows in its body.

    :param response: a complete response.
    :param request_id: id of the request, which the head of a duplicate names.
    """
    status_line = None if response.delimited else STATUS_LINE.search(response.body)
    if status_line and request_id.encode() in response.body[status_line.end() :]:
        return Lost("a second response follows one without length")
    return response
