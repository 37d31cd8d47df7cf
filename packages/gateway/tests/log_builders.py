"""Builders of log lines of edge processes, as text with a time in front."""

import json

BUDGET_TOKENS = 100
TURN_TOKENS = 30


def line(time_s, name, source="edge-1", **fields):
    """Build one line of an event."""
    text = json.dumps({"name_of_event": name, **fields})
    return f"{time_s:9.4f} {source} {text}"


def decided(time_s, request_id, outcome="reserved", **fields):
    """Build the line of the decision on a turn's tokens."""
    known = {
        "program_id": "p",
        "budget_tokens": BUDGET_TOKENS,
        "turn_tokens": TURN_TOKENS,
        "holder": "edge-2",
        **fields,
    }
    return line(
        time_s,
        "budget_decided",
        request_id=request_id,
        outcome=outcome,
        **known,
    )


def placed(time_s, request_id, **fields):
    """Build the line of a request that is sent to a server."""
    known = {"program_id": "p", "server_id": "s1", "max_attempts": 2, **fields}
    return line(time_s, "request_placed", request_id=request_id, **known)


def failed(time_s, request_id, is_sent, **fields):
    """Build the line of an attempt without an answer."""
    known = {"server_id": "s1", "reason": "no answer", **fields}
    return line(
        time_s,
        "attempt_failed",
        request_id=request_id,
        is_sent=is_sent,
        **known,
    )


def ended(time_s, request_id, status=200, reason="answered", **fields):
    """Build the line of a final answer."""
    known = {"program_id": "p", "duration_ms": 0.0, **fields}
    return line(
        time_s,
        "request_ended",
        request_id=request_id,
        status=status,
        reason=reason,
        **known,
    )


def refused(time_s, request_id, status=503, source="edge-1"):
    """Build the line of a refusal of a request that was not run."""
    return line(
        time_s,
        "request_refused",
        source,
        request_id=request_id,
        status=status,
        reason="no server",
    )


def turn(begun_s, ended_s, request_id, tokens, **fields):
    """Build the lines of a turn that a server has answered."""
    known = {"server_id": "s1", "tokens": tokens, **fields}
    return [
        decided(begun_s, request_id),
        placed(begun_s, request_id),
        ended(ended_s, request_id, **known),
    ]


def exhausted(time_s, request_id, program_id="p", **fields):
    """Build the lines of a turn that gets 402."""
    fields["program_id"] = program_id
    reason = "the token budget is exhausted"
    return [
        decided(time_s, request_id, "exhausted, 100 recorded", **fields),
        ended(time_s, request_id, 402, reason, program_id=program_id),
    ]


def started(time_s, member, incarnation):
    """Build the line of a process that has started."""
    return line(
        time_s,
        "process_started",
        member,
        member=member,
        incarnation=incarnation,
    )


def holder_refused(time_s, source="edge-2", **fields):
    """Build the line of a holder that refuses a turn for good."""
    known = {
        "program_id": "p",
        "result": "Exhaustion(recorded_tokens=100, left_tokens=0)",
        "used_tokens": 0,
        "in_flight_tokens": 0,
        "lost_tokens": 0,
        "other_shares": {},
        **fields,
    }
    present = {name: one for name, one in known.items() if one is not None}
    return line(time_s, "budget_refused", source, **present)


def kept(time_s, turn_id, retention_ms=60_000.0, **fields):
    """Build the line of a turn that storage hosts have stored."""
    return line(
        time_s,
        "turn_kept",
        request_id=turn_id,
        hosts=["storage-1", "storage-2"],
        retention_ms=retention_ms,
        **fields,
    )


def denied(time_s, request_id, previous_turn_id, outcome="absent", **fields):
    """Build the lines of a turn that gets 404 for the one before."""
    read = line(
        time_s,
        "chain_read",
        request_id=request_id,
        previous_turn_id=previous_turn_id,
        outcome=outcome,
        duration_ms=10.0,
        **fields,
    )
    reason = "the previous turn does not exist"
    return [read, ended(time_s, request_id, 404, reason)]
