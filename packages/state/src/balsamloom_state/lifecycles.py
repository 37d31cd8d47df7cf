"""Start, end and removal of programs."""

from __future__ import annotations

import logging
import random
from typing import NamedTuple

from balsamloom_core import errors, events, identifiers, results
from balsamloom_state import (
    budgets,
    commits,
    journal,
    local,
    ownership,
    programs,
    records_pb2,
)


class StartSpec(NamedTuple):
    """Parameters of a new program.

    A quantity of ``budget`` that is zero is taken from the settings. A
    sub-agent (``parent_id`` is set) uses the budget of its root program.
    """

    customer: str
    workspace: str = ""
    urgent: bool = False
    parent_id: str = ""
    budget: budgets.Limits = budgets.Limits()


class ProgramLifecycle:
    """Starts, ends and removes programs that this member owns.

    :param state: state of the member.
    :param recorder: writes records.
    """

    def __init__(
        self, state: local.LocalState, recorder: commits.Recorder
    ) -> None:
        self._state = state
        self._recorder = recorder

    def start(self, spec: StartSpec, timeout_ms: float) -> programs.Program:
        """Start a program durably.

        :param spec: parameters of the program.
        :param timeout_ms: longest wait.
        :raises BalsamloomError: if the program was not started.
        """
        self._recorder.check_store()
        parent = self.find(spec.parent_id) if spec.parent_id else None
        if parent is not None:
            self.check_alive(parent)
        partition = self._partition_for(parent)
        self._state.owned.begin_call(partition, 0)
        try:
            program = programs.Program(
                identifiers.new_program_id(partition), self._state.clock
            )
            return self._begin(
                program, self._program_started(spec, parent), timeout_ms
            )
        finally:
            self._state.owned.end_call(partition)

    def find(self, program_id: str) -> programs.Program:
        """Return a program that this member owns.

        :param program_id: identifier of the program.
        :raises BalsamloomError: with ``UNKNOWN_PROGRAM``, ``WRONG_OWNER`` or
            ``PARTITION_MOVING``.
        """
        if self._state.journal.is_deposed:
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        partition = identifiers.partition_of(program_id)
        match self._state.owned.state(partition):
            case ownership.ServingState() | ownership.MovingState():
                program = self._state.table.get(program_id)
            case ownership.ImportingState():
                raise ownership.moving_error()
            case None:
                raise self._not_owned_error(partition)
        if program is None:
            raise errors.BalsamloomError(results.ResultCode.UNKNOWN_PROGRAM)
        return program

    def root_of(self, program: programs.Program) -> programs.Program:
        """Return the program that holds the budget.

        :param program: the program or sub-agent.
        """
        if program.root_id == program.program_id:
            return program
        return self._state.table.get(program.root_id) or program

    def check_alive(self, program: programs.Program) -> None:
        """Refuse calls of a program that ended or exceeded its wall time.

        :param program: program of the call.
        :raises BalsamloomError: with ``PROGRAM_ENDED`` or
            ``BUDGET_EXHAUSTED``.
        """
        root = self.root_of(program)
        for candidate in (program, root):
            if candidate.is_ended:
                raise _ended_error(candidate)
        if root.account.is_overdue(self._state.clock.now_ms()):
            raise self.end_by_budget(root, "wall time is used up")
        if root is program and program.root_id != program.program_id:
            # The records of the root program were lost, including the budget.
            raise errors.BalsamloomError(results.ResultCode.PROGRAM_ENDED)

    def end_by_budget(
        self, root: programs.Program, cause: str
    ) -> errors.BalsamloomError:
        """End a program whose budget is exhausted and return the error.

        :param root: program that holds the budget.
        :param cause: text that names the exhausted quantity.
        """
        code = results.ResultCode.BUDGET_EXHAUSTED
        self.append_end(root, code)
        events.log(
            events.Event.PROGRAM_ENDED_BY_SYSTEM,
            program_id=root.program_id,
            cause=cause,
        )
        return errors.BalsamloomError(code, cause)

    def end(
        self, program: programs.Program, code: int, timeout_ms: float
    ) -> None:
        """End a program and its sub-agents durably.

        :param program: program to end.
        :param code: result code with which it ends.
        :param timeout_ms: longest wait.
        :raises BalsamloomError: if the end is not durable in time; it may
            still become durable later.
        """
        partition = identifiers.partition_of(program.program_id)
        wait_ms = min(timeout_ms, self._state.settings.move_wait_ms)
        # A move that already copied the program would lose its end.
        self._state.owned.begin_call(partition, wait_ms)
        try:
            if self._state.table.get(program.program_id) is not program:
                raise ownership.moving_error()
            batches = self.append_end(program, code)
            state = self._recorder.wait_all(batches, timeout_ms)
        finally:
            self._state.owned.end_call(partition)
        match state:
            case journal.Pending():
                raise commits.unavailable_error()
            case journal.Deposed():
                raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)

    def append_end(
        self, program: programs.Program, code: int
    ) -> list[journal.Batch]:
        """Queue the end of a program and its sub-agents.

        :param program: program to end.
        :param code: result code with which it ends.
        """
        batches = []
        for ending in [program, *self._descendants(program)]:
            with ending.lock:
                if ending.is_ended:
                    continue
                record = self._recorder.next_record(
                    ending, ended=records_pb2.ProgramEnded(code=code)
                )
                batches.append(self._recorder.append((ending, record)))
        return batches

    def maintain(self) -> None:
        """End overdue programs; remove ended ones after the retention."""
        now_ms = self._state.clock.now_ms()
        serving = set(self._state.owned.serving())
        retention_ms = self._state.settings.result_retention_ms
        for program in self._state.table.all():
            partition = identifiers.partition_of(program.program_id)
            if partition not in serving:
                continue
            if not program.is_ended and program.account.is_overdue(now_ms):
                self.end_by_budget(program, "wall time is used up")
            elif program.is_ended and (
                now_ms - program.ended_ms > retention_ms
            ):
                self._state.table.remove(program.program_id)

    def _partition_for(self, parent: programs.Program | None) -> int:
        if parent is not None:
            return identifiers.partition_of(parent.program_id)
        if self._state.is_leaving:
            raise errors.BalsamloomError(
                results.ResultCode.LEAVING,
                retry_after_ms=ownership.RETRY_AFTER_MS,
            )
        serving = self._state.owned.serving()
        if not serving:
            raise ownership.moving_error()
        return random.choice(serving)

    def _program_started(
        self, spec: StartSpec, parent: programs.Program | None
    ) -> records_pb2.ProgramStarted:
        started = records_pb2.ProgramStarted(
            customer=spec.customer,
            workspace=spec.workspace,
            urgent=spec.urgent,
        )
        if parent is not None:
            started.parent_id = parent.program_id
            started.root_id = parent.root_id
            return started
        default = self._state.settings.default_budget
        limits = budgets.Limits(
            *(
                requested or fallback
                for requested, fallback in zip(
                    spec.budget, default, strict=True
                )
            )
        )
        account = budgets.Account(limits)
        account.settle(budgets.ZERO, budgets.ZERO)
        started.budget.generated_tokens = limits.generated_tokens
        started.budget.calls = limits.calls
        started.budget.wall_ms = limits.wall_ms
        started.reserved.CopyFrom(budgets.to_record(account.reserved))
        return started

    def _begin(
        self,
        program: programs.Program,
        started: records_pb2.ProgramStarted,
        timeout_ms: float,
    ) -> programs.Program:
        with program.lock:
            record = self._recorder.next_record(program, started=started)
            batch = self._recorder.append((program, record))
            program.reserve_batch = batch
            # Compaction deletes records of programs that are not in the table.
            self._state.table.add(program)
        try:
            self._recorder.wait_or_raise(batch, timeout_ms)
        except errors.BalsamloomError as error:
            self.append_end(program, error.code)
            raise
        return program

    def _descendants(
        self, program: programs.Program
    ) -> list[programs.Program]:
        found = [program]
        candidates = self._state.table.in_partition(
            identifiers.partition_of(program.program_id)
        )
        for ancestor in found:
            found.extend(
                candidate
                for candidate in candidates
                if candidate.parent_id == ancestor.program_id
            )
        return found[1:]

    def _not_owned_error(self, partition: int) -> errors.BalsamloomError:
        owner = self._state.map.owner_of(partition)
        member_id = self._state.member.member_id
        if owner is None or owner.member_id == member_id:
            return ownership.moving_error()
        return errors.BalsamloomError(
            results.ResultCode.WRONG_OWNER,
            f"partition {partition} belongs to {owner.member_id}",
        )


def _ended_error(program: programs.Program) -> errors.BalsamloomError:
    if program.end_code == results.ResultCode.BUDGET_EXHAUSTED:
        return errors.BalsamloomError(results.ResultCode.BUDGET_EXHAUSTED)
    return errors.BalsamloomError(
        results.ResultCode.PROGRAM_ENDED,
        f"the program ended with code {program.end_code}",
    )


def end_damaged(program: programs.Program, now_ms: float) -> None:
    """End a program that lost records; its known results stay readable.

    The end becomes durable with the next snapshot of the program.

    :param program: program to end.
    :param now_ms: time of the end.
    """
    if program.is_ended:
        return
    program.is_ended = True
    program.end_code = results.ResultCode.DAMAGED_MESSAGE
    program.ended_ms = now_ms
    program.messages = []
    events.log(
        events.Event.PROGRAM_ENDED_BY_SYSTEM,
        logging.ERROR,
        program_id=program.program_id,
        cause="records of the program were lost",
    )
