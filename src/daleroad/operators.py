"""The calls of operators, and locate, at the leading control process."""

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
from daleroad.location import pick_addresses
from daleroad.records import RECORD_TYPES, Operator, Record
from daleroad.security import get_bearer, is_token

if TYPE_CHECKING:
    from daleroad.control import Control

_AUDIT_MOST = 1000
"""Rows of the audit trail in one answer; the next question goes on behind the last."""


class OperatorFace:
    """The calls of operators, and locate, as the schema defines them.

    :param control: the control process.
    """

    def __init__(self, control: "Control") -> None:
        self._control = control

    async def locate(
        self, request: LocateRequest, ctx: RequestContext[LocateRequest, LocateAnswer], /
    ) -> LocateAnswer:
        """Return addresses of entries."""
        control = self._control
        if not control.group.is_leading():
            raise ConnectError(Code.UNAVAILABLE, "ask the leader or an entry")
        entries = control.machine.catalog.entries.values()
        addresses = pick_addresses(entries, request.zone, request.most, control.random)
        keep = control.settings.locate_keep
        return LocateAnswer(addresses=addresses, keep_seconds=keep)

    async def change(
        self, request: ChangeRequest, ctx: RequestContext[ChangeRequest, ChangeAnswer], /
    ) -> ChangeAnswer:
        """Propose an operator's change and wait until it is in force."""
        operator = self._authenticate(ctx)
        if not self._control.group.has_served_term():
            return _refuse_change(self._control.group.refuse())
        change = parse_change(request.kind, request.body)
        if isinstance(change, Failure):
            return _refuse_change(change)
        if not request.operation:
            return _refuse_change(Failure(FailureKind.INVALID, "the operation id is empty"))
        command = Command(
            request.operation,
            operator.name,
            operator.partner,
            request.base,
            time.time(),
            change,
        )
        self._control.changes.inc()
        outcome = await self._control.propose(change, command)
        if isinstance(outcome, Failure):
            return _refuse_change(outcome)
        return await self._answer_change(outcome, request.wait_seconds)

    async def read(
        self, request: ReadRequest, ctx: RequestContext[ReadRequest, ReadAnswer], /
    ) -> ReadAnswer:
        """Return the operator's own records of a kind; shares and membership are seen by all."""
        operator = self._authenticate(ctx)
        catalog = self._control.machine.catalog
        if not self._control.group.has_served_term():
            raise ConnectError(Code.UNAVAILABLE, self._control.group.refuse().reason)
        if request.kind in ("entries", "upstreams"):
            table = catalog.entries if request.kind == "entries" else catalog.upstreams
            body = encode(tuple(table.values()))
            return ReadAnswer(body=body.decode(), revision=catalog.revision)
        if request.kind not in RECORD_TYPES:
            known = ", ".join([*RECORD_TYPES, "entries", "upstreams"])
            raise ConnectError(Code.INVALID_ARGUMENT, f"kinds are {known}")
        seen = (
            versioned
            for versioned in catalog.list_records(request.kind)
            if request.kind == "Share" or versioned.record.partner == operator.partner
        )
        return ReadAnswer(body=encode(tuple(seen)).decode(), revision=catalog.revision)

    async def audit(
        self, request: AuditRequest, ctx: RequestContext[AuditRequest, AuditAnswer], /
    ) -> AuditAnswer:
        """Return rows of the audit trail that concern the operator's partner."""
        operator = self._authenticate(ctx)
        if not self._control.group.has_served_term():
            raise ConnectError(Code.UNAVAILABLE, self._control.group.refuse().reason)
        rows: Iterator[AuditRow] = (
            row
            for row in self._control.machine.catalog.audit
            if row.partner == operator.partner and row.index > request.after
        )
        most = min(request.most or _AUDIT_MOST, _AUDIT_MOST)
        texts = [encode(row).decode() for row, _ in zip(rows, range(most), strict=False)]
        return AuditAnswer(rows=texts)

    def _authenticate(self, ctx: RequestContext[Any, Any]) -> Operator:
        token = get_bearer(ctx.request_headers.get("authorization", ""))
        for versioned in self._control.machine.catalog.list_records("Operator"):
            operator = versioned.record
            assert isinstance(operator, Operator)
            if is_token(token, operator.token_hash):
                return operator
        raise ConnectError(Code.UNAUTHENTICATED, "unknown operator")

    async def _answer_change(self, outcome: Outcome, wait_seconds: float) -> ChangeAnswer:
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


def _refuse_change(failure: Failure) -> ChangeAnswer:
    if failure.ran is Ran.UNKNOWN:
        reason = f"{failure.reason}; send the same operation again to learn its outcome"
        return ChangeAnswer(accepted=False, failure=failure.kind.value, reason=reason)
    return ChangeAnswer(accepted=False, failure=failure.kind.value, reason=failure.reason)


def parse_change(kind: str, body: str) -> Change | Failure:
    """Return the change that an operator's request holds, or a failure.

    :param kind: ``Put`` or ``Remove`` before a record's class name, for example ``PutRoute``.
    :param body: the record's fields, or its name, as JSON.
    """
    verb, type_name = ("Put", kind[3:]) if kind.startswith("Put") else ("Remove", kind[6:])
    shape = RECORD_TYPES.get(type_name)
    if shape is None or not kind.startswith(verb):
        known = ", ".join(f"Put{name}, Remove{name}" for name in RECORD_TYPES)
        return Failure(FailureKind.INVALID, f"unknown change {kind}; known are {known}")
    if verb == "Remove":
        name = decode(dict[str, str], body)
        if isinstance(name, Failure):
            return name
        return Remove(type_name, name.get("name", ""))
    record = decode(shape, body)
    return record if isinstance(record, Failure) else Put(record)
