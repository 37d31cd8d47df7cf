"""Messages about turns between a member and the holder of a program."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from balsamloom_gateway import (
    budget_ledger,
    estimates,
    health,
    ledger,
    outage_policy,
    planner,
    rate_quota,
    traffic,
)


class InvalidMessageError(ValueError):
    """Malformed message of another member."""


class ReservationRequest(NamedTuple):
    """Request for the tokens and the planned server of a turn.

    ``is_standby`` tells that the receiver is not the primary holder.
    ``caller`` names the sending member; it is empty if a process of the
    release before sent the request.
    """

    program_id: str
    turn_tokens: int
    budget_tokens: int
    policy: outage_policy.OutagePolicy
    turn: planner.TurnRequest
    is_standby: bool = False
    reservation_id: str = ""
    caller: str = ""


class ReservationReply(NamedTuple):
    """Reply to a :class:`ReservationRequest`."""

    result: budget_ledger.ReservationResult
    recent_servers: tuple[str, ...]
    plan: planner.Plan | None


class Settlement(NamedTuple):
    """End of a turn with its used tokens and the report of its server.

    ``reservation_id`` is empty if a process of the release before sent it.
    """

    program_id: str
    reserved_tokens: int
    used_tokens: int
    plan_id: int | None
    report: planner.TurnReport
    reservation_id: str = ""


class Withdrawal(NamedTuple):
    """Cancellation of a reservation whose answer came too late.

    The holder may have granted it, refuse it or never get it. ``program_id``
    is empty if a process of the release before sent the withdrawal.
    """

    program_id: str
    reservation_id: str

    @property
    def used_tokens(self) -> int:
        """Return what the turn used, which did not run."""
        return 0

    def settlement(self) -> Settlement:
        """Return the end of the turn, if it was granted."""
        return Settlement(
            self.program_id, 0, 0, None, planner.NOT_RUN, self.reservation_id
        )


TurnEnd = Settlement | Withdrawal


def as_settlement(end: TurnEnd) -> Settlement:
    """Return the end of a turn as one that was granted."""
    match end:
        case Withdrawal():
            return end.settlement()
        case Settlement():
            return end


def encode_reservation(message: ReservationRequest) -> dict[str, Any]:
    """Encode a reservation request as a JSON object."""
    return {
        "program_id": message.program_id,
        "turn_tokens": message.turn_tokens,
        "budget_tokens": message.budget_tokens,
        "exposure": message.policy.value,
        "turn": message.turn[:5],
        "version": message.turn.version,
        "is_guest": message.is_standby,
        "reservation_id": message.reservation_id,
        "caller": message.caller,
    }


def decode_reservation(body: dict[str, Any]) -> ReservationRequest:
    """Decode a reservation request.

    :raises InvalidMessageError: if it is malformed.
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
            outage_policy.OutagePolicy(body["exposure"]),
            planner.TurnRequest(
                str(service),
                parts,
                int(prompt_tokens),
                int(output_tokens),
                float(left_ms),
                _optional_text(body.get("version")),
            ),
            bool(body["is_guest"]),
            str(body["reservation_id"]),
            str(body.get("caller", "")),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def encode_reply(message: ReservationReply) -> dict[str, Any]:
    """Encode a reservation reply as a JSON object."""
    match message.result:
        case ledger.Reservation():
            return {
                "result": "reserved",
                "servers": message.recent_servers,
                "plan": message.plan[:3] if message.plan else None,
                "permit_wait_ms": _permit_wait_ms(message.plan),
            }
        case ledger.Exhaustion(recorded, left):
            return {
                "result": "exhausted",
                "recorded_tokens": recorded,
                "left_tokens": left,
            }
        case budget_ledger.RecordingFailure(
            reason, is_pending, is_decided, retry_in_ms
        ):
            return {
                "result": "unrecorded",
                "reason": reason,
                "is_pending": is_pending,
                "is_decided": is_decided,
                "retry_in_ms": retry_in_ms,
            }


