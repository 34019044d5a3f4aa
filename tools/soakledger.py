"""What a soak saw: what upstreams ran, what clients were told, and who was hurt when."""

from collections import Counter
from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import inf

GRACE_SECONDS = 6
"""Time from a SIGTERM to the SIGKILL."""

LATE_SECONDS = 3.0
"""From this long after a gateway's SIGTERM on, what it takes must be finished."""

LAST_SECONDS = GRACE_SECONDS / 6
"""Part of the grace in which streams that came earlier may be cut."""

CONTACT_SECONDS = 1.0
"""Time before a request, or before its gateway's SIGTERM, whose other faults still excuse it."""

HELD_BACK = "held-back"
"""Stands in the refusal of a request under which upstreams have ended."""

GATEWAY_STATUSES = (408, 421, 429, 502, 503, 504)
"""Failures with which a gateway may answer a request by itself."""

NOT_STOPPED = "no SIGTERM"
BEFORE = "before"
AFTER = "after"
LATE = f"{LATE_SECONDS:g} s after"
ROWS = (NOT_STOPPED, BEFORE, AFTER, LATE)


class Kind(StrEnum):
    """What was asked for."""

    PLAIN = "plain"
    STREAM = "stream"


class Ending(StrEnum):
    """How a request ended for its client."""

    WHOLE = "whole"
    CUT = "cut"
    """The connection ended in the middle of the answer."""
    REFUSED = "refused"
    """Answered with a status that promises that nothing ran."""
    FAILED = "failed"
    """Answered with another failure, or left by the client."""
    UNREAD = "unread"
    """No answer, and no upstream saw the request."""
    UNANSWERED = "unanswered"
    """No answer, though an upstream saw the request."""


PART_HELD = "a part of this one"
"""In a refusal because of a part that a prompt shares with others."""

CRASHES_BORNE, PART_CRASHES_BORNE = 3, 5
"""Upstreams that may end under one request, and under one part of prompts, before it must reach
none."""

CRASH_CONTACT_SECONDS = 3.0
"""Time from the last of these ends in which all gateways must have heard of it; a gateway that was
hurt so lately, or beside a coordinator that was, may not have."""

CRASH_RETRIES_BORNE = 3
"""Sends of such a request that are borne after that."""

BREAKS = (Ending.CUT, Ending.UNANSWERED)


@dataclass(frozen=True)
class Asked:
    """One request as its client saw it; times in seconds, ``ending`` is none without an answer."""

    request: str
    kind: Kind
    gateway: str
    sent: float
    ended: float
    ending: Ending | None


@dataclass(frozen=True)
class Stop:
    """A gateway's first SIGTERM, and when its process was seen to be gone."""

    at: float
    gone: float = inf


@dataclass(frozen=True)
class Hurt:
    """A fault other than a SIGTERM at a gateway or a link."""

    target: str
    begin: float
    end: float


@dataclass
class History:
    """Which gateways got SIGTERM, and what else was hurt."""

    stops: dict[str, list[Stop]] = field(default_factory=dict)
    hurts: list[Hurt] = field(default_factory=list)

    def note_stop(self, gateway: str, now: float) -> None:
        """Note a SIGTERM; a second one to the same process changes nothing."""
        known = self.stops.setdefault(gateway, [])
        if not known or known[-1].gone < inf:
            known.append(Stop(now))

    def note_gone(self, gateway: str, now: float) -> None:
        """Note that a gateway's process is gone, and a new one starts."""
        known = self.stops.get(gateway)
        if known and known[-1].gone == inf:
            known[-1] = replace(known[-1], gone=now)

    def get_stopping(self, gateway: str) -> float | None:
        """Return when a process that still runs got SIGTERM, if it did."""
        known = self.stops.get(gateway)
        return known[-1].at if known and known[-1].gone == inf else None

    def find_stop(self, asked: Asked) -> Stop | None:
        """Return the SIGTERM during which a request was open, if any."""
        for stop in self.stops.get(asked.gateway, ()):
            if stop.at <= asked.ended and asked.sent < stop.gone:
                return stop
        return None

    def is_hurt(self, targets: set[str], since: float, until: float) -> bool:
        """Return whether one of some targets was hurt in a span of time."""
        return any(
            hurt.target in targets and hurt.begin <= until and hurt.end >= since
            for hurt in self.hurts
        )


@dataclass(frozen=True)
class Given:
    """An upstream's answer to a request that it ran; streams have another body."""

    request: str
    status: int
    signature: str

    @property
    def body(self) -> str:
        """The whole body, in which no two answers are the same."""
        return f"{self.request} {self.status} {self.signature}"


