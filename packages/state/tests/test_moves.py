"""Tests of planned moves, planned shutdowns and compaction."""

import threading
import unittest
from unittest import mock

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import errors, identifiers, results
from balsamloom_state import journal_storage, ownership

Code = results.ResultCode


class MoveTest(unittest.TestCase):
    def setUp(self):
        self.cluster = builders.Cluster()
        self.first = self.cluster.join()
        self.program = builders.start(self.first)
        self.partition = identifiers.partition_of(self.program.program_id)
        builders.model_call(self.first, self.program, "c1", "one")
        self.second = self.cluster.join()

    def test_rebalancing_keeps_history_and_evens_out(self):
        """Guards against moves that lose programs or never finish."""
        third = self.cluster.join()
        self.cluster.rebalance(self.first, [self.second, third])
        counts = sorted(
            len(member.owned_partitions())
            for member in (self.first, self.second, third)
        )
        self.assertEqual(counts, [2, 3, 3])
        for member in (self.second, third):
            self.assertEqual(member.rebalance_once(), 0)

    def test_partition_with_call_in_progress_is_not_rebalanced(self):
        """Guards against a move during a call in progress."""
        with self.first.call_lock(self.program, 1_000):
            self.cluster.rebalance(self.first, [self.second])
            self.assertIn(self.partition, self.first.owned_partitions())

    def test_leave_hands_over_everything(self):
        """Guards against a planned shutdown that loses programs."""
        for number in range(2, 5):
            builders.model_call(self.first, self.program, f"c{number}")
        self.assertTrue(self.first.leave(10_000))
        self.second.refresh_map()
        found = self.second.program(self.program.program_id)
        self.assertEqual(len(found.messages), 4)
        self.assertEqual(list(self.cluster.map().members), ["m2"])
        self.assertEqual(self.cluster.journal_keys(self.first), [])
        self.assertEqual(found.account.used.calls, 4)
        call = builders.model_call(self.second, found, "c1", "again")
        self.assertEqual(call.answer, {"text": "one"})

    def test_leave_moves_idle_partitions_during_a_long_call(self):
        """Guards against one long call that delays all other moves."""
        with self.first.call_lock(self.program, 1_000):
            self.assertFalse(self.first.leave(5_000))
            found = self.cluster.map().partitions_of("m1")
            self.assertEqual(found, [self.partition])
            builders.finish(
                self.first, self.program, "c2", builders.completed(), "two"
            )
        self.assertTrue(self.first.leave(5_000))
        self.second.refresh_map()
        found = self.second.program(self.program.program_id)
        self.assertEqual(len(found.messages), 2)

    def test_program_cannot_end_while_its_partition_moves(self):
        """Guards against an end record that is not sent to the receiver."""
        self.first._state.owned.pause(self.partition)
        with self.assertRaises(errors.BalsamloomError) as caught:
            self.first.end_program(self.program, Code.ACCEPTED)
        self.assertEqual(caught.exception.code, Code.PARTITION_MOVING)
        self.assertFalse(self.program.is_ended)

    def test_leave_with_lost_answers_at_every_store_call(self):
        """Guards against a shutdown that a lost answer stalls or repeats."""
        for fault in ("lost", "unavailable"):
            for number in range(1, 30):
                with self.subTest(fault=fault, number=number):
                    self.setUp()
                    store = self.cluster.store_of(self.first)
                    store.fault = builders.fault_on_call(number, fault, None)
                    self.assertTrue(self.first.leave(30_000))
                    self.second.refresh_map()
                    self.second.maintain()
                    found = self.second.program(self.program.program_id)
                    self.assertEqual(len(found.messages), 1)
                    owners = self.cluster.map().owners.values()
                    self.assertEqual({owner.epoch for owner in owners}, {2})
                    self.assertEqual(self.cluster.journal_keys(self.first), [])

    def test_last_member_keeps_its_journal(self):
        """Guards against a shutdown that deletes the only copy."""
        self.assertTrue(self.second.leave(1_000))
        self.first.refresh_map()
        start_ms = self.cluster.clock.now_ms()
        self.assertFalse(self.first.leave(60_000))
        self.assertTrue(self.first.has_kept_journal)
        self.assertLess(self.cluster.clock.now_ms() - start_ms, 1_000)
        self.cluster.kill(self.first)
        third = self.cluster.join()
        third.take_over(self.first.member.member_id)
        found = third.program(self.program.program_id)
        self.assertEqual(found.messages[0]["content"], "one")

    def test_unexpected_error_of_a_transfer_resumes_partitions(self):
        """Guards against paused partitions that reject calls for ever."""
        self.first.refresh_map()
        with (
            mock.patch.object(
                builders.DirectTransfer, "send_partition", side_effect=OSError
            ),
            self.assertRaises(OSError),
        ):
            self.first.rebalance_once()
        states = self.first.describe()["partitions"]
        self.assertNotIn("moving", states)

    def test_death_of_the_receiver_before_the_map_change(self):
        """Guards against a partition assigned to a removed member."""
        transfer = builders.DirectTransfer.send_partition

        def send_and_die(instance, receiver, partition, epoch, records):
            sent = transfer(instance, receiver, partition, epoch, records)
            self.cluster.kill(self.second)
            third.take_over(self.second.member.member_id)
            return sent

        third = self.cluster.join()
        self.first.refresh_map()
        builders.DirectTransfer.send_partition = send_and_die
        try:
            self.first.rebalance_once()
        finally:
            builders.DirectTransfer.send_partition = transfer
        found = self.cluster.map()
        self.assertNotIn(
            "m2", {owner.member_id for owner in found.owners.values()}
        )
        self.assertIsInstance(
            self.first.partition_state(self.partition),
            ownership.ServingState | ownership.RemoteState,
        )

    def test_abandoned_transfer_is_ignored_later(self):
        """Guards against stale program copies at an earlier receiver."""
        epoch = self.first.partition_state(self.partition).epoch + 1
        records = self.first._mover._take_snapshots(self.partition, epoch)
        self.assertTrue(
            self.second.receive_partition("m1", self.partition, epoch, records)
        )
        self.first.end_program(self.program, Code.ACCEPTED)
        self.cluster.clock.sleep(self.cluster.settings.result_retention_ms + 1)
        self.first.maintain()
        self.assertTrue(self.first.leave(10_000))
        self.second.refresh_map()
        self.cluster.kill(self.second)
        third = self.cluster.join()
        third.take_over("m2")
        with self.assertRaises(errors.BalsamloomError) as caught:
            third.program(self.program.program_id)
        self.assertEqual(caught.exception.code, Code.UNKNOWN_PROGRAM)

    def test_calls_wait_while_a_partition_moves(self):
        """Guards against calls that are rejected for ever or run in a move."""
        owned = ownership.OwnedPartitions(clocks.Clock())
        owned.set_state(3, ownership.ServingState(1))
        self.assertTrue(owned.pause_if_idle(3))
        with self.assertRaises(errors.BalsamloomError) as caught:
            owned.begin_call(3, 1)
        self.assertEqual(caught.exception.code, Code.PARTITION_MOVING)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        entered = threading.Event()

        def enter():
            owned.begin_call(3, 5_000)
            entered.set()

        thread = threading.Thread(target=enter)
        thread.start()
        self.assertFalse(entered.is_set())
        owned.resume(3)
        self.assertTrue(entered.wait(5))
        thread.join()
        self.assertFalse(owned.pause_if_idle(3))


