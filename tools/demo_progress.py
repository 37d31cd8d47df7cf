"""Steps, progress and results of the demonstration's programs."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator
from typing import NamedTuple

from balsamloom_standins import load

KILL_TIMEOUT_S = 60.0
MIN_REMAINING_STEPS_AT_KILL = 3


class Step(NamedTuple):
    """One call of a program.

    :param is_repeatable: whether the call is safe to run twice.
    """

    key: str
    call: load.ModelCall | load.ToolCall
    is_repeatable: bool


class Outcome(NamedTuple):
    """Result of a program as its caller saw it.

    :param status: ``complete``, the name of an error code or an exception.
    :param completed_count: steps that were answered as complete.
    """

    kind: str
    customer: str
    program_id: str
    status: str
    latency_ms: float
    steps: list[Step]
    completed_count: int

    @property
    def is_complete(self) -> bool:
        """Whether every call of the program was answered as complete."""
        return self.status == "complete"

    @property
    def completed_steps(self) -> list[Step]:
        """Steps that were answered as complete."""
        return self.steps[: self.completed_count]


class KillLock:
    """Readers-writer lock between calls and the kill of a process.

    A non-idempotent call whose owner dies before the result is durable has an
    unknown outcome by design, so its program could not complete. Such calls
    hold the lock shared; the one thread that kills holds it exclusively.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._shared_holders = 0
        self._is_exclusive = False

    @contextlib.contextmanager
    def shared(self) -> Iterator[None]:
        """Hold the lock for a call, after any exclusive holder."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_exclusive)
            self._shared_holders += 1
        try:
            yield
        finally:
            with self._changed:
                self._shared_holders -= 1
                self._changed.notify_all()

    @contextlib.contextmanager
    def exclusive(self) -> Iterator[None]:
        """Block new shared holders and wait until the others are done."""
        with self._changed:
            self._is_exclusive = True
            self._changed.wait_for(lambda: self._shared_holders == 0)
        try:
            yield
        finally:
            with self._changed:
                self._is_exclusive = False
                self._changed.notify_all()


class Progress:
    """Number of remaining steps of each program."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._remaining_steps: dict[str, int] = {}
        self._started = 0

    def update(self, program_id: str, remaining_steps: int) -> None:
        """Record how many steps a program still has.

        :param program_id: program.
        :param remaining_steps: remaining steps, 0 once it has ended.
        """
        with self._changed:
            self._started += program_id not in self._remaining_steps
            self._remaining_steps[program_id] = remaining_steps
            self._changed.notify_all()

    def wait_midway(self, min_started: int) -> bool:
        """Wait until enough programs have started and one is in progress.

        :param min_started: number of programs that must have started.
        :return: False after ``KILL_TIMEOUT_S``.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: (
                    self._started >= min_started and bool(self.in_progress())
                ),
                KILL_TIMEOUT_S,
            )

    def in_progress(self) -> list[str]:
        """Return programs with enough steps left, most steps first."""
        found = [
            (-remaining, program_id)
            for program_id, remaining in self._remaining_steps.items()
            if remaining >= MIN_REMAINING_STEPS_AT_KILL
        ]
        return [program_id for _, program_id in sorted(found)]
