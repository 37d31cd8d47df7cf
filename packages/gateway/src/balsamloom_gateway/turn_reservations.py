"""Reservations of tokens for turns, which may wait for an allocation."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    ledger,
    ledger_recorder,
    ledger_statistics,
    other_shares,
    outage_policy,
    record_queue,
    turn_waits,
)

# A refusal rests on a record that the store confirmed within this time.
CONFIRMATION_AGE_MS = 500.0


@dataclasses.dataclass(frozen=True)
class RecordingFailure:
    """Refusal: no allocation could be recorded, so the turn must not run.

    ``is_pending`` says that the allocation may still be recorded. Each
    further holder that is tried may record another one. ``is_decided`` says
    that no other holder may serve the turn now: it would know less. After
    ``retry_in_ms`` the holder may know more, ``None`` if it does not say.
    """

    reason: str
    is_pending: bool = False
    is_decided: bool = False
    retry_in_ms: float | None = None


ReservationResult = ledger.Reservation | ledger.Exhaustion | RecordingFailure


class TurnReservations:
    """Reserves tokens; refuses turns for which there are none.

    :param queue: queue of the records, for allocations that turns wait for.
    :param recorder: recorder that writes the records.
    :param clock: time source.
    :param waits: turns that wait for their program's record.
    :param evidence: returns what is known of a program without an account.
    :param statistics: counts how often turns are judged.
    """

    def __init__(
        self,
        queue: record_queue.RecordQueue,
        recorder: ledger_recorder.AllocationRecorder,
        clock: clocks.Clock,
        waits: turn_waits.TurnWaits,
        evidence: Callable[[str], outage_policy.Evidence],
        statistics: ledger_statistics.LedgerStatistics,
    ) -> None:
        self._queue = queue
        self._recorder = recorder
        self._clock = clock
        self._waits = waits
        self._evidence = evidence
        self._statistics = statistics

    def reserve(
        self,
        account: ledger.Account,
        tokens: int,
        policy: outage_policy.OutagePolicy,
        reservation_id: str,
    ) -> ReservationResult:
        """Reserve tokens; wait for an allocation if one is required.

        The lock is held, and released during a wait.

        :param policy: limit of unrecorded tokens.
        :param reservation_id: name by which the turn is settled.
        """
        asked_ms = self._clock.now_ms()
        until_ms = asked_ms + ledger_recorder.TURN_TIMEOUT_MS
        while True:
            is_outage = (
                self._recorder.is_outage() or self._clock.now_ms() >= until_ms
            )
            limit = 0
            if is_outage:
                limit = outage_policy.max_unrecorded_tokens(
                    account,
                    tokens,
                    policy,
                    self._evidence(account.program_id),
                )
            self._statistics.add_judgement()
            match account.reserve(tokens, limit, reservation_id):
                case ledger.RequiredAllocation():
                    account.needed_since_ms = self._clock.now_ms()
                    self._queue.add_urgent(account)
                case ledger.Unconfirmed(doubt):
                    refusal = self._judge(account, doubt, asked_ms)
                    if refusal is not None:
                        return refusal
                    account.needs_confirmation = True
                    self._queue.add_urgent(account)
                case ledger.Reservation() as reservation:
                    account.last_reserved_ms = asked_ms
                    self._queue.add(account)
                    return reservation
                case refusal:
                    self._queue.add(account)
                    return refusal
            if is_outage:
                return self._abandon_request(account)
            self._await_news(account, until_ms)

    def _await_news(self, account: ledger.Account, until_ms: float) -> None:
        """Wait until a program's turns must be judged again."""
        while True:
            left_ms = until_ms - self._clock.now_ms()
            wait_ms = min(left_ms, self._recorder.outage_in_ms())
            if self._waits.wait(account.program_id, wait_ms):
                return
            # The call that was timed may have ended, without an outage.
            is_late = self._clock.now_ms() >= until_ms
            if is_late or self._recorder.is_outage():
                return

    def _judge(
        self, account: ledger.Account, doubt: ledger.Doubt, asked_ms: float
    ) -> ledger.Exhaustion | RecordingFailure | None:
        """Return the refusal of a turn that fits if some tokens are unused.

        :param asked_ms: time at which the turn asked for tokens.
        :return: ``None`` if the store must confirm the record first.
        """
        match doubt:
            case ledger.Doubt.RUNNING_TURNS:
                running_ms = asked_ms - account.last_reserved_ms
                if running_ms < other_shares.RUNNING_TURN_GRACE_MS:
                    return RecordingFailure(
                        "other turns are still running", is_decided=True
                    )
            case ledger.Doubt.OTHER_HOLDERS:
                if account.confirmed_ms < asked_ms - CONFIRMATION_AGE_MS:
                    return None
                holders = account.others.returning_holders(asked_ms)
                if any(map(account.others.may_live, holders)):
                    return RecordingFailure(
                        "other holders may return tokens", is_decided=True
                    )
        return account.exhaustion()

    def _abandon_request(self, account: ledger.Account) -> RecordingFailure:
        """Return why no allocation was recorded in time.

        The requested one is dropped at a secondary holder: the next turn goes
        to the primary holder again, which could not use it.
        """
        reason = self._recorder.failure_reason
        is_queued = self._queue.is_urgent(account)
        if is_queued and account.is_standby and not account.unrecorded_tokens:
            self._queue.withdraw(account)
            return RecordingFailure(reason or "the store is slow")
        return RecordingFailure(reason or "the store is slow", not reason)


def log_refusal(
    account: ledger.Account,
    turn_tokens: int,
    is_standby: bool,
    result: ReservationResult,
) -> None:
    """Log why a turn got no tokens."""
    events.log(
        events.Event.BUDGET_REFUSED,
        program_id=account.program_id,
        turn_tokens=turn_tokens,
        budget_tokens=account.budget_tokens,
        is_standby=is_standby,
        result=repr(result),
        recorded_tokens=account.recorded_tokens,
        own_recorded_tokens=account.own_recorded_tokens,
        left_tokens=account.left_tokens,
        in_flight_tokens=account.in_flight_tokens,
        unrecorded_tokens=account.unrecorded_tokens,
        peer_unrecorded_tokens=account.others.unrecorded_tokens,
        used_tokens=account.used_tokens,
        other_shares=account.others.known(),
        lost_tokens=account.lost_tokens,
        revision=account.revision,
    )
