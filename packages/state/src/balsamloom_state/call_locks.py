"""Serialization of the calls of a program."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

from balsamloom_core import errors, identifiers, results
from balsamloom_state import local, ownership, programs


class CallLocks:
    """Call locks of the programs; each admits one call at a time.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state

    @contextlib.contextmanager
    def acquire(
        self, program: programs.Program, timeout_ms: float, key: str = ""
    ) -> Iterator[None]:
        """Hold a program's call lock, granted in the order of arrival.

        :param program: program of the call.
        :param timeout_ms: longest wait.
        :param key: key of the call; with a recorded result it does not wait
            until the program is unblocked after an unknown outcome.
        :raises BalsamloomError: if the lock is not granted in time, with
            ``PREVIOUS_CALL_UNRESOLVED``, ``PARTITION_MOVING``,
            ``WRONG_OWNER`` or ``DEADLINE_CANNOT_BE_MET``, or with
            ``OUTCOME_UNKNOWN`` or ``INTERRUPTED`` if the call in progress has
            this key.
        """
        end_ms = self._state.clock.now_ms() + timeout_ms
        if not program.call_lock.acquire(timeout_ms):
            raise _timeout_error(program, key)
        partition = identifiers.partition_of(program.program_id)
        try:
            left_ms = end_ms - self._state.clock.now_ms()
            wait_ms = min(left_ms, self._state.settings.move_wait_ms)
            self._state.owned.begin_call(partition, wait_ms)
            try:
                self._check_owned(program)
                self._wait_unblocked(program, key, end_ms)
                yield
            finally:
                self._state.owned.end_call(partition)
        finally:
            program.call_lock.release()

    def _check_owned(self, program: programs.Program) -> None:
        if self._state.table.get(program.program_id) is not program:
            # The partition moved to another member while the call waited.
            raise ownership.moving_error()

    def _wait_unblocked(
        self, program: programs.Program, key: str, end_ms: float
    ) -> None:
        call = program.calls.get(key)
        if call is not None and call.is_finished:
            return
        now_ms = self._state.clock.now_ms()
        if program.blocked_until_ms > end_ms:
            raise errors.BalsamloomError(
                results.ResultCode.PREVIOUS_CALL_UNRESOLVED,
                retry_after_ms=round(program.blocked_until_ms - now_ms) + 1,
            )
        unset_event = threading.Event()
        while now_ms < program.blocked_until_ms:
            self._state.clock.wait(
                unset_event, program.blocked_until_ms - now_ms
            )
            now_ms = self._state.clock.now_ms()


def _timeout_error(
    program: programs.Program, key: str
) -> errors.BalsamloomError:
    """Return the error of a call that did not get the lock in time."""
    call = program.calls.get(key)
    if call is not None and not call.is_finished:
        return errors.BalsamloomError(
            results.ResultCode.OUTCOME_UNKNOWN,
            "the call with this key is in progress; ask for its result",
        )
    if key in program.holds:
        return errors.BalsamloomError(
            results.ResultCode.INTERRUPTED,
            "the call with this key is in progress; ask for its result",
        )
    return errors.BalsamloomError(
        results.ResultCode.DEADLINE_CANNOT_BE_MET,
        "an earlier call of the program is still in progress",
    )
