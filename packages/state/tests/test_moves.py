"""Planned moves, planned stops and compaction."""

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
        self.world = builders.World()
        self.first = self.world.join()
        self.program = builders.start(self.first)
        self.partition = identifiers.partition_of(self.program.program_id)
        builders.model_call(self.first, self.program, "c1", "one")
        self.second = self.world.join()

    def test_rebalancing_keeps_history_and_evens_out(self):
        """Guards against moves that lose programs or never end."""
        third = self.world.join()
        self.world.share(self.first, [self.second, third])
        counts = sorted(
            len(member.owned_partitions())
            for member in (self.first, self.second, third)
        )
        self.assertEqual(counts, [2, 3, 3])
        for member in (self.second, third):
            self.assertEqual(member.rebalance_once(), 0)

    def test_busy_partition_is_not_rebalanced(self):
        """Guards against a move under a call in progress."""
        with self.first.call_lock(self.program, 1_000):
            self.world.share(self.first, [self.second])
            self.assertIn(self.partition, self.first.owned_partitions())

    def test_leave_hands_over_everything(self):
        """Guards against a planned stop that loses programs."""
        for number in range(2, 5):
            builders.model_call(self.first, self.program, f"c{number}")
        self.assertTrue(self.first.leave(10_000))
        self.second.refresh_map()
        found = self.second.program(self.program.program_id)
        self.assertEqual(len(found.messages), 4)
        self.assertEqual(list(self.world.map().members), ["m2"])
        self.assertEqual(self.world.journal_keys(self.first), [])
        self.assertEqual(found.account.used.calls, 4)
        call = builders.model_call(self.second, found, "c1", "again")
        self.assertEqual(call.answer, {"text": "one"})

    def test_leave_moves_idle_partitions_beside_a_long_call(self):
        """Guards against one long call that keeps all programs here."""
        with self.first.call_lock(self.program, 1_000):
            self.assertFalse(self.first.leave(5_000))
            found = self.world.map().partitions_of("m1")
            self.assertEqual(found, [self.partition])
            builders.finish(
                self.first, self.program, "c2", builders.completed(), "two"
            )
        self.assertTrue(self.first.leave(5_000))
        self.second.refresh_map()
        found = self.second.program(self.program.program_id)
        self.assertEqual(len(found.messages), 2)

    def test_program_cannot_end_while_its_partition_moves(self):
        """Guards against an end that the receiver never learns of."""
        self.first._state.owned.pause(self.partition)
        with self.assertRaises(errors.BalsamloomError) as caught:
            self.first.end_program(self.program, Code.ACCEPTED)
        self.assertEqual(caught.exception.code, Code.PARTITION_MOVING)
        self.assertFalse(self.program.is_ended)

    def test_leave_with_lost_answers_at_every_store_call(self):
        """Guards against a stop that a lost answer stalls or repeats."""
        for fault in ("lost", "unavailable"):
            for number in range(1, 30):
                with self.subTest(fault=fault, number=number):
                    self.setUp()
                    store = self.world.store_of(self.first)
                    store.fault = builders.fault_on(number, fault, None)
                    self.assertTrue(self.first.leave(30_000))
                    self.second.refresh_map()
                    self.second.maintain()
                    found = self.second.program(self.program.program_id)
                    self.assertEqual(len(found.messages), 1)
                    epochs = self.world.map().owners.values()
                    self.assertEqual({one.epoch for one in epochs}, {2})
                    self.assertEqual(self.world.journal_keys(self.first), [])

    def test_last_member_keeps_its_journal(self):
        """Guards against a stop that deletes the only copy."""
        self.assertTrue(self.second.leave(1_000))
        self.first.refresh_map()
        start_ms = self.world.clock.now_ms()
        self.assertFalse(self.first.leave(60_000))
        self.assertTrue(self.first.has_kept_journal)
        self.assertLess(self.world.clock.now_ms() - start_ms, 1_000)
        self.world.kill(self.first)
        third = self.world.join()
        third.take_over(self.first.member.member_id)
        found = third.program(self.program.program_id)
        self.assertEqual(found.messages[0]["content"], "one")

    def test_unexpected_error_of_a_transfer_holds_nothing(self):
        """Guards against partitions that refuse their calls for ever."""
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

    def test_receiver_that_dies_before_the_map_change(self):
        """Guards against a partition given to a member that is gone."""
        transfer = builders.DirectTransfer.send_partition

        def send_and_die(found, receiver, partition, epoch, records):
            sent = transfer(found, receiver, partition, epoch, records)
            self.world.kill(self.second)
            third.take_over(self.second.member.member_id)
            return sent

        third = self.world.join()
        self.first.refresh_map()
        builders.DirectTransfer.send_partition = send_and_die
        try:
            self.first.rebalance_once()
        finally:
            builders.DirectTransfer.send_partition = transfer
        found = self.world.map()
        self.assertNotIn(
            "m2", {one.member_id for one in found.owners.values()}
        )
        self.assertIsInstance(
            self.first.partition_state(self.partition),
            ownership.ServingState | ownership.RemoteState,
        )

    def test_abandoned_transfer_does_not_come_back(self):
        """Guards against stale copies of programs at a former receiver."""
        epoch = self.first.partition_state(self.partition).epoch + 1
        records = self.first._mover._take_snapshots(self.partition, epoch)
        self.assertTrue(
            self.second.receive_partition("m1", self.partition, epoch, records)
        )
        self.first.end_program(self.program, Code.ACCEPTED)
        self.world.clock.sleep(self.world.settings.result_retention_ms + 1)
        self.first.maintain()
        self.assertTrue(self.first.leave(10_000))
        self.second.refresh_map()
        self.world.kill(self.second)
        third = self.world.join()
        third.take_over("m2")
        with self.assertRaises(errors.BalsamloomError) as caught:
            third.program(self.program.program_id)
        self.assertEqual(caught.exception.code, Code.UNKNOWN_PROGRAM)

    def test_calls_wait_while_a_partition_moves(self):
        """Guards against calls refused for ever, or run in a move."""
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
        self.world = builders.World(
            compaction_min_bytes=5_000, result_retention_ms=1_000
        )
        self.member = self.world.join()
        self.prefix = f"/balsamloom/journal/{self.member.member.member_id}/"

    def run_programs(self, count):
        for _ in range(count):
            program = builders.start(self.member)
            for number in range(4):
                builders.model_call(
                    self.member, program, f"c{number}", "x" * 200
                )
            self.member.end_program(program, Code.ACCEPTED)
            self.world.clock.sleep(1_500)
            self.member.maintain()

    def test_size_follows_the_live_data(self):
        """Guards against a journal that grows without end."""
        kept = builders.start(self.member)
        builders.model_call(self.member, kept, "c1", "keep")
        self.run_programs(10)
        early = self.world.service.size_bytes(self.prefix)
        self.run_programs(60)
        late = self.world.service.size_bytes(self.prefix)
        self.assertLess(late, 3 * early)
        successor = self.world.join()
        self.world.kill(self.member)
        report = successor.take_over(self.member.member.member_id)
        self.assertEqual(report.imported.damaged_programs, 0)
        found = successor.program(kept.program_id)
        self.assertEqual(found.messages, [builders.message("keep")])

    def test_death_between_rewrite_and_delete(self):
        """Guards against compaction that loses or doubles live records."""
        kept = [builders.start(self.member) for _ in range(3)]
        for program in kept:
            builders.model_call(self.member, program, "c1", "keep")
        store = self.world.store_of(self.member)
        store.fault = lambda kind, operations: (
            "crash"
            if any(type(one).__name__ == "Delete" for one in operations)
            else ""
        )
        with self.assertRaises(builders.Crashed):
            self.run_programs(40)
        successor = self.world.join()
        successor.take_over(self.member.member.member_id)
        for program in kept:
            found = successor.program(program.program_id)
            self.assertEqual(found.messages, [builders.message("keep")])

    def test_nothing_is_deleted_before_the_rewrite_is_durable(self):
        """Guards against deletes that overtake their snapshots."""
        kept = builders.start(self.member)
        builders.model_call(self.member, kept, "c1", "keep")
        compactor = self.member._compactor
        store = self.world.store_of(self.member)
        store.fault = lambda kind, operations: "unavailable"
        compactor._rewrites += compactor._recorder.append_snapshot(kept)
        self.assertEqual(compactor.run_once(), 0)
        self.world.kill(self.member)
        successor = self.world.join()
        successor.take_over(self.member.member.member_id)
        found = successor.program(kept.program_id)
        self.assertEqual(found.messages, [builders.message("keep")])

    def test_records_of_dropped_programs_do_not_return(self):
        """Guards against an ended program that is half compacted away."""
        self.run_programs(3)
        content = journal_storage.read(
            self.world.store_of(self.member), self.member.member.member_id
        )
        successor = self.world.join()
        self.world.kill(self.member)
        successor.take_over(self.member.member.member_id)
        for record in content.records:
            found = successor._state.table.get(record.program_id)
            self.assertTrue(found is None or found.is_ended)


if __name__ == "__main__":
    unittest.main()
