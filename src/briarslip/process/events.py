"""Numbered log events, as catalogued in ``docs/EVENTS.md``."""

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
    """Severity of an event, as a level of logbook."""

    DEBUG = logbook.DEBUG
    INFO = logbook.INFO
    WARNING = logbook.WARNING
    ERROR = logbook.ERROR


class Event(Enum):
    """Number, level and text of each event; its fields are logged separately.

    Numbers are never reused. The hundreds are areas: 1 process, 2 membership,
    3 configuration, 4 requests, 5 rollouts, 6 store, 7 connections.
    """

    DAEMON_STARTED = (101, Level.INFO, "daemon started")
    DAEMON_DRAINING = (102, Level.INFO, "daemon is draining")
    DAEMON_STOPPED = (103, Level.INFO, "daemon stopped")
    SETTINGS_CHECKED = (
        104,
        Level.INFO,
        "settings file is checked; changes apply after a restart",
    )
    SETTINGS_INVALID = (
        105,
        Level.ERROR,
        "settings file is invalid; running settings stay in effect",
    )
    LOG_LINES_DROPPED = (
        106,
        Level.WARNING,
        "log lines are dropped: rate limit or slow reader",
    )
    UNEXPECTED_ERROR = (
        107,
        Level.ERROR,
        "unexpected error; the daemon continues",
    )
    REACTOR_HELD_UP = (108, Level.WARNING, "one turn of the reactor took long")
    SERVER_ANNOUNCED = (201, Level.INFO, "new backend server is registered")
    SERVER_EXPIRED = (202, Level.WARNING, "backend server's announcement lease expires")
    MEMBER_DEAD = (
        203,
        Level.WARNING,
        "member of this availability zone is declared dead",
    )
    MEMBER_LEFT = (204, Level.INFO, "member of this availability zone leaves")
    PROBES_FAIL = (
        205,
        Level.WARNING,
        "most probes fail; no members are suspected for now",
    )
    PROBES_SUCCEED = (206, Level.INFO, "probes succeed again")
    SERVER_REPORT_IGNORED = (
        207,
        Level.INFO,
        "late report of a backend server that drains or has ended is ignored",
    )
    SERVER_DRAINING_RESTORED = (
        208,
        Level.INFO,
        "backend server has been draining before this daemon was restarted",
    )
    SERVER_COLD = (
        209,
        Level.INFO,
        "backend server counts as cold and gets a limited number of calls",
    )
    VERSION_ACTIVE = (301, Level.INFO, "configuration version is active")
    VERSION_REJECTED = (302, Level.ERROR, "configuration version is rejected")
    RELAY_STARTED = (303, Level.INFO, "daemon starts acting as a configuration relay")
    RELAY_STOPPED = (304, Level.INFO, "daemon stops acting as a configuration relay")
    HEAD_UNREADABLE = (
        305,
        Level.ERROR,
        "published version can't be read from the store",
    )
    HEAD_BEHIND = (306, Level.ERROR, "published version is older than the running one")
    CONFIGURATION_JOB_FAILED = (
        307,
        Level.WARNING,
        "reading or publishing configuration fails and is retried",
    )
    RECORD_RETAINED = (
        308,
        Level.WARNING,
        "record of an unknown schema is skipped; the previous one stays in use",
    )
    PEER_VERSION_REJECTED = (
        309,
        Level.INFO,
        "version from a peer can't be applied and is pulled again",
    )
    RECORD_UNREADABLE = (
        310,
        Level.ERROR,
        "record in the store can't be decoded and is ignored",
    )
    VERSION_IGNORED = (
        311,
        Level.INFO,
        "configuration read from the store is not newer than the running one",
    )
    EVACUATION_STARTED = (
        312,
        Level.WARNING,
        "zone is evacuated: servers in it get no requests",
    )
    EVACUATION_ENDED = (313, Level.INFO, "evacuation of a zone has ended")
    PULL_UNANSWERED = (
        314,
        Level.INFO,
        "peer has not answered a pull of its version in time",
    )
    MESSAGE_REJECTED = (401, Level.WARNING, "received message is rejected")
    REQUEST_FAILED = (
        402,
        Level.WARNING,
        "request fails; its caller gets an error response",
    )
    REQUEST_RETRIED = (403, Level.INFO, "request is retried at another server")
    REQUEST_TIMED_OUT = (404, Level.WARNING, "request misses its deadline")
    RESPONSE_TRUNCATED = (
        405,
        Level.WARNING,
        "response breaks off after its head was sent",
    )
    REQUEST_CANCELLED = (
        406,
        Level.INFO,
        "caller disconnects before the response is complete",
    )
    CALL_REJECTED = (
        407,
        Level.INFO,
        "call is rejected before it reaches the backend server",
    )
    CALL_TIMED_OUT = (
        408,
        Level.WARNING,
        "backend server misses the deadline of a call",
    )
    RESPONSE_DISCARDED = (
        409,
        Level.WARNING,
        "response of a backend server is discarded",
    )
    SERVER_EJECTED = (
        410,
        Level.WARNING,
        "server is ejected and gets no calls for a while",
    )
    SERVER_READMITTED = (411, Level.INFO, "ejected server gets calls again")
    RETRY_BUDGET_EMPTY = (
        412,
        Level.INFO,
        "request is not retried because the retry budget is empty",
    )
    SERVER_LIMIT_CHANGED = (
        413,
        Level.WARNING,
        "backend server states another limit of requests a second",
    )
    SERVER_STATUS_UNREADABLE = (
        414,
        Level.WARNING,
        "what a backend server states about itself can't be read and is ignored",
    )
    SERVER_LEAVING = (
        415,
        Level.INFO,
        "backend server says in a response that it is leaving",
    )
    SERVER_CRASHED = (
        416,
        Level.WARNING,
        "backend server crashes while requests are under way",
    )
    REQUEST_QUARANTINED = (
        417,
        Level.ERROR,
        "request crashes the servers that run it and is quarantined",
    )
    REQUEST_RELEASED = (418, Level.WARNING, "request is released from quarantine")
    SUSPECT_REJECTED = (
        419,
        Level.INFO,
        "request that was under way at a crash is rejected",
    )
    KEY_REJECTED = (420, Level.INFO, "request without a valid key is rejected")
    QUOTA_EXCEEDED = (
        421,
        Level.INFO,
        "request is refused because its organisation exceeds its limit",
    )
    CLIENT_ERROR = (
        422,
        Level.WARNING,
        "request is ended as wrong with a 3xx or 4xx of the daemon's own",
    )
    CLAIMS_UNAVAILABLE = (
        451,
        Level.WARNING,
        "idempotency keys can't be claimed: no reply from the store",
    )
    CLAIM_NOT_RELEASED = (
        452,
        Level.WARNING,
        "claim of a request that did not run can't be released",
    )
    ROLLOUT_ROLLED_BACK = (501, Level.ERROR, "rollout is rolled back")
    ROLLOUT_STATE_CHANGED = (502, Level.INFO, "rollout changes state")
    ROLLOUT_REPORTED = (503, Level.INFO, "rollout status is written to the store")
    ROLLOUTS_SYNCED = (504, Level.INFO, "decisions on rollouts are synced")
    ROLLOUT_HELD = (
        505,
        Level.WARNING,
        "rollout is held because its evidence is suspicious",
    )
    STORE_FAILED = (601, Level.WARNING, "request to the store fails")
    STORE_RESTORED = (
        602,
        Level.WARNING,
        "the store was restored from a copy; its revisions begin again",
    )
    LINK_STALLED = (701, Level.WARNING, "peer link stalls and is replaced")
    BUFFERS_FULL = (
        702,
        Level.WARNING,
        "buffers are full; a request is rejected or a slow caller disconnected",
    )
    CONNECTIONS_FULL = (
        703,
        Level.WARNING,
        "too many caller connections; inactive ones are closed",
    )

    def __init__(self, number: int, level: Level, text: str) -> None:
        self.number = number
        self.level = level
        self.text = text


LOGGER = logbook.Logger("briarslip")
# The rate limit of the process; empty until its log is installed.
RATE_LIMITS: list[EventRateLimit] = []
# Occurrences and dropped log lines of each event, by its number.
EVENT_COUNTS: Counter[int] = Counter()
DROPPED_LINES: Counter[int] = Counter()


def emit(event: Event, **fields: Any) -> None:
    """Count an event, and log it with its fields unless the rate limit drops it."""
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
    """Return a handler that writes events in the format and from the level set."""
    level = logbook.lookup_level(settings.level.upper())
    handler = logbook.StreamHandler(stream, level=level)
    handler.formatter = _format_json if settings.format == "json" else _format_text
    return handler


def install_log(settings: LogSettings) -> None:
    """Write the events of this process to its standard output without blocking."""
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
