"""Compaction of a member's own journal."""

from __future__ import annotations

import threading

from balsamloom_core import events, identifiers
from balsamloom_state import (
    commits,
    journal,
    local,
    ownership,
    programs,
    segments,
)

MAX_LIVE_RATIO = 0.5
REWRITE_TARGET_BYTES = 350_000
# The store accepts at most 128 operations per transaction.
MAX_DELETES_PER_COMMIT = 64


class Compactor:
    """Deletes segments without live records and rewrites sparse ones.

    A record is live if this member has its program and no later durable
    snapshot replaces it. Segments are deleted in order from the oldest, so
    the record that ends a program is never deleted before its earlier ones.

    :param state: state of the member.
    :param recorder: writes snapshots.
    """

    def __init__(
        self, state: local.LocalState, recorder: commits.Recorder
    ) -> None:
        self._state = state
        self._recorder = recorder
        self._rewrites: list[journal.Batch] = []
        self._run_lock = threading.Lock()

    def run_once(self) -> int:
        """Delete dead segments; rewrite the oldest ones if few are live.

        :return: number of segments deleted.
        :raises StoreUnavailable: if the store does not answer.
        """
        with self._run_lock:
            if self._state.journal.is_deposed or not self._is_rewrite_done():
                return 0
            deleted = self._delete_dead()
            if self._is_sparse():
                self._rewrite_oldest()
                timeout_ms = self._state.settings.import_timeout_ms
                self._recorder.wait_all(self._rewrites, timeout_ms)
                if self._is_rewrite_done():
                    deleted += self._delete_dead()
            return deleted

    def live_bytes(self) -> int:
        """Return the size of the live records."""
        return sum(
            entry.size_bytes
            for info in self._state.journal.written_segments()
            for program_id, entry in info.entries.items()
            if self._is_live(program_id, entry)
        )

    def _is_rewrite_done(self) -> bool:
        """Return whether all snapshots of rewritten programs are durable."""
        self._rewrites = [
            batch
            for batch in self._rewrites
            if not isinstance(batch.state, journal.Durable)
        ]
        return not self._rewrites

    def _delete_dead(self) -> int:
        deleted = 0
        while True:
            dead = 0
            for info in self._state.journal.written_segments()[:-1]:
                if dead == MAX_DELETES_PER_COMMIT or self._has_live(info):
                    break
                dead += 1
            if not dead:
                return deleted
            self._state.journal.delete_oldest(dead)
            events.log(events.Event.JOURNAL_COMPACTED, segments=dead)
            deleted += dead

    def _has_live(self, info: segments.SegmentInfo) -> bool:
        return any(
            self._is_live(program_id, entry)
            for program_id, entry in info.entries.items()
        )

    def _is_live(self, program_id: str, entry: segments.SegmentEntry) -> bool:
        program = self._program(program_id)
        return program is not None and entry.version >= program.base_version

    def _program(self, program_id: str) -> programs.Program | None:
        with self._state.lock:
            program = self._state.table.get(program_id)
            if program is not None:
                return program
            for staged in self._state.staged.values():
                if program_id in staged.programs:
                    return staged.programs[program_id]
        return None

    def _is_sparse(self) -> bool:
        written = self._state.journal.written_segments()
        total_bytes = sum(info.size_bytes for info in written)
        if total_bytes < self._state.settings.compaction_min_bytes:
            return False
        return self.live_bytes() < total_bytes * MAX_LIVE_RATIO

    def _rewrite_oldest(self) -> None:
        size_bytes = 0
        seen: set[str] = set()
        for info in self._state.journal.written_segments()[:-1]:
            for program_id, entry in info.entries.items():
                if program_id in seen or not self._is_live(program_id, entry):
                    continue
                seen.add(program_id)
                size_bytes += self._rewrite(program_id)
            if size_bytes >= REWRITE_TARGET_BYTES:
                return

    def _rewrite(self, program_id: str) -> int:
        program = self._state.table.get(program_id)
        if program is None:
            return 0
        partition = identifiers.partition_of(program_id)
        state = self._state.owned.state(partition)
        if not isinstance(state, ownership.ServingState):
            return 0
        batches = self._recorder.append_snapshot(program)
        self._rewrites += batches
        return sum(batch.size_bytes for batch in batches)
