"""Durable steps of a call: budget reservation, claim and result."""

from __future__ import annotations

import dataclasses
from typing import Any

from balsamloom_core import errors, outcomes, results
from balsamloom_state import (
    budgets,
    commits,
    journal,
    lifecycles,
    local,
    outcome_records,
    programs,
    records_pb2,
)

DEFAULT_TIMEOUT_MS = 2_000


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Part of the budget that one call may use."""

    key: str
    amount: budgets.Amount


@dataclasses.dataclass(frozen=True)
class NewCall:
    """Call that has not run yet, with its budget reserved."""

    reservation: Reservation


@dataclasses.dataclass(frozen=True)
class RecordedCall:
    """Call that ran before; its result may not be durable yet."""

    call: programs.Call


class Claim:
    """Durable claim, which allows its call to be sent once.

    :param recorder: recorder that wrote the claim.
    :param program: program of the call.
    :param call: claimed call.
    :param write_started_ms: time right before the first attempt to write it.
    """

    def __init__(
        self,
        recorder: CallRecorder,
        program: programs.Program,
        call: programs.Call,
        write_started_ms: float,
    ) -> None:
        self._recorder = recorder
        self._program = program
        self.call = call
        self.write_started_ms = write_started_ms

    def check_age(self) -> None:
        """Check right before sending that the claim is not too old.

        The age is counted from before the claim was written, so it includes
        every pause of this process since then.

        :raises BalsamloomError: with ``CLAIM_EXPIRED``, after the call was
            recorded as not run.
        """
        if self._recorder.is_expired(self.write_started_ms):
            self._recorder.expire(self._program, self.call)


class CallRecorder:
    """Records the calls of programs that this member owns.

    :param state: state of the member.
    :param recorder: writes records.
    :param lifecycle: ends programs whose budget is exhausted.
    """

    def __init__(
        self,
        state: local.LocalState,
        recorder: commits.Recorder,
        lifecycle: lifecycles.ProgramLifecycle,
    ) -> None:
        self._state = state
        self._recorder = recorder
        self._lifecycle = lifecycle

    def begin(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        max_use: budgets.MaxUse,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> NewCall | RecordedCall:
        """Check a call and reserve its budget.

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param max_use: maximum that the call may use.
        :param timeout_ms: longest wait for a new block of the budget.
        :raises BalsamloomError: if the call must not run.
        """
        self._settle_abandoned_claims(program)
        call = self.recorded(program, key, digest)
        if call is not None:
            return RecordedCall(call)
        self._lifecycle.check_alive(program)
        self._recorder.check_store()
        self._check_history(program)
        amount = max_use.amount()
        batch = self._reserve(program, key, amount)
        if batch is not None:
            try:
                self._recorder.wait_or_raise(batch, timeout_ms)
            except errors.BalsamloomError:
                self.release(program, key)
                raise
        return NewCall(Reservation(key, amount))

    def recorded(
        self, program: programs.Program, key: str, digest: bytes
    ) -> programs.Call | None:
        """Return the call with this key if it ran before.

        :param program: program of the call.
        :param key: idempotency key.
        :param digest: digest of the body.
        :raises BalsamloomError: with ``KEY_REUSED_WITH_OTHER_BODY``.
        """
        call = program.calls.get(key)
        if call is not None and call.digest not in (b"", digest):
            raise errors.BalsamloomError(
                results.ResultCode.KEY_REUSED_WITH_OTHER_BODY
            )
        return call

    def claim(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        target: str,
        timeout_ms: float,
        commit_timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> Claim:
        """Record durably that a non-idempotent call is about to be sent.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param target: destination of the call, for diagnosis.
        :param timeout_ms: timeout of the call, counted from its sending.
        :param commit_timeout_ms: longest wait for the commit.
        :raises BalsamloomError: if the claim did not become durable in time;
            the call is then recorded as not run and must not be sent.
        """
        # The call may be sent at the end of the window and then run for its
        # whole timeout.
        window_ms = self._state.settings.claim_send_window_ms
        claimed = records_pb2.CallClaimed(
            key=key,
            digest=digest,
            timeout_ms=round(timeout_ms + window_ms),
            target=target,
        )
        with program.lock:
            record = self._recorder.next_record(program, claimed=claimed)
            batch = self._recorder.append((program, record))
            call = program.calls[key]
        try:
            self._recorder.wait_or_raise(batch, commit_timeout_ms)
        except errors.BalsamloomError as error:
            self._record_not_run(program, call, error.code)
            raise
        write_started_ms = (
            call.claimed_ms
            if batch.write_started_ms is None
            else batch.write_started_ms
        )
        return Claim(self, program, call, write_started_ms)

    def is_expired(self, write_started_ms: float) -> bool:
        """Return whether a claim is too old to be sent."""
        age_ms = self._state.clock.now_ms() - write_started_ms
        return age_ms > self._state.settings.claim_send_window_ms

    def expire(self, program: programs.Program, call: programs.Call) -> None:
        """Record a claimed call as not run and raise the error for it.

        :param program: program of the call.
        :param call: claimed call that was not sent, not even in part.
        :raises BalsamloomError: always, with ``CLAIM_EXPIRED``, or with
            ``STORE_UNAVAILABLE`` or ``WRONG_OWNER`` if the outcome could not
            be recorded.
        """
        code = results.ResultCode.CLAIM_EXPIRED
        batch = self._record_not_run(program, call, code)
        self._recorder.wait_or_raise(batch, DEFAULT_TIMEOUT_MS)
        raise errors.BalsamloomError(code)

    def release(self, program: programs.Program, key: str) -> None:
        """Release the budget of a call that did not run.

        :param program: program of the call.
        :param key: idempotency key.
        """
        root = self._lifecycle.root_of(program)
        with root.lock:
            root.account.release(program.holds.pop(key, budgets.ZERO))

    def reserve_again(
        self, program: programs.Program, key: str, max_use: budgets.MaxUse
    ) -> bool:
        """Reserve budget for another attempt of a call, without waiting.

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key of a call that :meth:`begin` accepted.
        :param max_use: maximum that the attempt may use.
        :return: whether the durable block covers the attempt.
        """
        root = self._lifecycle.root_of(program)
        amount = max_use.amount()
        with root.lock:
            batch = root.reserve_batch
            is_settled = batch is None or _is_durable(batch)
            if not is_settled or not root.account.available().covers(amount):
                return False
            root.account.hold(amount)
            held = program.holds.get(key, budgets.ZERO)
            program.holds[key] = held.add(amount)
        return True

    def charge(
        self, program: programs.Program, key: str, used: budgets.Amount
    ) -> None:
        """Count the use of an idempotent call without a complete answer.

        No result is recorded, so the key may be used again.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key.
        :param used: generated tokens and the call itself.
        """
        root = self._lifecycle.root_of(program)
        with root.lock:
            hold = program.holds.pop(key, budgets.ZERO)
            root.account.settle(hold, used)
            record = self._recorder.reserve_record(root)
            root.reserve_batch = self._recorder.append((root, record))

    def finish(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        outcome: outcomes.Outcome,
        new_messages: list[dict[str, Any]],
        service_ms: float,
        timeout_ms: float,
    ) -> programs.Call:
        """Record the outcome of a call and wait until it is durable.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param outcome: outcome of the call.
        :param new_messages: messages that the call adds to the history.
        :param service_ms: processing time of the backend server.
        :param timeout_ms: longest wait.
        :return: the call; ``is_durable`` is false after a timeout, and the
            result then becomes durable later.
        :raises BalsamloomError: with ``OUTCOME_UNKNOWN``, ``INTERRUPTED`` or
            ``WRONG_OWNER`` if a successor took over first.
        """
        finished = outcome_records.finished_record(
            key, digest, outcome, new_messages
        )
        finished.service_ms = round(service_ms)
        claimed = program.calls.get(key)
        is_not_run = isinstance(outcome, outcomes.NotRun)
        if is_not_run and claimed is None:
            self.release(program, key)
            return outcome_records.unrecorded_call(finished)
        if (
            isinstance(outcome, outcomes.UnknownOutcome)
            and claimed is not None
        ):
            finished.blocked_ms = self._remaining_ms(claimed)
        spent = outcome_records.used_amount(outcome)
        batch = self._settle_and_append(program, finished, spent)
        state = self._state.journal.wait(batch, timeout_ms)
        if isinstance(state, journal.Deposed):
            raise outcome_records.deposed_error(
                claimed is not None, is_not_run
            )
        return program.calls[key]

    def _settle_and_append(
        self,
        program: programs.Program,
        finished: records_pb2.CallFinished,
        spent: budgets.Amount,
    ) -> journal.Batch:
        root = self._lifecycle.root_of(program)
        with program.lock, root.lock:
            hold = program.holds.pop(finished.key, budgets.ZERO)
            if spent == budgets.ZERO:
                root.account.release(hold)
            else:
                root.account.settle(hold, spent)
            batch = self._append_records(program, root, finished)
            program.calls[finished.key].batch = batch
            root.reserve_batch = batch
        return batch

    def _append_records(
        self,
        program: programs.Program,
        root: programs.Program,
        finished: records_pb2.CallFinished,
    ) -> journal.Batch:
        totals = self._recorder.totals(root)
        if program is root:
            finished.used.CopyFrom(totals.used)
            finished.reserved.CopyFrom(totals.reserved)
        record = self._recorder.next_record(program, finished=finished)
        if program is root:
            return self._recorder.append((program, record))
        return self._recorder.append(
            (program, record), (root, self._recorder.reserve_record(root))
        )

    def _record_not_run(
        self, program: programs.Program, call: programs.Call, code: int
    ) -> journal.Batch:
        finished = records_pb2.CallFinished(
            key=call.key, digest=call.digest, code=code
        )
        return self._settle_and_append(program, finished, budgets.ZERO)

    def _reserve(
        self, program: programs.Program, key: str, amount: budgets.Amount
    ) -> journal.Batch | None:
        """Reserve budget; return the batch to wait for, if any."""
        root = self._lifecycle.root_of(program)
        with root.lock:
            try:
                has_grown = root.account.extend(amount)
            except errors.BalsamloomError:
                is_spent = root.account.is_spent()
                if not is_spent:
                    raise
            else:
                root.account.hold(amount)
                program.holds[key] = amount
                if has_grown:
                    record = self._recorder.reserve_record(root)
                    root.reserve_batch = self._recorder.append((root, record))
                batch = root.reserve_batch
                return None if batch is None or _is_durable(batch) else batch
        raise self._lifecycle.end_by_budget(root, "calls are used up")

    def _settle_abandoned_claims(self, program: programs.Program) -> None:
        """Record unknown outcomes for claims that were never finished.

        The caller holds the turn, so nothing is sending these calls any more.
        """
        with program.lock:
            for call in program.claimed_without_result():
                unknown = records_pb2.CallUnknown(
                    key=call.key, blocked_ms=self._remaining_ms(call)
                )
                record = self._recorder.next_record(program, unknown=unknown)
                call.batch = self._recorder.append((program, record))

    def _remaining_ms(self, call: programs.Call) -> int:
        end_ms = call.claimed_ms + call.timeout_ms
        return round(max(end_ms - self._state.clock.now_ms(), 0))

    def _check_history(self, program: programs.Program) -> None:
        size_bytes = program.history_bytes()
        limit_bytes = self._state.settings.max_history_bytes
        if size_bytes > limit_bytes:
            raise errors.BalsamloomError(
                results.ResultCode.HISTORY_TOO_LONG,
                f"history of the program has {size_bytes} bytes; accepted: "
                f"at most {limit_bytes}",
            )


def _is_durable(batch: journal.Batch) -> bool:
    return isinstance(batch.state, journal.Durable)
