"""Appends records of programs and waits until they are durable."""

from __future__ import annotations

from typing import Any

from balsamloom_core import errors, results
from balsamloom_state import (
    budgets,
    journal,
    local,
    pacing,
    programs,
    records_pb2,
    snapshots,
)


class Recorder:
    """Appends records of programs to the member's journal.

    A record is applied to memory when it is appended, so memory is ahead of
    the store. No caller gets an answer before the record's batch is durable.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state

    def next_record(
        self, program: programs.Program, **kind: Any
    ) -> records_pb2.Record:
        """Return the program's next record. The caller holds its lock.

        :param program: program of the record.
        :param kind: one field of the record's ``kind``.
        """
        return records_pb2.Record(
            program_id=program.program_id,
            version=program.version + 1,
            epoch=self._state.epoch_of(program),
            **kind,
        )

    def append(
        self, *entries: tuple[programs.Program, records_pb2.Record]
    ) -> journal.Batch:
        """Queue records as one batch and apply them.

        The caller holds the locks of the programs, so that the records of a
        program are in the journal in the order of their versions.

        :param entries: programs and their next records.
        :raises BalsamloomError: with ``HISTORY_TOO_LONG`` if the records are
            too large; nothing is changed then.
        """
        batch = self._state.journal.append([record for _, record in entries])
        now_ms = self._state.clock.now_ms()
        for program, record in entries:
            program.apply(record, now_ms)
        return batch

    def append_snapshot(
        self, program: programs.Program
    ) -> list[journal.Batch]:
        """Queue a snapshot of a program and apply it.

        :param program: program to copy.
        """
        with program.lock:
            now_ms = self._state.clock.now_ms()
            epoch = self._state.epoch_of(program)
            parts = snapshots.take(program, epoch, now_ms)
            batches = [self._state.journal.append([part]) for part in parts]
            # The state in memory stays the same; only the versions change.
            program.version = program.base_version = parts[0].version
        return batches

    def reserve_record(self, root: programs.Program) -> records_pb2.Record:
        """Return the record of a root program's budget totals.

        :param root: program whose account changed.
        """
        return self.next_record(root, reserved=self.totals(root))

    def totals(self, root: programs.Program) -> records_pb2.BudgetReserved:
        """Return a root program's budget totals.

        :param root: program that holds the budget.
        """
        account = root.account
        now_ms = self._state.clock.now_ms()
        return records_pb2.BudgetReserved(
            used=budgets.to_record(account.used, account.wall_ms(now_ms)),
            reserved=budgets.to_record(account.reserved),
        )

    def wait_or_raise(self, batch: journal.Batch, timeout_ms: float) -> None:
        """Wait for a batch that must be durable before its call may run.

        :param batch: batch from :meth:`append`.
        :param timeout_ms: longest wait.
        :raises BalsamloomError: with ``STORE_UNAVAILABLE`` after the timeout
            or ``WRONG_OWNER`` if a successor took over.
        """
        match self._state.journal.wait(batch, timeout_ms):
            case journal.Durable():
                return
            case journal.Deposed():
                raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
            case journal.Pending():
                raise unavailable_error()

    def wait_all(
        self, batches: list[journal.Batch], timeout_ms: float
    ) -> journal.CommitState:
        """Wait until several batches are durable.

        :param batches: batches in the order in which they were appended.
        :param timeout_ms: longest wait for all of them.
        """
        end_ms = self._state.clock.now_ms() + timeout_ms
        for batch in batches:
            remaining_ms = end_ms - self._state.clock.now_ms()
            found = self._state.journal.wait(batch, remaining_ms)
            if not isinstance(found, journal.Durable):
                return found
        return journal.Durable()

    def check_store(self) -> None:
        """Refuse new work if the store has been unavailable for too long.

        :raises BalsamloomError: with ``STORE_UNAVAILABLE`` or, for a deposed
            member, ``WRONG_OWNER``.
        """
        if self._state.journal.is_deposed:
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        since_ms = self._state.journal.failing_since_ms
        if since_ms is None:
            return
        down_ms = self._state.clock.now_ms() - since_ms
        if down_ms >= self._state.settings.store_grace_ms:
            raise unavailable_error()


def unavailable_error() -> errors.BalsamloomError:
    """Return the error for records that cannot be written now."""
    return errors.BalsamloomError(
        results.ResultCode.STORE_UNAVAILABLE,
        retry_after_ms=pacing.MAX_RETRY_DELAY_MS,
    )
