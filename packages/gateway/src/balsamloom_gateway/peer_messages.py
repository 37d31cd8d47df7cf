"""Messages about turns between a process and the holder of a program."""

from __future__ import annotations

from typing import Any, NamedTuple

from balsamloom_gateway import (
    budget_ledger,
    estimates,
    health,
    ledger,
    planner,
    traffic,
)


class InvalidMessageError(ValueError):
    """A message of another member is malformed."""


class ReservationRequest(NamedTuple):
    """Asks for the tokens of a turn and for a server.

    ``is_guest`` says that another member holds the program's blocks.
    """

    program_id: str
    turn_tokens: int
    budget_tokens: int
    policy: budget_ledger.UnrecordedPolicy
    turn: planner.TurnRequest
    is_secondary: bool = False
    reservation_id: str = ""


class ReservationReply(NamedTuple):
    """Answers a :class:`ReservationRequest`."""

    result: budget_ledger.ReservationResult
    recent_servers: tuple[str, ...]
    plan: planner.Plan | None


class Settlement(NamedTuple):
    """Ends a turn: the tokens that it used and what was seen of its server."""

    program_id: str
    reserved_tokens: int
    used_tokens: int
    plan_id: int | None
    report: planner.TurnReport


def encode_reservation(message: ReservationRequest) -> dict[str, Any]:
    """Encode a reservation as JSON."""
    return {
        "program_id": message.program_id,
        "turn_tokens": message.turn_tokens,
        "budget_tokens": message.budget_tokens,
        "exposure": message.policy.value,
        "turn": message.turn,
        "is_guest": message.is_secondary,
        "reservation_id": message.reservation_id,
    }


def decode_reservation(body: dict[str, Any]) -> ReservationRequest:
    """Decode a reservation.

    :raises InvalidMessageError: it is malformed.
    """
    try:
        service, prompt, prompt_tokens, output_tokens, left_ms = body["turn"]
        parts = tuple(
            traffic.PromptPart(str(part_id), int(tokens))
            for part_id, tokens in prompt
        )
        return ReservationRequest(
            str(body["program_id"]),
            int(body["turn_tokens"]),
            int(body["budget_tokens"]),
            budget_ledger.UnrecordedPolicy(body["exposure"]),
            planner.TurnRequest(
                str(service),
                parts,
                int(prompt_tokens),
                int(output_tokens),
                float(left_ms),
            ),
            bool(body["is_guest"]),
            str(body["reservation_id"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def encode_reservation_reply(message: ReservationReply) -> dict[str, Any]:
    """Encode the answer to a reservation as JSON."""
    match message.result:
        case ledger.Reservation():
            return {
                "result": "reserved",
                "servers": message.recent_servers,
                "plan": message.plan,
            }
        case ledger.ExhaustedBudget(recorded, left):
            return {
                "result": "exhausted",
                "recorded_tokens": recorded,
                "left_tokens": left,
            }
        case budget_ledger.RecordingFailure(reason, is_pending):
            return {
                "result": "unrecorded",
                "reason": reason,
                "is_pending": is_pending,
            }


def decode_reservation_reply(body: dict[str, Any]) -> ReservationReply:
    """Decode the answer to a reservation.

    :raises InvalidMessageError: it is malformed.
    """
    try:
        match body["result"]:
            case "reserved":
                servers = tuple(str(name) for name in body["servers"])
                return ReservationReply(
                    ledger.Reservation(), servers, _decode_plan(body["plan"])
                )
            case "exhausted":
                result = ledger.ExhaustedBudget(
                    int(body["recorded_tokens"]), int(body["left_tokens"])
                )
                return ReservationReply(result, (), None)
            case "unrecorded":
                failure = budget_ledger.RecordingFailure(
                    str(body["reason"]), bool(body["is_pending"])
                )
                return ReservationReply(failure, (), None)
            case other:
                raise InvalidMessageError(f"unknown result {other!r}")
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def encode_settlement(message: Settlement) -> dict[str, Any]:
    """Encode a settlement as JSON."""
    report = message.report
    return {
        "program_id": message.program_id,
        "reserved_tokens": message.reserved_tokens,
        "used_tokens": message.used_tokens,
        "plan_id": message.plan_id,
        "server_id": report.server_id,
        "outcome": report.outcome.value,
        "observation": report.observation,
        "is_server_leaving": report.is_server_leaving,
    }


def decode_settlement(body: dict[str, Any]) -> Settlement:
    """Decode a settlement.

    :raises InvalidMessageError: it is malformed.
    """
    try:
        plan_id = body["plan_id"]
        first_ms, step_ms, total_ms = body["observation"]
        observation = estimates.Observation(
            _number(first_ms), _number(step_ms), _number(total_ms)
        )
        return Settlement(
            str(body["program_id"]),
            int(body["reserved_tokens"]),
            int(body["used_tokens"]),
            None if plan_id is None else int(plan_id),
            planner.TurnReport(
                str(body["server_id"]),
                health.Outcome(body["outcome"]),
                observation,
                bool(body["is_server_leaving"]),
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def _decode_plan(value: Any) -> planner.Plan | None:
    if value is None:
        return None
    plan_id, server_id, estimate_ms = value
    return planner.Plan(int(plan_id), str(server_id), float(estimate_ms))


def _number(value: Any) -> float | None:
    return None if value is None else float(value)
