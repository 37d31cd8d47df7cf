"""Numbered log events, written as JSON lines.

``docs/log-events.md`` lists them; a test compares that table with this module.
"""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger import json as json_logger

_LOGGER = logging.getLogger("balsamloom")
# ``logging`` rejects extra fields with the names of its own attributes.
_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "name_of_event",
}


class Event(enum.IntEnum):
    """Number of a log event; the thousands digit is its area."""

    PROCESS_STARTED = 1000
    PROCESS_LEAVING = 1001
    PROCESS_STOPPED = 1002
    REQUEST_FAILED = 1003
    DUMP_WRITTEN = 1004

    JOURNAL_COMMIT_FAILED = 2000
    JOURNAL_SEALED = 2001
    MEMBER_DEPOSED = 2002
    TAKEOVER_STARTED = 2003
    TAKEOVER_FINISHED = 2004
    STORE_UNAVAILABLE = 2005
    STORE_RECOVERED = 2006
    SEGMENT_DAMAGED = 2007
    PARTITIONS_MOVED = 2008
    JOURNAL_COMPACTED = 2009
    PROGRAM_ENDED_BY_SYSTEM = 2010

    PEER_SUSPECTED = 3000
    PEER_CONFIRMED_DEAD = 3001
    PEER_REACHABLE = 3002
    PEER_MESSAGE_DAMAGED = 3003
    SERVER_LEAVING = 3004

    SERVER_EJECTED = 4000
    SERVER_RETURNED = 4001
    CALL_REFUSED = 4002
    CALL_OUTCOME_UNKNOWN = 4003
    CALL_RETRIED = 4004

    CONFIGURATION_IN_FORCE = 5000
    CONFIGURATION_REJECTED = 5001
    CONFIGURATION_FETCH_FAILED = 5002
    CONFIGURATION_CALLBACK_FAILED = 5003

    ORDER_SENT = 6000
    ORDER_REFUSED = 6001
    HOLDS_RELEASED = 6002

    REQUEST_PLACED = 7000
    REQUEST_ENDED = 7001
    ATTEMPT_FAILED = 7002
    REQUEST_REFUSED = 7003
    BUDGET_DECIDED = 7004
    BUDGET_RECORD_CHANGED = 7005
    SERVER_VIEW_CHANGED = 7006
    MEMBER_VIEW_CHANGED = 7007
    REGISTRATION_DELETED = 7008
    RECORD_UNREADABLE = 7009
    SOURCE_CHANGED = 7010
    LEASE_CHANGED = 7011
    EVACUATION_DECIDED = 7012
    SETTINGS_RELOADED = 7013
    LINES_DROPPED = 7014
    PEER_CALL_FAILED = 7015
    SETTINGS_REJECTED = 7016
    BUDGET_CAUTION = 7017
    BACKGROUND_FAILED = 7018
    STORAGE_HOST_CHANGED = 7019
    CHAIN_READ = 7020
    TURN_KEPT = 7021
    TURN_NOT_KEPT = 7022
    STORAGE_CALL_FAILED = 7023
    COPIES_FETCHED = 7024
    DISK_FAILED = 7025
    TURNS_EXPIRED = 7026
    TURNS_DAMAGED = 7027
    PEER_CALL_REFUSED = 7028
    BODY_NOT_READ = 7029
    MEMBER_LIVENESS_CHANGED = 7030
    SERVER_LIMIT_CHANGED = 7031
    SERVER_CRASHED = 7032
    CRASH_NOT_RECORDED = 7033
    VERSIONS_CHANGED = 7034
    STREAM_RESUMED = 7035
    CHANGE_NOT_APPLIED = 7036
    COPIES_MISSING = 7037
    ACCEPTING_ENDED = 7038
    REQUEST_CUT = 7039
    BUDGET_REFUSED = 7040
    BUDGET_ALLOCATED = 7041
    USAGE_NOT_WRITTEN = 7042
    USAGE_READ_INCOMPLETE = 7043
    RECORDS_READ = 7044
    LEDGER_STATISTICS = 7045
    CLAIM_CHANGED = 7046
    SERVER_PATHS_CHANGED = 7050
    REQUEST_HANDED_OVER = 7051
    HANDOVER_FAILED = 7052
    HANDOVER_REFUSED = 7053
    WORKSPACE_WITHOUT_KEYS = 7060
    QUOTA_USED_UP = 7070
    QUOTA_ROLE_CHANGED = 7071
    QUOTA_GRANTER_FAILED = 7072
    CALLERS_LIMITED = 7080
    SERVER_PACE_CHANGED = 7090