def decode_reply(body: dict[str, Any]) -> ReservationReply:
    """Decode a reservation reply.

    :raises InvalidMessageError: if it is malformed.
    """
    try:
        match body["result"]:
            case "reserved":
                servers = tuple(str(name) for name in body["servers"])
                return ReservationReply(
                    ledger.Reservation(), servers, _decode_plan(body)
                )
            case "exhausted":
                result = ledger.Exhaustion(
                    int(body["recorded_tokens"]), int(body["left_tokens"])
                )
                return ReservationReply(result, (), None)
            case "unrecorded":
                failure = budget_ledger.RecordingFailure(
                    str(body["reason"]),
                    bool(body["is_pending"]),
                    # Processes of the release before do not tell.
                    bool(body.get("is_decided", False)),
                    _optional_float(body.get("retry_in_ms")),
                )
                return ReservationReply(failure, (), None)
            case result_name:
                raise InvalidMessageError(
                    f"result {result_name!r} is not accepted, only 'reserved',"
                    " 'exhausted' and 'unrecorded'"
                )
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def encode_settlement(message: Settlement) -> dict[str, Any]:
    """Encode a settlement as a JSON object."""
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
        "limit": report.limit,
        "reservation_id": message.reservation_id,
    }


def decode_settlement(body: dict[str, Any]) -> Settlement:
    """Parse the JSON body in which a peer settles a reservation.

    :raises InvalidMessageError: if it is malformed.
    """
    try:
        plan_id = body["plan_id"]
        first_ms, step_ms, total_ms = body["observation"]
        observation = estimates.Observation(
            _optional_float(first_ms),
            _optional_float(step_ms),
            _optional_float(total_ms),
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
                _decode_limit(body.get("limit")),
            ),
            # Processes of the release before do not name the reservation.
            str(body.get("reservation_id", "")),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def encode_settlements(
    messages: Sequence[Settlement],
) -> dict[str, Any]:
    """Encode the ends of several turns as a JSON object."""
    return {"settlements": [encode_settlement(one) for one in messages]}


def decode_settlements(body: dict[str, Any]) -> list[Settlement]:
    """Decode the ends of several turns.

    :raises InvalidMessageError: if they are malformed.
    """
    try:
        return [decode_settlement(one) for one in body["settlements"]]
    except (KeyError, TypeError) as error:
        raise InvalidMessageError(repr(error)) from error


def encode_withdrawal(message: Withdrawal) -> dict[str, Any]:
    """Encode a withdrawal as a JSON object."""
    return message._asdict()


def decode_withdrawal(body: dict[str, Any]) -> Withdrawal:
    """Decode a withdrawal.

    :raises InvalidMessageError: if it is malformed.
    """
    try:
        # Processes of the release before do not name the program.
        program_id = str(body.get("program_id", ""))
        return Withdrawal(program_id, str(body["reservation_id"]))
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(repr(error)) from error


def _decode_plan(body: dict[str, Any]) -> planner.Plan | None:
    if body["plan"] is None:
        return None
    plan_id, server_id, estimate_ms = body["plan"]
    # Processes of the release before do not send a permit.
    wait_ms = _optional_float(body.get("permit_wait_ms"))
    permit = None if wait_ms is None else rate_quota.Granted(wait_ms)
    return planner.Plan(
        int(plan_id), str(server_id), float(estimate_ms), permit
    )


def _permit_wait_ms(plan: planner.Plan | None) -> float | None:
    if plan is None or plan.permit is None:
        return None
    return plan.permit.wait_ms


def _decode_limit(value: Any) -> rate_quota.LimitReport | None:
    if value is None:
        return None
    limit_per_s, age_ms = value
    return rate_quota.LimitReport(_optional_float(limit_per_s), float(age_ms))


def _optional_text(value: Any) -> str | None:
    return None if value is None else str(value)


def _optional_float(value: Any) -> float | None:
    return None if value is None else float(value)
