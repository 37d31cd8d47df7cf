"""Statistics of a budget ledger, which show how its turns spend their time."""

from __future__ import annotations

import contextlib
import enum
import threading
from collections.abc import Iterator
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events

LOG_INTERVAL_MS = 1_000.0


class Stage(enum.StrEnum):
    """Stage of a turn on its way to tokens."""

    EARLIER_HOLDERS = "earlier_holders"
    LOCK = "lock"
    RECORD = "record"
    ENTRY = "entry"


class _Durations:
    """Number, sum and maximum of durations."""

    def __init__(self) -> None:
        self._count = 0
        self._total_ms = 0.0
        self._max_ms = 0.0

    def add(self, duration_ms: float) -> None:
        self._count += 1
        self._total_ms += duration_ms
        self._max_ms = max(self._max_ms, duration_ms)

    def fields(self, name: str) -> dict[str, float]:
        """Return number, mean and maximum as fields of a log line."""
        mean_ms = self._total_ms / max(self._count, 1)
        return {
            f"{name}_count": self._count,
            f"mean_{name}_ms": round(mean_ms, 1),
            f"max_{name}_ms": round(self._max_ms, 1),
        }


class _Interval:
    """What is counted between two log lines."""

    def __init__(
        self, started_ms: float, processor_ms: float, concurrent_turns: int
    ) -> None:
        self.started_ms = started_ms
        self.processor_ms = processor_ms
        self.granted_turns = 0
        self.refused_turns = 0
        self.max_concurrent_turns = concurrent_turns
        self.judgements = 0
        self.failed_transactions = 0
        self.refused_transactions = 0
        self.written_records = 0
        self.transaction = _Durations()
        self.stages = {stage: _Durations() for stage in Stage}

    def fields(self, now_ms: float, processor_ms: float) -> dict[str, Any]:
        """Return the fields of the log line."""
        fields: dict[str, Any] = {
            "interval_ms": round(now_ms - self.started_ms),
            "processor_ms": round(processor_ms - self.processor_ms, 1),
            "granted_turns": self.granted_turns,
            "refused_turns": self.refused_turns,
            "max_concurrent_turns": self.max_concurrent_turns,
            "judgements": self.judgements,
            "failed_transactions": self.failed_transactions,
            "refused_transactions": self.refused_transactions,
            "written_records": self.written_records,
            **self.transaction.fields("transaction"),
        }
        for stage, durations in self.stages.items():
            fields.update(durations.fields(stage))
        return fields


class Turn:
    """Times of a turn that asks for tokens.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._stage_started_ms = clock.now_ms()
        self.durations_ms: dict[Stage, float] = {}
        self.is_granted = False

    def end_stage(self, stage: Stage) -> None:
        """Count the time since the end of the stage before."""
        now_ms = self._clock.now_ms()
        self.durations_ms[stage] = now_ms - self._stage_started_ms
        self._stage_started_ms = now_ms


class LedgerStatistics:
    """Counts what a ledger does, and logs it after each interval with turns.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._concurrent_turns = 0
        self._interval = self._start_interval()

    @contextlib.contextmanager
    def turn(self) -> Iterator[Turn]:
        """Count a turn; it is refused unless its caller says otherwise."""
        turn = Turn(self._clock)
        with self._lock:
            self._concurrent_turns += 1
            self._interval.max_concurrent_turns = max(
                self._interval.max_concurrent_turns, self._concurrent_turns
            )
        try:
            yield turn
        finally:
            self._end_turn(turn)

    def add_judgement(self) -> None:
        """Count a look at whether an account has tokens for a turn."""
        with self._lock:
            self._interval.judgements += 1

    def add_transaction(
        self,
        records: int,
        duration_ms: float,
        is_failed: bool,
        is_refused: bool = False,
    ) -> None:
        """Count a transaction.

        :param records: number of records that it was to write.
        :param is_refused: whether another holder had written one of them.
        """
        with self._lock:
            self._interval.transaction.add(duration_ms)
            if is_failed:
                self._interval.failed_transactions += 1
            elif is_refused:
                self._interval.refused_transactions += 1
            else:
                self._interval.written_records += records

    def _end_turn(self, turn: Turn) -> None:
        with self._lock:
            self._concurrent_turns -= 1
            if turn.is_granted:
                self._interval.granted_turns += 1
            else:
                self._interval.refused_turns += 1
            for stage, duration_ms in turn.durations_ms.items():
                self._interval.stages[stage].add(duration_ms)
            now_ms = self._clock.now_ms()
            if now_ms - self._interval.started_ms < LOG_INTERVAL_MS:
                return
            ended = self._interval
            self._interval = self._start_interval()
        fields = ended.fields(now_ms, self._interval.processor_ms)
        events.log(events.Event.LEDGER_STATISTICS, **fields)

    def _start_interval(self) -> _Interval:
        return _Interval(
            self._clock.now_ms(),
            self._clock.processor_ms(),
            self._concurrent_turns,
        )
