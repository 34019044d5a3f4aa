"""Numbered log events. docs/EVENTS.md is the catalogue; a test compares the two."""

from dataclasses import dataclass
from enum import Enum

from absl import logging


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
    SETTINGS_REFUSED = Kind(110, logging.ERROR, "The settings can't be used.")
    STORAGE_REFUSED = Kind(111, logging.ERROR, "The data folder can't be used.")
    COMMAND_FAILED = Kind(112, logging.ERROR, "A command of the command line failed.")
    LEADER_ELECTED = Kind(200, logging.INFO, "This member became leader of a group.")
    LEADER_STEPPED_DOWN = Kind(201, logging.WARNING, "This member stopped leading a group.")
    MEMBER_READMITTED = Kind(202, logging.WARNING, "A member with a new disk may vote again.")
    SNAPSHOT_TAKEN = Kind(203, logging.INFO, "A snapshot replaced the older part of a log.")
    SNAPSHOT_INSTALLED = Kind(204, logging.INFO, "A member took over a leader's snapshot.")
    CHANGE_APPLIED = Kind(210, logging.INFO, "A change was accepted or refused by the log.")
    ENTRY_JOINED = Kind(220, logging.INFO, "An entry joined the membership.")
    ENTRY_LEFT = Kind(221, logging.WARNING, "An entry left the membership.")
    LEASE_LOST = Kind(300, logging.WARNING, "An entry has no configuration lease.")
    LEASE_GAINED = Kind(301, logging.INFO, "An entry got its configuration lease.")
    UPSTREAM_JOINED = Kind(310, logging.INFO, "An upstream announced itself.")
    UPSTREAM_DRAINING = Kind(311, logging.INFO, "An upstream is leaving and gets no new work.")
    UPSTREAM_LEFT = Kind(312, logging.WARNING, "An upstream is gone.")
    UPSTREAM_EJECTED = Kind(313, logging.WARNING, "An upstream was ejected on evidence.")
    REQUEST_REFUSED = Kind(320, logging.INFO, "A request was refused.")
    REQUEST_MOVED = Kind(321, logging.INFO, "A request moved to another upstream before output.")
    STREAM_RESUMED = Kind(322, logging.INFO, "A generation was resumed after a gap or a cut.")
    STREAM_ENDED = Kind(323, logging.WARNING, "A generation ended before it was whole.")
    ORDER_SENT = Kind(330, logging.INFO, "An order was sent to an engine.")
    ORDER_SETTLED = Kind(331, logging.INFO, "An engine's state was read back as ordered.")
    ORDER_FAILED = Kind(332, logging.WARNING, "An engine did not answer an order.")
    HANDLER_FAILED = Kind(400, logging.ERROR, "A request handler failed unexpectedly.")


def log_event(event: Event, **fields: object) -> None:
    """Log one event as ``D123 NAME field=value ...``.

    :param event: the event.
    :param fields: what to say of it; no secrets.
    """
    text = " ".join(f"{name}={value!r}" for name, value in fields.items())
    kind = event.value
    logging.log(kind.level, "D%d %s %s", kind.number, event.name, text)