_MEANINGS: dict[Event, str] = {
    Event.PROCESS_STARTED: "A process started and accepts requests.",
    Event.PROCESS_LEAVING: "A planned stop began; no new programs are taken.",
    Event.PROCESS_STOPPED: "A process ended after its last request.",
    Event.REQUEST_FAILED: "A request ended with an unexpected error.",
    Event.DUMP_WRITTEN: "A state dump was given.",
    Event.JOURNAL_COMMIT_FAILED: (
        "A commit to the journal failed and will be tried again."
    ),
    Event.JOURNAL_SEALED: "A former owner's journal was sealed.",
    Event.MEMBER_DEPOSED: (
        "This process found its own journal sealed and joins anew."
    ),
    Event.TAKEOVER_STARTED: "Take-over of a dead member's partitions began.",
    Event.TAKEOVER_FINISHED: "Take-over of a dead member's partitions ended.",
    Event.STORE_UNAVAILABLE: "The key-value service does not answer.",
    Event.STORE_RECOVERED: "The key-value service answers again.",
    Event.SEGMENT_DAMAGED: "A journal segment fails its length or checksum.",
    Event.PARTITIONS_MOVED: "Partitions moved to another owner as planned.",
    Event.JOURNAL_COMPACTED: (
        "Journal segments without live records were deleted."
    ),
    Event.PROGRAM_ENDED_BY_SYSTEM: (
        "A program was ended because of its budget or lost records."
    ),
    Event.PEER_SUSPECTED: "A peer does not answer.",
    Event.PEER_CONFIRMED_DEAD: (
        "Other peers confirm that a peer does not answer."
    ),
    Event.PEER_REACHABLE: "A suspected peer answers again.",
    Event.PEER_MESSAGE_DAMAGED: (
        "A peer's message fails its checks and was dropped."
    ),
    Event.SERVER_LEAVING: "A backend server is leaving and gets no new work.",
    Event.SERVER_EJECTED: (
        "A backend server was taken out of routing as an outlier."
    ),
    Event.SERVER_RETURNED: "An ejected backend server is back in routing.",
    Event.CALL_REFUSED: "A call was refused.",
    Event.CALL_OUTCOME_UNKNOWN: (
        "A non-idempotent call ended with an unknown outcome."
    ),
    Event.CALL_RETRIED: "An idempotent call is tried again.",
    Event.CONFIGURATION_IN_FORCE: "A configuration revision is in force.",
    Event.CONFIGURATION_REJECTED: (
        "An older or invalid configuration was not taken."
    ),
    Event.CONFIGURATION_FETCH_FAILED: (
        "A peer's newer configuration could not be fetched."
    ),
    Event.CONFIGURATION_CALLBACK_FAILED: (
        "A part of the process failed to take a configuration over."
    ),
    Event.ORDER_SENT: "An order was sent to a model engine.",
    Event.ORDER_REFUSED: "A model engine refused an order.",
    Event.HOLDS_RELEASED: "Engine memory of gone programs was released.",
    Event.REQUEST_PLACED: "A request is sent to a backend server.",
    Event.REQUEST_ENDED: "A request has its final answer.",
    Event.ATTEMPT_FAILED: "A server did not answer a request as expected.",
    Event.REQUEST_REFUSED: "A request is answered without a server.",
    Event.BUDGET_DECIDED: "A turn was checked against its program's budget.",
    Event.BUDGET_RECORD_CHANGED: (
        "A program's budget record was written by another process."
    ),
    Event.SERVER_VIEW_CHANGED: "A backend server's registration changed.",
    Event.MEMBER_VIEW_CHANGED: "A member's registration changed.",
    Event.REGISTRATION_DELETED: "A registration is gone from the store.",
    Event.RECORD_UNREADABLE: "A record in the store cannot be read.",
    Event.SOURCE_CHANGED: (
        "The process reads the store's records from another source."
    ),
    Event.LEASE_CHANGED: "The member's lease was granted, lost or ended.",
    Event.EVACUATION_DECIDED: "A storage host's evacuation was answered.",
    Event.SETTINGS_RELOADED: "The settings file was read again.",
    Event.LINES_DROPPED: "Log lines were dropped to bound their volume.",
    Event.PEER_CALL_FAILED: "A call to another member failed.",
    Event.SETTINGS_REJECTED: "The settings cannot be used.",
    Event.CHANGE_NOT_APPLIED: (
        "A part of the process failed at a change; it gets all records again."
    ),
    Event.BACKGROUND_FAILED: (
        "A background loop failed unexpectedly and is run again."
    ),
    Event.STORAGE_HOST_CHANGED: "A storage host's registration changed.",
    Event.CHAIN_READ: "The turns before a turn were looked up.",
    Event.TURN_KEPT: "A turn is on the disks of enough storage hosts.",
    Event.TURN_NOT_KEPT: (
        "A turn could not be kept, so its answer was cut off."
    ),
    Event.STORAGE_CALL_FAILED: "A call to a storage host failed.",
    Event.COPIES_FETCHED: "A storage host fetched copies that it lacked.",
    Event.COPIES_MISSING: "A storage host is fetching copies that it lacks.",
    Event.DISK_FAILED: "The disk of a storage host refused a call.",
    Event.TURNS_EXPIRED: "Turns whose retention is over were dropped.",
    Event.TURNS_DAMAGED: (
        "Damaged turns were dropped; copies of them are fetched."
    ),
    Event.BUDGET_CAUTION: "A process that held budgets may be lost.",
    Event.PEER_CALL_REFUSED: "A call of another process was not served.",
    Event.BODY_NOT_READ: (
        "The body of a request that was answered early could not be read."
    ),
    Event.MEMBER_LIVENESS_CHANGED: (
        "Heartbeats show that a member can or cannot serve callers."
    ),
    Event.SERVER_LIMIT_CHANGED: (
        "A backend server limits its requests per second, or no longer does."
    ),
    Event.SERVER_CRASHED: ("A backend server crashed while it ran a request."),
    Event.CRASH_NOT_RECORDED: (
        "Crashes under requests could not be written to the store yet."
    ),
    Event.VERSIONS_CHANGED: (
        "The software versions of a service's servers changed."
    ),
    Event.STREAM_RESUMED: (
        "The version was looked up at which a resumed stream began."
    ),
    Event.ACCEPTING_ENDED: "A stopping process accepts no more connections.",
    Event.REQUEST_CUT: "A request outlasted the time of a planned stop.",
    Event.BUDGET_REFUSED: "A budget holder gave no tokens to a turn.",
    Event.BUDGET_ALLOCATED: "A budget holder recorded an allocation.",
    Event.USAGE_NOT_WRITTEN: (
        "Too few storage hosts stored what a budget holder hands out."
    ),
    Event.USAGE_READ_INCOMPLETE: (
        "Too few storage hosts said what was handed out of a budget."
    ),
    Event.RECORDS_READ: "Records were read from the store or a member.",
    Event.CLAIM_CHANGED: (
        "A storage host says something else of what its disk has."
    ),
    Event.LEDGER_STATISTICS: "What a budget holder did within an interval.",
    Event.SERVER_PATHS_CHANGED: (
        "A process lost its paths to all backend servers, or has one again."
    ),
    Event.REQUEST_HANDED_OVER: "Another member answered a request.",
    Event.HANDOVER_FAILED: "A request could not be handed over to a member.",
    Event.HANDOVER_REFUSED: "A handed-over request was not taken.",
    Event.WORKSPACE_WITHOUT_KEYS: (
        "A workspace of the configuration has no key and lets nobody in."
    ),
    Event.QUOTA_USED_UP: (
        "Requests of a workspace are refused, as its rate quota is short."
    ),
    Event.QUOTA_ROLE_CHANGED: (
        "A process begins or stops to grant tokens of rate quotas."
    ),
    Event.QUOTA_GRANTER_FAILED: "A granter of rate quotas did not answer.",
    Event.CALLERS_LIMITED: (
        "Callers were refused or cut off at a limit of the process."
    ),
    Event.SERVER_PACE_CHANGED: (
        "The pace of a started or recovered server began, shrank or ended."
    ),
}


