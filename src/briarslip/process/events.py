"""Numbered log events; ``docs/EVENTS.md`` is their catalogue."""

from __future__ import annotations

import json
import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import logbook

from briarslip.process.event_rate_limit import EventRateLimit
from briarslip.process.log_stream import LogStream


if TYPE_CHECKING:
    from typing import TextIO

    from briarslip.process.settings import LogSettings


STDOUT_DESCRIPTOR = 1


class Level(Enum):
    """How much an event matters."""

    DEBUG = logbook.DEBUG
    INFO = logbook.INFO
    WARNING = logbook.WARNING
    ERROR = logbook.ERROR


class Event(Enum):
    """An event: its number, level and text; the fields stand beside it.

    Numbers are never reused. Hundreds: 1 process, 2 membership, 3
    configuration, 4 requests, 5 rollouts, 6 platform, 7 connections.
    """

    DAEMON_STARTED = (101, Level.INFO, "daemon started")
    DAEMON_DRAINING = (102, Level.INFO, "daemon is draining")
    DAEMON_STOPPED = (103, Level.INFO, "daemon stopped")
    SETTINGS_CHECKED = (104, Level.INFO, "settings file was read again")
    SETTINGS_INVALID = (105, Level.ERROR, "settings file is faulty")
    LOG_LINES_DROPPED = (106, Level.WARNING, "log lines were left out")
    SERVER_ANNOUNCED = (201, Level.INFO, "backend server announced itself")
    SERVER_EXPIRED = (202, Level.WARNING, "backend server stopped announcing itself")
    MEMBER_DEAD = (203, Level.WARNING, "member of the zone is held to be dead")
    MEMBER_LEFT = (204, Level.INFO, "member of the zone is leaving")
    PROBES_FAIL = (205, Level.WARNING, "most probes fail, accusations are held back")
    PROBES_SUCCEED = (206, Level.INFO, "probes succeed again")
    VERSION_ACTIVE = (301, Level.INFO, "configuration version is active")
    VERSION_REJECTED = (302, Level.ERROR, "configuration version was refused")
    RELAY_STARTED = (303, Level.INFO, "acting as a relay")
    RELAY_STOPPED = (304, Level.INFO, "no longer acting as a relay")
    HEAD_UNREADABLE = (305, Level.ERROR, "published version can't be read")
    HEAD_BEHIND = (306, Level.ERROR, "platform's head is older than what runs")
    CONFIGURATION_JOB_FAILED = (307, Level.WARNING, "publishing failed and is repeated")
    RECORD_RETAINED = (308, Level.WARNING, "record of an unknown schema keeps its form")
    PEER_VERSION_REJECTED = (309, Level.INFO, "version from a peer can't be taken")
    RECORD_UNREADABLE = (310, Level.ERROR, "record on the platform can't be read")
    MESSAGE_REJECTED = (401, Level.WARNING, "message was refused")
    REQUEST_FAILED = (402, Level.WARNING, "request is answered with a failure")
    REQUEST_RETRIED = (403, Level.INFO, "request is sent to another server")
    REQUEST_TIMED_OUT = (404, Level.WARNING, "request has reached its deadline")
    RESPONSE_TRUNCATED = (405, Level.WARNING, "answer was cut short after its head")
    REQUEST_CANCELLED = (406, Level.INFO, "caller has left before the answer")
    CALL_REJECTED = (407, Level.INFO, "call is refused beside its server")
    CALL_TIMED_OUT = (408, Level.WARNING, "server has not answered by the deadline")
    RESPONSE_DISCARDED = (409, Level.WARNING, "server's answer is not used")
    SERVER_EJECTED = (410, Level.WARNING, "server gets no calls for a while")
    SERVER_READMITTED = (411, Level.INFO, "server gets calls again")
    CLAIMS_UNAVAILABLE = (451, Level.WARNING, "claims can't be made")
    CLAIM_NOT_RELEASED = (
        452,
        Level.WARNING,
        "a claim of a request not run was left standing",
    )
    ROLLOUT_ROLLED_BACK = (501, Level.ERROR, "rollout is rolled back")
    ROLLOUT_STATE_CHANGED = (502, Level.INFO, "rollout is in another state")
    ROLLOUT_REPORTED = (503, Level.INFO, "rollout's state is on the platform")
    ROLLOUTS_SYNCED = (504, Level.INFO, "decisions on rollouts are known")
    ROLLOUT_HELD = (505, Level.WARNING, "rollout is held by its evidence")
    STORE_FAILED = (601, Level.WARNING, "call to the store failed")
    LINK_STALLED = (701, Level.WARNING, "peer link went silent and is replaced")

    def __init__(self, number: int, level: Level, text: str) -> None:
        self.number = number
        self.level = level
        self.text = text


LOGGER = logbook.Logger("briarslip")
# What bounds the lines of the process, once its log is installed.
RATE_LIMITS: list[EventRateLimit] = []
# How often each event occurred, and how often it was left out, by number.
EVENT_COUNTS: Counter[int] = Counter()
DROPPED_LINES: Counter[int] = Counter()


def emit(event: Event, **fields: Any) -> None:
    """Log an event with its fields, unless there are too many of it just now."""
    EVENT_COUNTS[event.number] += 1
    if all(limit.try_admit(event.number) for limit in RATE_LIMITS):
        _write(event, fields)


def _write(event: Event, fields: dict[str, Any]) -> None:
    LOGGER.log(
        event.level.value, event.text, extra={"event": event.number, "fields": fields}
    )


def handler_from_settings(
    settings: LogSettings, stream: TextIO | LogStream
) -> logbook.Handler:
    """Return the handler that writes events as the settings ask."""
    level = logbook.lookup_level(settings.level.upper())
    handler = logbook.StreamHandler(stream, level=level)
    handler.formatter = _format_json if settings.format == "json" else _format_text
    return handler


def install_log(settings: LogSettings) -> None:
    """Write this process's events to its standard output, without waiting."""
    stream = LogStream.from_descriptor(STDOUT_DESCRIPTOR)
    handler_from_settings(settings, stream).push_application()

    def log_dropped_lines(dropped: Counter[int]) -> None:
        DROPPED_LINES.update(dropped)
        counts = {str(number): count for number, count in dropped.items()}
        fields = {"events": counts, "unread": stream.pop_dropped_lines()}
        _write(Event.LOG_LINES_DROPPED, fields)

    RATE_LIMITS[:] = [EventRateLimit(time.monotonic, log_dropped_lines)]


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    document = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "event": record.extra.get("event", 0),
        "text": record.message,
        **record.extra.get("fields", {}),
    }
    return json.dumps(document, default=str)


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields_by_name = record.extra.get("fields", {})
    fields = " ".join(
        f"{name}={_on_one_line(fields_by_name[name])}" for name in fields_by_name
    )
    number = record.extra.get("event", 0)
    time = record.time.isoformat(timespec="milliseconds")
    return f"{time} {record.level_name:<7} {number} {record.message} {fields}".rstrip()


def _on_one_line(value: Any) -> str:
    text = str(value)
    return text if text.isprintable() and " " not in text else json.dumps(text)


__all__ = [
    "DROPPED_LINES",
    "EVENT_COUNTS",
    "Event",
    "Level",
    "emit",
    "handler_from_settings",
    "install_log",
]
