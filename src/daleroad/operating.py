"""An operator's client: changes, reads and the audit trail, at whichever process leads."""

import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, TypeVar
from uuid import uuid4

import httpx

from daleroad.codec import encode
from daleroad.daleroad_pb import (
    AuditAnswer,
    AuditRequest,
    ChangeAnswer,
    ChangeRequest,
    ReadAnswer,
    ReadRequest,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.links import OWN_ANSWER_BYTES, read_body_now
from daleroad.publicmessages import read_message
from daleroad.records import Record

_SERVICE = "/daleroad.v1.Operators"
_PAUSE_SECONDS = 0.2

T = TypeVar("T", ChangeAnswer, ReadAnswer, AuditAnswer)

_PASSING = (FailureKind.NOT_LEADER, FailureKind.NO_MAJORITY, FailureKind.LEADERSHIP_LOST)


class OperatorClient:
    """Calls of one operator.

    :param urls: base URLs of the control processes.
    :param token: the operator's token.
    :param limit: seconds to look for a leader.
    """

    def __init__(self, urls: Sequence[str], token: str, limit: float = 15.0) -> None:
        self._urls = list(urls)
        self._limit = limit
        headers = {
            "authorization": f"Bearer {token}",
            "content-type": "application/json",
            "accept-encoding": "identity",
        }
        self._client = httpx.Client(headers=headers, timeout=20.0, trust_env=False)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def put(
        self, record: Record, base: int, operation: str = "", wait: float = 8.0
    ) -> ChangeAnswer | Failure:
        """Create or replace a record.

        :param record: the record.
        :param base: the version it was based on; 0 creates.
        :param operation: idempotency key of the operation; one is made if empty.
        :param wait: seconds to wait until the change is in force.
        """
        kind = f"Put{type(record).__name__}"
        body = encode(record).decode()
        return self.change(kind, body, base, operation, wait)

    def change(
        self, kind: str, body: str, base: int, operation: str = "", wait: float = 8.0
    ) -> ChangeAnswer | Failure:
        """Make a change.

        :param kind: for example ``PutRoute`` or ``RemoveRoute``.
        :param body: the record's fields, or its name, as JSON.
        :param base: the version it was based on; 0 creates.
        :param operation: idempotency key of the operation; one is made if empty.
        :param wait: seconds to wait until the change is in force.
        """
        request = ChangeRequest(
            operation=operation or uuid4().hex,
            kind=kind,
            body=body,
            base=base,
            wait_seconds=wait,
        )
        return self._call("Change", request, ChangeAnswer, _is_settled)

    def read(self, kind: str) -> ReadAnswer | Failure:
        """Read the records of a kind.

        :param kind: a record's class name, ``entries`` or ``upstreams``.
        """
        return self._call("Read", ReadRequest(kind=kind), ReadAnswer, _is_anything)

    def audit(self, after: int = 0, most: int = 0) -> AuditAnswer | Failure:
        """Read the audit trail.

        :param after: log index to start after.
        :param most: how many rows at most.
        """
        request = AuditRequest(after=after, most=most)
        return self._call("Audit", request, AuditAnswer, _is_anything)

    def _call(
        self,
        method: str,
        request: Any,
        shape: type[T],
        is_settled: Callable[[T], bool],
    ) -> T | Failure:
        """Ask one process after the other until one that leads answers."""
        deadline = time.monotonic() + self._limit
        failure = Failure(FailureKind.UNREACHABLE, "no control process answered", Ran.UNKNOWN, 1)
        turn = 0
        while time.monotonic() < deadline:
            url = self._urls[turn % len(self._urls)]
            turn += 1
            answer = self._post(f"{url}{_SERVICE}/{method}", request.to_json())
            if isinstance(answer, Failure):
                failure = answer
                if failure.kind is not FailureKind.UNREACHABLE:
                    return failure
            else:
                parsed = read_message(shape, answer)
                if isinstance(parsed, Failure):
                    failure = Failure(FailureKind.UNREACHABLE, parsed.reason, parsed.ran, 1.0)
                elif is_settled(parsed):
                    return parsed
            if turn % len(self._urls) == 0:
                time.sleep(_PAUSE_SECONDS)
        return failure

    def _post(self, url: str, body: str) -> bytes | Failure:
        try:
            with self._client.stream("POST", url, content=body) as response:
                found = read_body_now(response, OWN_ANSWER_BYTES)
        except httpx.HTTPError as error:
            return Failure(FailureKind.UNREACHABLE, f"{url}: {error!r}", Ran.UNKNOWN, 1.0)
        if response.status_code == HTTPStatus.OK:
            return found
        kinds = {400: FailureKind.BAD_REQUEST, 401: FailureKind.UNAUTHENTICATED}
        kind = kinds.get(response.status_code, FailureKind.UNREACHABLE)
        return Failure(kind, f"{response.status_code}: {found[:300].decode(errors='replace')}")


def _is_settled(answer: ChangeAnswer) -> bool:
    return answer.accepted or answer.failure not in [kind.value for kind in _PASSING]


def _is_anything(answer: object) -> bool:
    return True