def meaning(event: Event) -> str:
    """Return the description of an event.

    :param event: event to look up.
    """
    return _MEANINGS[event]


def log(event: Event, level: int = logging.INFO, **fields: Any) -> None:
    """Log an event with its fields.

    :param event: event to log.
    :param level: level of the ``logging`` module.
    :param fields: fields of the log line, named with unit suffixes; a name
        reserved by ``logging`` is written with a trailing underscore.
    """
    extra = {
        "event": int(event),
        "name_of_event": event.name.lower(),
        **{
            f"{name}_" if name in _RESERVED else name: value
            for name, value in fields.items()
        },
    }
    _LOGGER.log(level, _MEANINGS[event], extra=extra)


def add_handler(handler: logging.Handler) -> None:
    """Add a handler for events; :func:`configure` removes it.

    :param handler: handler of the ``logging`` module.
    """
    _LOGGER.addHandler(handler)


def configure(
    process: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Write events to a stream as JSON lines.

    :param process: process name written in each line.
    :param level: minimum level.
    :param stream: output stream, standard error by default.
    """
    configure_handler(
        process, logging.StreamHandler(stream or sys.stderr), level
    )


def configure_handler(
    process: str, handler: logging.Handler, level: str = "INFO"
) -> None:
    """Send events to a handler as JSON lines.

    :param process: process name written in each line.
    :param handler: handler that replaces all others.
    :param level: minimum level.
    """
    formatter = json_logger.JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        static_fields={"process": process},
    )
    handler.setFormatter(formatter)
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False
