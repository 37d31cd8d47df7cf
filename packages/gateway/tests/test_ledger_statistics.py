"""Tests of the statistics of a ledger."""

import unittest
from unittest import mock

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import ledger_statistics

Stage = ledger_statistics.Stage


class BusyClock(clocks.ManualClock):
    """Manual clock of a process that is busy half of the time."""

    def processor_ms(self):
        return self.now_ms() / 2


class LedgerStatisticsTest(unittest.TestCase):
    """Guards against load of a holder that its log doesn't show."""

    def setUp(self):
        self.clock = BusyClock()
        self.statistics = ledger_statistics.LedgerStatistics(self.clock)
        patch = mock.patch.object(events, "log", self.log)
        patch.start()
        self.addCleanup(patch.stop)
        self.lines = []

    def log(self, event, **fields):
        self.assertEqual(event, events.Event.LEDGER_STATISTICS)
        self.lines.append(fields)

    def play_turn(self, is_granted=True, **stages_ms):
        with self.statistics.turn() as turn:
            for name, duration_ms in stages_ms.items():
                self.clock.advance(duration_ms)
                turn.end_stage(Stage(name))
            turn.is_granted = is_granted

    def end_interval(self):
        self.clock.advance(ledger_statistics.LOG_INTERVAL_MS)
        self.play_turn()
        return self.lines[-1]

    def test_no_line_within_an_interval(self):
        self.play_turn(record=999)
        self.assertEqual(self.lines, [])

    def test_granted_and_refused_turns_are_counted(self):
        self.play_turn()
        self.play_turn(is_granted=False)
        self.play_turn(is_granted=False)
        line = self.end_interval()
        self.assertEqual(line["granted_turns"], 2)
        self.assertEqual(line["refused_turns"], 2)

    def test_turn_that_raises_is_refused_and_over(self):
        with self.assertRaises(ValueError), self.statistics.turn():
            raise ValueError
        line = self.end_interval()
        self.assertEqual(line["refused_turns"], 1)
        self.assertEqual(line["max_concurrent_turns"], 1)

    def test_times_of_stages_are_mean_and_longest(self):
        self.play_turn(lock=1, record=20)
        self.play_turn(lock=2, record=60)
        line = self.end_interval()
        self.assertEqual(line["mean_lock_ms"], 1.5)
        self.assertEqual(line["mean_record_ms"], 40)
        self.assertEqual(line["max_record_ms"], 60)
        self.assertEqual(line["record_count"], 2)
        self.assertEqual(line["entry_count"], 0)
        self.assertEqual(line["max_entry_ms"], 0)

    def test_concurrent_turns_are_counted_into_the_next_interval(self):
        with self.statistics.turn(), self.statistics.turn():
            self.assertEqual(self.end_interval()["max_concurrent_turns"], 3)
        self.assertEqual(self.end_interval()["max_concurrent_turns"], 2)
        self.assertEqual(self.end_interval()["max_concurrent_turns"], 1)

    def test_judgements_and_transactions_are_counted(self):
        self.statistics.add_judgement()
        self.statistics.add_judgement()
        self.statistics.add_transaction(3, 20, is_failed=False)
        self.statistics.add_transaction(2, 40, is_failed=True)
        self.statistics.add_transaction(
            5, 30, is_failed=False, is_refused=True
        )
        line = self.end_interval()
        self.assertEqual(line["judgements"], 2)
        self.assertEqual(line["transaction_count"], 3)
        self.assertEqual(line["refused_transactions"], 1)
        self.assertEqual(line["failed_transactions"], 1)
        self.assertEqual(line["written_records"], 3)
        self.assertEqual(line["mean_transaction_ms"], 30)

    def test_each_interval_starts_from_zero(self):
        self.statistics.add_judgement()
        self.end_interval()
        line = self.end_interval()
        self.assertEqual(line["judgements"], 0)
        self.assertEqual(line["interval_ms"], 1000)
        self.assertEqual(line["processor_ms"], 500)


if __name__ == "__main__":
    unittest.main()
