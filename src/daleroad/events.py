"""Numbered log events. docs/EVENTS.md is the catalogue; a test compares the two."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from absl import logging

from daleroad.logs import LineBudget, make_line

_LEVELS = {logging.INFO: "info", logging.WARNING: "warning", logging.ERROR: "error"}


@dataclass(frozen=True)
class Kind:
    """A kind of event: its number, level and one-line meaning."""

    number: int
    level: int
    meaning: str


class Event(Enum):
    """All events that a process logs."""

    STARTED = Kind(100, logging.INFO, "A process started.")
    STOPPING = Kind(101, logging.INFO, "A process was asked to stop and drains.")
    STOPPED = Kind(102, logging.INFO, "A process stopped.")
    DRAINED = Kind(104, logging.INFO, "A gateway's drain is over.")
    RELOADED = Kind(103, logging.INFO, "The settings changed and were read again.")
    RESUMED = Kind(105, logging.WARNING, "The machine was suspended and runs again.")
    SETTINGS_REFUSED = Kind(110, logging.ERROR, "The settings can't be used.")
    STORAGE_REFUSED = Kind(111, logging.ERROR, "The data folder can't be used.")
    COMMAND_FAILED = Kind(112, logging.ERROR, "A command of the command line failed.")
    LEADER_ELECTED = Kind(200, logging.INFO, "This member became leader of a group.")
    LEADER_STEPPED_DOWN = Kind(201, logging.WARNING, "This member stopped leading a group.")
    MEMBER_READMITTED = Kind(
        202, logging.WARNING, "A committed change of a group's membership was applied."
    )
    SNAPSHOT_TAKEN = Kind(203, logging.INFO, "A snapshot replaced the older part of a log.")
    SNAPSHOT_INSTALLED = Kind(204, logging.INFO, "A member took over a leader's snapshot.")
    STORAGE_FAILED = Kind(205, logging.ERROR, "The disk refused a write; nothing was told.")
    STORAGE_REGAINED = Kind(206, logging.INFO, "The disk takes writes again.")
    MEMBERS_PLANNED = Kind(207, logging.INFO, "The leader proposes another membership.")
    GROUP_FOUNDED = Kind(208, logging.INFO, "This member wrote the founding state to its disk.")
    CONFIG_COMMITTED = Kind(209, logging.INFO, "A routing configuration is on a majority of disks.")
    CHANGE_APPLIED = Kind(210, logging.INFO, "A change was accepted or refused by the log.")
    ENTRY_JOINED = Kind(220, logging.INFO, "An entry joined the membership.")
    ENTRY_LEFT = Kind(221, logging.WARNING, "An entry left the membership.")
    COORDINATOR_LEARNT = Kind(222, logging.INFO, "A coordinator was heard of.")
    COORDINATOR_SILENT = Kind(223, logging.WARNING, "A coordinator was not heard for too long.")
    LEAVE_NOT_SPREAD = Kind(224, logging.WARNING, "No other coordinator heard an upstream's leave.")
    DOCUMENT_UNREADABLE = Kind(225, logging.ERROR, "A committed document can't be read.")
    HEARTBEAT_REFUSED = Kind(226, logging.WARNING, "An upstream's heartbeat can't be read.")
    CONFIG_REFUSED = Kind(227, logging.INFO, "A routing configuration was not accepted.")
    GATEWAY_NAMED = Kind(230, logging.INFO, "A coordinator names a gateway to clients.")
    GATEWAY_WITHDRAWN = Kind(231, logging.INFO, "A coordinator names a gateway no longer.")
    LEASE_LOST = Kind(300, logging.WARNING, "An entry has no configuration lease.")
    LEASE_GAINED = Kind(301, logging.INFO, "An entry got its configuration lease.")
    FLEET_RECOVERED = Kind(228, logging.INFO, "A coordinator began with the upstreams on its disk.")
    SUSPECTS_RECOVERED = Kind(
        232, logging.INFO, "A coordinator began with the suspected requests on its disk."
    )
    SUSPECTS_NOT_KEPT = Kind(
        233, logging.WARNING, "The suspected requests could not be written or read."
    )
    FLEET_NOT_KEPT = Kind(
        229, logging.WARNING, "The list of upstreams could not be written or read; none is needed."
    )
    ZONE_ORDER_COMMITTED = Kind(
        234,
        logging.INFO,
        "An operator's order about an availability zone is on a majority of disks.",
    )
    ZONE_ORDER_ANSWERED = Kind(
        239, logging.INFO, "A coordinator answered an operator's order about an availability zone."
    )
    ZONE_ORDER_REFUSED = Kind(235, logging.WARNING, "An order about a zone was not accepted.")
    QUEUE_LONG = Kind(236, logging.WARNING, "Many prompts wait for room in a service's engines.")
    QUEUE_EMPTIED = Kind(237, logging.INFO, "No prompt waits any more where many did.")
    PROMPT_REFUSED = Kind(
        238, logging.INFO, "A prompt that waited for an engine can't start in time and is refused."
    )
    ZONES_IN_FORCE = Kind(307, logging.WARNING, "A gateway goes by other evacuated zones.")
    CONFIG_IN_FORCE = Kind(302, logging.INFO, "A gateway serves by a newer configuration.")
    ROUTE_OVERRIDDEN = Kind(
        308, logging.WARNING, "A route gets no requests: a later one has its host and prefix."
    )
    COORDINATOR_LOST = Kind(303, logging.WARNING, "A gateway's watch of a coordinator failed.")
    COORDINATOR_REGAINED = Kind(304, logging.INFO, "A coordinator answers a gateway again.")
    PLACING_LOST = Kind(
        305, logging.WARNING, "The leading coordinator names no engines; a gateway chooses alone."
    )
    PLACING_REGAINED = Kind(306, logging.INFO, "The leading coordinator names engines again.")
    UPSTREAM_JOINED = Kind(310, logging.INFO, "An upstream announced itself.")
    UPSTREAM_DRAINING = Kind(311, logging.INFO, "An upstream is leaving and gets no new work.")
    UPSTREAM_LEFT = Kind(312, logging.WARNING, "An upstream is gone.")
    UPSTREAM_EJECTED = Kind(313, logging.WARNING, "An upstream was ejected on evidence.")
    UPSTREAM_LIMITED = Kind(
        314, logging.WARNING, "An upstream named, changed or lifted a limit on its requests."
    )
    UPSTREAM_RESTS = Kind(315, logging.INFO, "An upstream asked a gateway for rest.")
    UPSTREAM_SAYS_LEAVING = Kind(316, logging.INFO, "An upstream said in an answer that it leaves.")
    ENGINE_SLOW = Kind(
        318, logging.WARNING, "An engine generates much slower than the quickest of its service."
    )
    ENGINE_SLOW_ENDED = Kind(319, logging.INFO, "An engine is not that slow any more.")
    BACKPRESSURE_UNREADABLE = Kind(
        317, logging.WARNING, "What an answer says of its upstream can't be read."
    )
    REQUEST_REFUSED = Kind(320, logging.INFO, "A request was refused.")
    REQUEST_MOVED = Kind(321, logging.INFO, "A request moved to another upstream before output.")
    STREAM_RESUMED = Kind(322, logging.INFO, "A generation was resumed after a gap or a cut.")
    STREAM_ENDED = Kind(323, logging.INFO, "A stream to a client ended, whole or not.")
    REQUEST_ANSWERED = Kind(324, logging.INFO, "A request got an upstream's whole answer.")
    STREAM_BEGUN = Kind(325, logging.INFO, "A stream to a client begins.")
    ATTEMPT_FAILED = Kind(326, logging.INFO, "An upstream did not answer a request as hoped.")
    STREAM_MOVED = Kind(
        327, logging.INFO, "A stream goes on at another upstream, resumed or restarted."
    )
    REQUEST_SUSPECTED = Kind(
        337, logging.WARNING, "Upstreams crashed on a request or a part of prompts."
    )
    REQUEST_RELEASED = Kind(338, logging.WARNING, "An operator released a request that was held.")
    EVENT_DOUBLED = Kind(336, logging.WARNING, "An upstream sent an event that the client has.")
    STREAM_COPIED = Kind(330, logging.INFO, "A generation's memory was copied to another engine.")
    COPIES_PLANNED = Kind(334, logging.INFO, "A schedule for getting off an engine was made.")
    REPORT_FAILED = Kind(335, logging.WARNING, "An engine's report could not be had.")
    MOVE_FAILED = Kind(
        328, logging.WARNING, "A generation could not be copied, or a stream resumed, elsewhere."
    )
    ANSWER_CUT = Kind(329, logging.INFO, "An answer to a client ended before it was whole.")
    PATH_LOST = Kind(
        340, logging.WARNING, "A gateway can't connect to an upstream directly; others may."
    )
    PATH_RESTORED = Kind(341, logging.INFO, "A gateway connects to an upstream directly again.")
    ATTEMPT_TUNNELED = Kind(
        342, logging.INFO, "A request reached its upstream through another gateway."
    )
    TUNNEL_ENDED = Kind(343, logging.INFO, "A gateway carried a connection for another one.")
    LINK_SILENT = Kind(
        344, logging.WARNING, "A request was given up on an open connection that is cut."
    )
    SURPLUS_RECEIVED = Kind(
        345, logging.WARNING, "An upstream sent bytes that belong to no response."
    )
    MEMORY_BOUND_REACHED = Kind(
        350, logging.WARNING, "A gateway holds as many bytes as its memory allows."
    )
    MEMORY_BOUND_OVER = Kind(351, logging.INFO, "A gateway has room for requests again.")
    ORDER_SENT = Kind(333, logging.INFO, "An order was sent to an engine.")
    ORDER_SETTLED = Kind(331, logging.INFO, "An engine's state was read back as ordered.")
    ORDER_FAILED = Kind(332, logging.WARNING, "An engine did not answer an order.")
    ENDED_UNANSWERED = Kind(401, logging.WARNING, "A process ended with a request open.")
    CHANNEL_BROKEN = Kind(402, logging.WARNING, "What came on a channel can't be read.")
    CONNECTION_CUT = Kind(403, logging.WARNING, "A client's connection was cut.")
    CONNECTION_REFUSED = Kind(404, logging.WARNING, "There was no place for a client's connection.")
    ACCEPT_FAILED = Kind(405, logging.ERROR, "The system had nothing left for a new connection.")
    HANDLER_FAILED = Kind(400, logging.ERROR, "A request handler failed unexpectedly.")


_budget = LineBudget()
_observers: list[Callable[["Event"], None]] = []


def observe_events(observer: Callable[["Event"], None]) -> None:
    """Let something know of each event, also of those whose line is left out.

    :param observer: called with the event.
    """
    _observers.append(observer)


def log_event(event: Event, **fields: object) -> None:
    """Log one event as a line of JSON, unless there were too many of its kind.

    :param event: the event.
    :param fields: what to say of it; no secrets.
    """
    for observer in _observers:
        observer(event)
    left_out = _budget.take(event.name, time.monotonic())
    if left_out is None:
        return
    if left_out:
        fields["left_out_before"] = left_out
    kind = event.value
    line = make_line(kind.number, event.name, _LEVELS[kind.level], fields)
    logging.log(kind.level, "%s", line)
