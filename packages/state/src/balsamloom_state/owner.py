"""Facade: the programs of the partitions that one member owns."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import errors, outcomes, results
from balsamloom_platform import store as stores
from balsamloom_state import (
    budgets,
    calls,
    commits,
    compaction,
    entrance,
    holds,
    imports,
    journal,
    lifecycles,
    local,
    moves,
    ownership,
    partitions,
    presence,
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

    A deposed owner answers nothing any more; the process goes on with a new
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
            ownership.Slots(clock),
        )
        recorder = commits.Recorder(self._state)
        self._lives = lifecycles.ProgramLifecycle(self._state, recorder)
        self._calls = calls.CallRecorder(self._state, recorder, self._lives)
        self._takeover = takeover.Takeover(self._state)
        self._mover = moves.Mover(self._state, transfer)
        self._presence = presence.Presence(
            self._state, self._mover, self._takeover
        )
        self._entrance = entrance.Entrance(self._state)
        self._tags = holds.TagCheck(self._state)
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
        """Return whether a successor took over from this member."""
        return self.journal.is_deposed

    def join(self) -> None:
        """Open the journal and enter the map; trying again is harmless.

        :raises StoreUnavailable: if the store does not answer.
        :raises BalsamloomError: with ``WRONG_OWNER`` if this member was
            sealed meanwhile; the process needs a new member id.
        """
        self._presence.join()
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
        """Take a map unless a higher version was seen before.

        :param found: map from the store or a peer.
        """
        self._state.observe_map(found)

    def owned_partitions(self) -> list[int]:
        """Return the partitions that take new programs."""
        if self.is_deposed:
            return []
        return self._state.slots.serving()

    def partition_state(self, partition: int) -> ownership.PartitionState:
        """Return who serves a partition, as far as is known.

        :param partition: number of the partition.
        """
        state = self._state.slots.state(partition)
        if state is not None and not self.is_deposed:
            return state
        owner = self.map.owner_of(partition)
        if owner is None or owner.member_id == self.member.member_id:
            return ownership.Unowned()
        return ownership.Elsewhere(owner)

    def start_program(
        self, spec: lifecycles.StartSpec, timeout_ms: float
    ) -> programs.Program:
        """Start a program and make that durable.

        :param spec: what the caller asks for.
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

    def turn(
        self, program: programs.Program, timeout_ms: float, key: str = ""
    ) -> contextlib.AbstractContextManager[None]:
        """Hold a program's turn, see :meth:`entrance.Entrance.hold`.

        :param program: program of the call.
        :param timeout_ms: longest wait.
        :param key: key of the call, so that a recorded result does not wait
            out an unknown outcome.
        """
        return self._entrance.hold(program, timeout_ms, key)

    def begin_call(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        need: budgets.MaxUse,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> calls.NewCall | calls.RecordedCall:
        """Check a call and reserve its budget durably.

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param need: most that the call may use.
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
        """Make durable that a non-idempotent call is about to be sent.

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param target: where the call goes, for people.
        :param timeout_ms: time after which the sender gives the call up.
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

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key.
        :param digest: digest of the body.
        :param outcome: what came of the call.
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
        """Give back the budget of a call that did not run.

        :param program: program of the call.
        :param key: idempotency key.
        """
        self._calls.release(program, key)

    def reserve_again(
        self, program: programs.Program, key: str, need: budgets.MaxUse
    ) -> bool:
        """Hold budget for a further attempt of a call, without waiting.

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key of a call that :meth:`begin_call` let in.
        :param need: most that the further attempt may use.
        """
        return self._calls.reserve_again(program, key, need)

    def charge_call(
        self, program: programs.Program, key: str, generated_tokens: int
    ) -> None:
        """Count an idempotent call that gave no whole answer.

        :param program: program of the call; the caller holds its turn.
        :param key: idempotency key, which may be used again.
        :param generated_tokens: tokens that were generated all the same.
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
        :param code: why it ends.
        :param timeout_ms: longest wait.
        :raises BalsamloomError: if that is not durable in time.
        """
        self._lives.end(program, code, timeout_ms)

    def result(self, program_id: str, key: str) -> programs.Call:
        """Return a call, also of an ended program.

        :param program_id: identifier of the program.
        :param key: idempotency key.
        :raises BalsamloomError: with ``UNKNOWN_CALL`` or as :meth:`program`.
        """
        call = self.program(program_id).calls.get(key)
        if call is None:
            raise errors.BalsamloomError(results.ResultCode.UNKNOWN_CALL)
        return call

    def take_over(self, dead_member_id: str) -> takeover.TakeoverReport:
        """Take over a dead member's partitions.

        :param dead_member_id: member confirmed as dead.
        :raises StoreUnavailable: if the store does not answer; the caller
            tries again.
        """
        return self._takeover.take_over(dead_member_id)

    def run_imports(self) -> imports.ImportReport:
        """Import what the map assigns to this member.

        :raises StoreUnavailable: if the store does not answer; a later call
            goes on.
        """
        return self._takeover.run_imports()

    def receive_partition(
        self,
        sender_id: str,
        partition: int,
        epoch: int,
        records: Iterable[records_pb2.Record],
    ) -> bool:
        """Make a partition durable here before it moves here.

        :param sender_id: owner of the partition.
        :param partition: number of the partition.
        :param epoch: epoch that the partition will have here.
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
        """Do the work that is due; to be called every few hundred ms.

        Finishes moves and imports, ends overdue programs, drops old results
        and compacts the journal.

        :raises StoreUnavailable: if the store does not answer; a later call
            goes on.
        """
        if self.is_deposed:
            return
        self._lives.maintain()
        self._mover.resolve()
        self._takeover.run_imports()
        self._compactor.run_once()
        self._takeover.delete_retired()

    def leave(self, timeout_ms: float) -> bool:
        """Hand over all partitions, delete the journal and leave the map.

        :param timeout_ms: longest wait.
        :return: whether everything was handed over; if not, the journal and
            the map entry stay, and a successor takes over from them.
        """
        return self._presence.leave(timeout_ms)

    @property
    def has_kept_journal(self) -> bool:
        """Return whether the last member stopped with everything durable."""
        return self._presence.has_kept_journal

    def gone_tags(self, tags: Iterable[str]) -> list[str]:
        """Return tags of engine memory that no call needs any more.

        :param tags: ``<program_id>/<epoch>/<call>`` of held memory.
        """
        return [tag for tag in tags if self._tags.is_gone(tag)]

    def describe(self) -> dict[str, Any]:
        """Return state for the dump."""
        states: dict[str, int] = {}
        for state in self._state.slots.all().values():
            name = type(state).__name__.lower()
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