@dataclass
class Ledger:
    """What upstreams ran and what clients were told.

    :param given: the upstreams' answers by signature; each has its own.
    :param broken_off: requests whose answer an upstream did not send to its end.
    :param reached: names of the links over which each request reached upstreams.
    :param crashing: gateways of the requests that end each upstream which begins them.
    :param held: other requests that were refused as if they did.
    :param part_held: those of them that were refused because of a part of their prompts.
    """

    runs: dict[str, int] = field(default_factory=dict)
    promised_not_run: set[str] = field(default_factory=set)
    whole: int = 0
    refused: int = 0
    failed: int = 0
    broken: list[str] = field(default_factory=list)
    acknowledged: int = 0
    reached: dict[str, set[str]] = field(default_factory=dict)
    asked: list[Asked] = field(default_factory=list)
    history: History = field(default_factory=History)
    streams: Counter[tuple[str, Ending]] = field(default_factory=Counter)
    crashing: dict[str, str] = field(default_factory=dict)
    held: int = 0
    part_held: int = 0
    given: dict[str, Given] = field(default_factory=dict)
    broken_off: set[str] = field(default_factory=set)

    def give(self, request: str, upstream: str, status: int) -> Given:
        """Return an upstream's answer to a request, which it is about to send."""
        given = Given(request, status, f"{upstream}.{len(self.given)}")
        self.given[given.signature] = given
        return given

    def check_answer(
        self, request: str, status: int, signature: str | None, body: str | None = None
    ) -> None:
        """Note an answer to a client that neither an upstream nor a gateway may have given.

        :param signature: that of an upstream; a gateway's own failures have none.
        :param body: the whole body, unless it is a stream's.
        """
        if signature is None and status in GATEWAY_STATUSES:
            return
        given = self.given.get(signature or "")
        if given is None or (given.request, given.status) != (request, status):
            gave = [g.body for g in self.given.values() if g.request == request]
            self.broken.append(f"{request} got {status} {signature}; its upstreams gave {gave}")
        elif body not in (None, given.body):
            self.broken.append(f"{request} got the body {body!r} for {given.body!r}")

    def check_runs(self, idempotent: set[str]) -> None:
        """Note requests that ran twice, or ran though a client was told that they did not."""
        for request, count in self.runs.items():
            if count > 1 and request not in idempotent:
                self.broken.append(f"{request} ran {count} times")
            if request in self.promised_not_run:
                self.broken.append(f"{request} ran though it was refused as not run")

    def check_stops(self) -> None:
        """Count the streams, and note requests that were lost to a SIGTERM alone."""
        for asked in self.asked:
            stop = self.history.find_stop(asked)
            ending = self._find_ending(asked)
            if asked.kind is Kind.STREAM:
                self.streams[_find_row(asked, stop), ending] += 1
            if stop is not None and ending in BREAKS and self._is_lost(asked, stop):
                self.broken.append(_describe(asked, stop, ending))

    def check_crashing(
        self,
        kind: str,
        crashed: list[float],
        reached: list[tuple[float, str]],
        borne: int = CRASHES_BORNE,
    ) -> None:
        """Note sends that came too late after a request or a part had ended upstreams.

        :param kind: what kind of upstreams, and what ended them.
        :param crashed: when upstreams ended under it.
        :param reached: when it reached upstreams, and the ids of these attempts.
        :param borne: ends that are borne.
        """
        if len(crashed) < borne:
            return
        known_at = sorted(crashed)[borne - 1] + CRASH_CONTACT_SECONDS
        late = [request for at, request in reached if at > known_at and self._knew(request, at)]
        if len(late) > CRASH_RETRIES_BORNE:
            said = f"{kind}: {len(late)} sends too late, {len(crashed)} upstreams ended"
            self.broken.append(f"{said} under one request: {late}")

    def _knew(self, request: str, at: float) -> bool:
        """Return whether the gateway that sent a request was in touch for long."""
        gateway = self.crashing.get(request, "")
        since = at - CRASH_CONTACT_SECONDS
        hurt = {h.target for h in self.history.hurts if h.begin <= at and h.end >= since}
        stops = (s.at for s in self.history.stops.get(gateway, ()))
        stopped = any(since - GRACE_SECONDS <= stop <= at for stop in stops)
        coordinator = any(name.startswith("coordinator") for name in hurt)
        return not (gateway in hurt or coordinator or stopped)

    def _find_ending(self, asked: Asked) -> Ending:
        if asked.ending is not None:
            return asked.ending
        return Ending.UNANSWERED if asked.request in self.reached else Ending.UNREAD

    def _is_lost(self, asked: Asked, stop: Stop) -> bool:
        """Return whether a request should not have ended as it did."""
        early = asked.sent <= stop.at + LATE_SECONDS
        used = asked.ended >= stop.at + GRACE_SECONDS - LAST_SECONDS
        if asked.kind is Kind.STREAM and (early and used or asked.request in self.broken_off):
            return False
        targets = {asked.gateway} | self.reached.get(asked.request, set())
        since = min(asked.sent, stop.at) - CONTACT_SECONDS
        return not self.history.is_hurt(targets, since, asked.ended)

    def render_streams(self) -> str:
        """Return the table of streams: when they were sent, and how they ended."""
        lines = [f"{'streams sent':12}" + "".join(f"{ending:>12}" for ending in Ending)]
        for row in ROWS:
            counts = (self.streams[row, ending] for ending in Ending)
            lines.append(f"{row:12}" + "".join(f"{count:>12}" for count in counts))
        return "\n".join(lines)


def _find_row(asked: Asked, stop: Stop | None) -> str:
    if stop is None:
        return NOT_STOPPED
    if asked.sent < stop.at:
        return BEFORE
    return AFTER if asked.sent <= stop.at + LATE_SECONDS else LATE


def _describe(asked: Asked, stop: Stop, ending: Ending) -> str:
    return (
        f"{asked.request} ({asked.kind}) sent {asked.sent - stop.at:.2f} s after the SIGTERM of "
        f"{asked.gateway}: {ending} {asked.ended - stop.at:.2f} s after it"
    )
