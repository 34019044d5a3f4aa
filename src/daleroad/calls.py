"""How one of our processes calls another, whatever carries the call."""

from collections.abc import Mapping
from typing import Any, Protocol

from daleroad.codec import decode
from daleroad.errors import Failure, FailureKind, Ran

_FIRST_ERROR_STATUS = 400

_RETRY_MOST_SECONDS = 86_400.0
"""A problem document that names a longer pause than a day names none."""


class Calls(Protocol):
    """Calls other processes of ours.

    :param token: shown to them.
    """

    token: str

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ) -> Any:
        """Send a message to one of our processes and return the typed answer or a failure.

        :param url: the whole URL.
        :param body: the message as JSON.
        :param answer_type: the type of the answer.
        :param read_seconds: longest wait for the answer, if not the default.
        """


def read_answer(status: int, body: bytes, answer_type: Any) -> Any:
    """Return the typed answer to a call, nothing where its body is empty, or a failure.

    :param status: the answer's HTTP status.
    :param body: its body.
    :param answer_type: the type of the answer.
    """
    if status >= _FIRST_ERROR_STATUS:
        return parse_problem(body)
    return decode(answer_type, body) if body else None


def parse_problem(body: bytes) -> Failure:
    """Return the failure in a problem document; without one it is unknown whether anything ran.

    :param body: the document.
    """
    found = decode(Mapping[str, Any], body)
    if isinstance(found, Failure):
        return Failure(FailureKind.UNREACHABLE, "an error without a problem document", Ran.UNKNOWN)
    try:
        kind = FailureKind(str(found.get("title")))
        ran = Ran(str(found.get("ran", "unknown")))
    except ValueError:
        return Failure(FailureKind.UNREACHABLE, "an unknown problem document", Ran.UNKNOWN)
    retry_after = found.get("retry_after")
    if type(retry_after) not in (int, float) or not 0 <= retry_after <= _RETRY_MOST_SECONDS:
        retry_after = None
    return Failure(kind, str(found.get("detail", "")), ran, retry_after)


def make_url(name: str) -> str:
    """Return the base URL of one of our processes.

    :param name: its IP:PORT.
    """
    return f"http://{name}"