class CompactionTest(unittest.TestCase):
    def setUp(self):
        self.cluster = builders.Cluster(
            compaction_min_bytes=5_000, result_retention_ms=1_000
        )
        self.member = self.cluster.join()
        self.prefix = f"/balsamloom/journal/{self.member.member.member_id}/"

    def run_programs(self, count):
        for _ in range(count):
            program = builders.start(self.member)
            for number in range(4):
                builders.model_call(
                    self.member, program, f"c{number}", "x" * 200
                )
            self.member.end_program(program, Code.ACCEPTED)
            self.cluster.clock.sleep(1_500)
            self.member.maintain()

    def test_journal_size_is_bounded_by_live_data(self):
        """Guards against a journal that grows without bound."""
        kept = builders.start(self.member)
        builders.model_call(self.member, kept, "c1", "keep")
        self.run_programs(10)
        early = self.cluster.service.size_bytes(self.prefix)
        self.run_programs(60)
        late = self.cluster.service.size_bytes(self.prefix)
        self.assertLess(late, 3 * early)
        successor = self.cluster.join()
        self.cluster.kill(self.member)
        report = successor.take_over(self.member.member.member_id)
        self.assertEqual(report.imported.damaged_programs, 0)
        found = successor.program(kept.program_id)
        self.assertEqual(found.messages, [builders.message("keep")])

    def test_death_between_rewrite_and_delete(self):
        """Guards against compaction that loses or duplicates records."""
        kept = [builders.start(self.member) for _ in range(3)]
        for program in kept:
            builders.model_call(self.member, program, "c1", "keep")
        store = self.cluster.store_of(self.member)
        store.fault = lambda kind, operations: (
            "crash"
            if any(
                type(operation).__name__ == "Delete"
                for operation in operations
            )
            else ""
        )
        with self.assertRaises(builders.ProcessCrash):
            self.run_programs(40)
        successor = self.cluster.join()
        successor.take_over(self.member.member.member_id)
        for program in kept:
            found = successor.program(program.program_id)
            self.assertEqual(found.messages, [builders.message("keep")])

    def test_nothing_is_deleted_before_the_rewrite_is_durable(self):
        """Guards against segments deleted before their new snapshots."""
        kept = builders.start(self.member)
        builders.model_call(self.member, kept, "c1", "keep")
        compactor = self.member._compactor
        store = self.cluster.store_of(self.member)
        store.fault = lambda kind, operations: "unavailable"
        compactor._rewrites += compactor._recorder.append_snapshot(kept)
        self.assertEqual(compactor.run_once(), 0)
        self.cluster.kill(self.member)
        successor = self.cluster.join()
        successor.take_over(self.member.member.member_id)
        found = successor.program(kept.program_id)
        self.assertEqual(found.messages, [builders.message("keep")])

    def test_records_of_deleted_programs_are_not_revived(self):
        """Guards against a live copy of an ended, partly compacted program."""
        self.run_programs(3)
        content = journal_storage.read(
            self.cluster.store_of(self.member), self.member.member.member_id
        )
        successor = self.cluster.join()
        self.cluster.kill(self.member)
        successor.take_over(self.member.member.member_id)
        for record in content.records:
            found = successor._state.table.get(record.program_id)
            self.assertTrue(found is None or found.is_ended)


if __name__ == "__main__":
    unittest.main()
