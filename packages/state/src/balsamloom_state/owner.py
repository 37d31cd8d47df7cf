"""Facade for the programs in the partitions that a member owns."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import errors, outcomes, results
from balsamloom_platform import store as stores
from balsamloom_state import (
    budgets,
    call_locks,
    calls,
    commits,
    compaction,
    hold_tags,
    journal,
    lifecycles,
    local,
    map_membership,
    ownership,
    partition_imports,
    partition_moves,
    partitions,
    programs,
    records_pb2,
    takeover,
)

OwnerSettings = local.OwnerSettings
Transfer = local.Transfer
StartSpec = lifecycles.StartSpec
NewCall = calls.NewCall
RecordedCall = calls.RecordedCall
Claim = calls.Claim
TakeoverReport = takeover.TakeoverReport
DEFAULT_TIMEOUT_MS = calls.DEFAULT_TIMEOUT_MS


class ProgramOwner:
    """One run of an entry process as owner of partitions.

    A deposed owner refuses all calls; the process continues with a new
    ``ProgramOwner`` under a new member id.

    :param store: key-value service.
    :param member: this run of the process.
    :param clock: time source.
    :param settings: tunable values.
    :param transfer: sends partitions to other members.
    """

    def __init__(
        self,
        store: stores.Store,
        member: partitions.Member,
        clock: clocks.Clock,
        settings: local.OwnerSettings,
        transfer: local.Transfer,
    ) -> None:
        self.journal = journal.Journal(
            store,
            member.member_id,
            clock,
            settings.commits_per_s,
            settings.commit_burst,
        )
        self._state = local.LocalState(
            store,
            member,
            clock,
            settings,
            self.journal,
            programs.ProgramTable(clock),
            ownership.OwnedPartitions(clock),
        )
        recorder = commits.Recorder(self._state)
        self._lives = lifecycles.ProgramLifecycle(self._state, recorder)
        self._calls = calls.CallRecorder(self._state, recorder, self._lives)
        self._takeover = takeover.Takeover(self._state)
        self._mover = partition_moves.PartitionMover(self._state, transfer)
        self._map_membership = map_membership.MapMembership(
            self._state, self._mover, self._takeover
        )
        self._call_locks = call_locks.CallLocks(self._state)
        self._hold_tags = hold_tags.HoldTagChecker(self._state)
        self._compactor = compaction.Compactor(self._state, recorder)
        self._is_started = False

    @property
    def member(self) -> partitions.Member:
        """Return this run of the process."""
        return self._state.member

    @property
    def map(self) -> partitions.PartitionMap:
        """Return the map with the highest version seen."""
        return self._state.map

    @property
    def is_deposed(self) -> bool:
        """Return whether another member has taken over from this one."""
        return self.journal.is_deposed

    def join(self) -> None:
        """Open the journal and add this member to the map; idempotent.

        :raises StoreUnavailable: if the store does not answer.
        :raises BalsamloomError: with ``WRONG_OWNER`` if this member's journal
            is sealed; the process then needs a new member id.
        """
        self._map_membership.join()
        if self._state.settings.writes_in_background and not self._is_started:
            self._is_started = True
            self.journal.start()

    def refresh_map(self) -> partitions.PartitionMap:
        """Read the map from the store.

        :raises StoreUnavailable: if the store does not answer.
        """
        found, _ = partitions.load(self._state.store)
        self.observe_map(found)
        return self.map

    def observe_map(self, found: partitions.PartitionMap) -> None:
        """Adopt a map if its version is higher than that of the known one.

        :param found: map from the store or a peer.
        """
        self._state.observe_map(found)

    def owned_partitions(self) -> list[int]:
        """Return the partitions that accept new programs."""
        if self.is_deposed:
            return []
        return self._state.owned.serving()

    def partition_state(self, partition: int) -> ownership.PartitionState:
        """Return who owns a partition, and whether it is being moved.

        :param partition: number of the partition.
        """
        state = self._state.owned.state(partition)
        if state is not None and not self.is_deposed:
            return state
        owner = self.map.owner_of(partition)
        if owner is None or owner.member_id == self.member.member_id:
            return ownership.UnownedState()
        return ownership.RemoteState(owner)

    def start_program(
        self, spec: lifecycles.StartSpec, timeout_ms: float
    ) -> programs.Program:
        """Start a program durably.

        :param spec: properties of the new program.
        :param timeout_ms: longest wait.
        :raises BalsamloomError: if the program was not started.
        """
        return self._lives.start(spec, timeout_ms)

    def program(self, program_id: str) -> programs.Program:
        """Return a program that this member owns.

        :param program_id: identifier of the program.
        :raises BalsamloomError: with ``UNKNOWN_PROGRAM``, ``WRONG_OWNER`` or
            ``PARTITION_MOVING``.
        """
        return self._lives.find(program_id)

    def call_lock(
        self, program: programs.Program, timeout_ms: float, key: str = ""
    ) -> contextlib.AbstractContextManager[None]:
        """Hold a call lock, see :meth:`call_locks.CallLocks.acquire`.

        :param program: program of the call.
        :param timeout_ms: longest wait.
        :param key: key of the call; a call with a recorded result does not
            wait until the program is unblocked after an unknown outcome.
        """
        return self._call_locks.acquire(program, timeout_ms, key)

    def begin_call(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        need: budgets.MaxUse,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> calls.NewCall | calls.RecordedCall:
        """Check a call and reserve its budget durably.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param need: upper bound of what the call uses.
        :param timeout_ms: longest wait for a new block of the budget.
        :raises BalsamloomError: if the call may not run.
        """
        return self._calls.begin(program, key, digest, need, timeout_ms)

    def claim(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        target: str,
        timeout_ms: float,
        commit_timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> calls.Claim:
        """Record durably that a non-idempotent call is about to be sent.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param target: receiver of the call, for diagnosis only.
        :param timeout_ms: time after which the sender abandons the call.
        :param commit_timeout_ms: longest wait for the commit.
        :raises BalsamloomError: if the call must not be sent.
        """
        return self._calls.claim(
            program, key, digest, target, timeout_ms, commit_timeout_ms
        )

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
        """Record the outcome of a call, see :meth:`calls.CallRecorder.finish`.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param outcome: outcome of the call.
        :param new_messages: messages that the call adds to the history.
        :param service_ms: time that the backend server spent.
        :param timeout_ms: longest wait.
        :return: the call; ``is_durable`` says whether the commit was
            confirmed in time.
        """
        return self._calls.finish(
            program, key, digest, outcome, new_messages, service_ms, timeout_ms
        )

    def wait_durable(self, call: programs.Call, timeout_ms: float) -> bool:
        """Wait until a recorded result is durable.

        :param call: call from :meth:`finish`, ``RecordedCall`` or
            :meth:`result`.
        :param timeout_ms: longest wait.
        """
        if call.batch is not None:
            self.journal.wait(call.batch, timeout_ms)
        return call.is_durable

    def release_call(self, program: programs.Program, key: str) -> None:
        """Release the reserved budget of a call that did not run.

        :param program: program of the call.
        :param key: idempotency key.
        """
        self._calls.release(program, key)

    def reserve_again(
        self, program: programs.Program, key: str, need: budgets.MaxUse
    ) -> bool:
        """Reserve budget for another attempt of a call, without waiting.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key of a call that :meth:`begin_call` accepted.
        :param need: upper bound of what the attempt uses.
        :return: whether the budget was reserved.
        """
        return self._calls.reserve_again(program, key, need)

    def charge_call(
        self, program: programs.Program, key: str, generated_tokens: int
    ) -> None:
        """Charge an idempotent call that returned no complete answer.

        :param program: program of the call; the caller holds its call lock.
        :param key: idempotency key, which may be reused.
        :param generated_tokens: tokens that were generated nevertheless.
        """
        used = budgets.MaxUse(generated_tokens).amount()
        self._calls.charge(program, key, used)

    def epoch(self, program: programs.Program) -> int:
        """Return the epoch in which this member owns a program.

        :param program: program that this member owns.
        """
        return self._state.epoch_of(program)

    def end_program(
        self,
        program: programs.Program,
        code: int,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> None:
        """End a program and its sub-agents durably.

        :param program: program to end.
        :param code: result code for the reason.
        :param timeout_ms: longest wait.
        :raises BalsamloomError: if the end is not durable in time.
        """
        self._lives.end(program, code, timeout_ms)

    def result(self, program_id: str, key: str) -> programs.Call:
        """Return a call of a live or ended program.

        :param program_id: identifier of the program.
        :param key: idempotency key.
        :raises BalsamloomError: with ``UNKNOWN_CALL`` or as :meth:`program`.
        """
        call = self.program(program_id).calls.get(key)
        if call is None:
            raise errors.BalsamloomError(results.ResultCode.UNKNOWN_CALL)
        return call

    def take_over(self, dead_member_id: str) -> takeover.TakeoverReport:
        """Take over the partitions of a dead member.

        :param dead_member_id: member confirmed as dead.
        :raises StoreUnavailable: if the store does not answer; the caller
            retries.
        """
        return self._takeover.take_over(dead_member_id)

    def run_imports(self) -> partition_imports.ImportReport:
        """Run the imports that the map assigns to this member.

        :raises StoreUnavailable: if the store does not answer; the next call
            continues.
        """
        return self._takeover.run_imports()

    def receive_partition(
        self,
        sender_id: str,
        partition: int,
        epoch: int,
        records: Iterable[records_pb2.Record],
    ) -> bool:
        """Store a partition durably before it moves to this member.

        :param sender_id: owner of the partition.
        :param partition: number of the partition.
        :param epoch: epoch of the partition after the move.
        :param records: snapshots of its programs.
        :return: whether the records are durable.
        """
        return self._mover.receive(sender_id, partition, epoch, list(records))

    def rebalance_once(self) -> int:
        """Move idle partitions above the fair share to members below it.

        :return: number of partitions moved.
        :raises StoreUnavailable: if the store does not answer.
        """
        if self.is_deposed or self._state.is_leaving:
            return 0
        return self._mover.rebalance_once()

    def maintain(self) -> None:
        """Run periodic maintenance; call this every few hundred ms.

        Finishes moves and imports, ends overdue programs, deletes old results
        and compacts the journal.

        :raises StoreUnavailable: if the store does not answer; the next call
            continues.
        """
        if self.is_deposed:
            return
        self._lives.maintain()
        self._mover.finish_moves()
        self._takeover.run_imports()
        self._compactor.run_once()
        self._takeover.delete_retired()

    def leave(self, timeout_ms: float) -> bool:
        """Hand over all partitions, delete the journal and leave the map.

        :param timeout_ms: longest wait.
        :return: whether everything was handed over; if not, the journal and
            the map entry stay for another member to take over.
        """
        return self._map_membership.leave(timeout_ms)

    @property
    def has_kept_journal(self) -> bool:
        """Return whether the last member closed its journal durably."""
        return self._map_membership.has_kept_journal

    def stale_tags(self, tags: Iterable[str]) -> list[str]:
        """Return the tags of engine memory that is no longer needed.

        :param tags: ``<program_id>/<epoch>/<call>`` of held memory.
        """
        return [tag for tag in tags if self._hold_tags.is_stale(tag)]

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        states: dict[str, int] = {}
        for state in self._state.owned.states().values():
            name = state.dump_name
            states[name] = states.get(name, 0) + 1
        known = self._state.table.all()
        return {
            "member_id": self.member.member_id,
            "is_deposed": self.is_deposed,
            "is_leaving": self._state.is_leaving,
            "map_version": self.map.version,
            "partitions": states,
            "programs": len(known),
            "ended_programs": sum(program.is_ended for program in known),
            "damaged_segments": self._state.damaged_segments,
            "live_bytes": self._compactor.live_bytes(),
            "journal": self.journal.describe(),
        }
