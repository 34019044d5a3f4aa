"""RPC handlers of the control process for operators, and for callers that locate an entry.

Only the leader answers.
"""

import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from connectrpc.request import RequestContext

from daleroad.catalog import AuditRow, Change, Command, Outcome, Put, Remove
from daleroad.codec import decode, encode
from daleroad.daleroad_pb import (
    AuditAnswer,
    AuditRequest,
    ChangeAnswer,
    ChangeRequest,
    LocateAnswer,
    LocateRequest,
    ReadAnswer,
    ReadRequest,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.jsonnames import find_repeated_name
from daleroad.location import pick_addresses
from daleroad.records import RECORD_TYPES, Operator, Record
from daleroad.security import get_bearer, is_token

if TYPE_CHECKING:
    from daleroad.control import Control

_MAX_AUDIT_ROWS = 1000
"""Largest number of audit rows in one answer. A request continues after the last row received."""


class OperatorService:
    """Implements the operator and locator services of the schema.

    :param control: the control process.
    """

    def __init__(self, control: "Control") -> None:
        self._control = control

    async def locate(
        self, request: LocateRequest, ctx: RequestContext[LocateRequest, LocateAnswer], /
    ) -> LocateAnswer:
        """Return addresses of entries for a caller."""
        control = self._control
        if not control.group.is_leading():
            raise ConnectError(
                Code.UNAVAILABLE, "not the leader; send the request to the leader or an entry"
            )
        entries = control.machine.catalog.entries.values()
        addresses = pick_addresses(entries, request.zone, request.most, control.random)
        keep_seconds = control.settings.locate_keep
        return LocateAnswer(addresses=addresses, keep_seconds=keep_seconds)

    async def change(
        self, request: ChangeRequest, ctx: RequestContext[ChangeRequest, ChangeAnswer], /
    ) -> ChangeAnswer:
        """Commit an operator's change and wait until it is in force on all entries.

        The answer says whether it was in force before the requested wait ended.
        """
        operator = self._authenticate(ctx)
        if not self._control.group.can_serve_reads():
            return _make_refusal(self._control.group.make_redirect())
        change = _parse_change(request.kind, request.body)
        if isinstance(change, Failure):
            return _make_refusal(change)
        if not request.operation:
            return _make_refusal(Failure(FailureKind.INVALID, "operation id is empty"))
        command = Command(
            request.operation,
            operator.name,
            operator.partner,
            request.base,
            time.time(),
            change,
        )
        self._control.changes.inc()
        outcome = await self._control.propose_checked(command)
        if isinstance(outcome, Failure):
            return _make_refusal(outcome)
        return await self._make_change_answer(outcome, request.wait_seconds)

    async def read(
        self, request: ReadRequest, ctx: RequestContext[ReadRequest, ReadAnswer], /
    ) -> ReadAnswer:
        """Return the records of a kind that belong to the operator's partner.

        Shares, entries and upstreams are visible to all operators.
        """
        operator = self._authenticate(ctx)
        catalog = self._control.machine.catalog
        if not self._control.group.can_serve_reads():
            raise ConnectError(Code.UNAVAILABLE, self._control.group.make_redirect().reason)
        if request.kind in ("entries", "upstreams"):
            table = catalog.entries if request.kind == "entries" else catalog.upstreams
            body = encode(tuple(table.values()))
            return ReadAnswer(body=body.decode(), revision=catalog.revision)
        if request.kind not in RECORD_TYPES:
            known = ", ".join([*RECORD_TYPES, "entries", "upstreams"])
            raise ConnectError(Code.INVALID_ARGUMENT, f"unknown kind; known kinds are {known}")
        visible = (
            versioned
            for versioned in catalog.list_records(request.kind)
            if request.kind == "Share" or versioned.record.partner == operator.partner
        )
        return ReadAnswer(body=encode(tuple(visible)).decode(), revision=catalog.revision)

    async def audit(
        self, request: AuditRequest, ctx: RequestContext[AuditRequest, AuditAnswer], /
    ) -> AuditAnswer:
        """Return audit rows of the operator's partner."""
        operator = self._authenticate(ctx)
        if not self._control.group.can_serve_reads():
            raise ConnectError(Code.UNAVAILABLE, self._control.group.make_redirect().reason)
        rows: Iterator[AuditRow] = (
            row
            for row in self._control.machine.catalog.audit
            if row.partner == operator.partner and row.index > request.after
        )
        max_rows = min(request.most or _MAX_AUDIT_ROWS, _MAX_AUDIT_ROWS)
        texts = [encode(row).decode() for row, _ in zip(rows, range(max_rows), strict=False)]
        return AuditAnswer(rows=texts)

    def _authenticate(self, ctx: RequestContext[Any, Any]) -> Operator:
        token = get_bearer(ctx.request_headers.get("authorization", ""))
        for versioned in self._control.machine.catalog.list_records("Operator"):
            operator = versioned.record
            assert isinstance(operator, Operator)
            if is_token(token, operator.token_hash):
                return operator
        raise ConnectError(Code.UNAUTHENTICATED, "bearer token matches no operator")

    async def _make_change_answer(self, outcome: Outcome, wait_seconds: float) -> ChangeAnswer:
        if outcome.failure is not None:
            current = encode(outcome.current, Record).decode() if outcome.current else ""
            return ChangeAnswer(
                accepted=False,
                failure=outcome.failure.kind.value,
                reason=outcome.failure.reason,
                version=outcome.version,
                current=current,
            )
        in_force = await self._control.wait_in_force(outcome.version, wait_seconds)
        return ChangeAnswer(accepted=True, version=outcome.version, in_force=in_force)


def _make_refusal(failure: Failure) -> ChangeAnswer:
    if failure.ran is Ran.UNKNOWN:
        reason = f"{failure.reason}; outcome is unknown, retry with the same operation id"
        return ChangeAnswer(accepted=False, failure=failure.kind.value, reason=reason)
    return ChangeAnswer(accepted=False, failure=failure.kind.value, reason=failure.reason)


def _parse_change(kind: str, body: str) -> Change | Failure:
    """Parse the change in an operator's request.

    :param kind: ``Put`` or ``Remove`` and a record's class name, for example ``PutRoute``.
    :param body: the record as JSON, or a JSON object with its ``name`` to remove it.
    """
    action, type_name = ("Put", kind[3:]) if kind.startswith("Put") else ("Remove", kind[6:])
    record_type = RECORD_TYPES.get(type_name)
    if record_type is None or not kind.startswith(action):
        known = ", ".join(f"Put{name}, Remove{name}" for name in RECORD_TYPES)
        return Failure(FailureKind.INVALID, f"unknown change {kind}; known changes are {known}")
    repeated = _find_repeated_name(body)
    if repeated is not None:
        return Failure(FailureKind.INVALID, f"an object has two members {repeated!r}")
    if action == "Remove":
        name = decode(dict[str, str], body)
        if isinstance(name, Failure):
            return name
        return Remove(type_name, name.get("name", ""))
    record = decode(record_type, body)
    return record if isinstance(record, Failure) else Put(record)


def _find_repeated_name(body: str) -> str | None:
    try:
        return find_repeated_name(body)
    except ValueError:
        # The decoder describes it.
        return None
