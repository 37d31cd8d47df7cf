"""Tests of takeovers, also interrupted, repeated or with damaged data."""

import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import errors, identifiers, results
from balsamloom_platform import store as stores
from balsamloom_state import (
    journal_storage,
    ownership,
    partitions,
    programs,
    records_pb2,
    snapshots,
)

Code = results.ResultCode


class TakeoverTest(unittest.TestCase):
    def setUp(self):
        self.cluster = builders.Cluster()
        self.clock = self.cluster.clock
        self.first = self.cluster.join()
        self.programs = [builders.start(self.first) for _ in range(6)]
        for program in self.programs:
            builders.model_call(self.first, program, "c1", program.program_id)
        self.second = self.cluster.join()
        self.third = self.cluster.join()
        self.dead_id = self.first.member.member_id

    def owner_of(self, program_id, members):
        partition = identifiers.partition_of(program_id)
        owners = [
            member
            for member in members
            if partition in member.owned_partitions()
        ]
        self.assertEqual(len(owners), 1, program_id)
        return owners[0]

    def assert_all_served(self, *members):
        for member in members:
            member.refresh_map()
            member.run_imports()
        for program in self.programs:
            owner = self.owner_of(program.program_id, members)
            found = owner.program(program.program_id)
            texts = [message["content"] for message in found.messages]
            self.assertEqual(texts, [program.program_id])
        self.assertEqual(self.cluster.map().imports, ())

    def test_partitions_are_distributed_and_the_journal_is_deleted(self):
        """Guards against one importer for all partitions and old journals."""
        self.cluster.kill(self.first)
        self.second.take_over(self.dead_id)
        self.third.refresh_map()
        assigned = self.third.map.partitions_of(self.third.member.member_id)
        self.assertTrue(0 < len(assigned) < builders.PARTITION_COUNT)
        self.assertEqual(
            self.third.partition_state(assigned[0]),
            ownership.ImportingState(3),
        )
        self.assertTrue(self.cluster.journal_keys(self.first))
        self.assert_all_served(self.second, self.third)
        self.assertEqual(self.cluster.journal_keys(self.first), [])
        self.assertEqual(self.cluster.map().retired, ())

    def test_death_of_the_importer_at_any_store_call(self):
        """Guards against an interrupted step that no other member resumes."""
        for fault in ("crash", "crash_after", "lost", "unavailable"):
            for number in range(1, 40):
                with self.subTest(fault=fault, number=number):
                    self.setUp()
                    if not self.interrupt(fault, number):
                        break
        self.assertGreater(number, 5)

    def interrupt(self, fault, number):
        """Fail the n-th store call; return false if there are fewer calls."""
        self.cluster.kill(self.first)
        calls = []

        def hook(kind, operations):
            calls.append(kind)
            return fault if len(calls) == number else ""

        store = self.cluster.store_of(self.second)
        store.fault = hook
        survivors = [self.second, self.third]
        try:
            self.second.take_over(self.dead_id)
        except stores.StoreUnavailable:
            self.second.take_over(self.dead_id)
        except builders.ProcessCrash:
            survivors = [self.third]
            self.third.take_over(self.dead_id)
            self.third.take_over(self.second.member.member_id)
        store.fault = lambda kind, operations: ""
        self.assert_all_served(*survivors)
        for member in survivors:
            member.maintain()
        self.assertEqual(self.cluster.journal_keys(self.first), [])
        return len(calls) >= number

    def test_two_members_take_over_at_once(self):
        """Guards against two owners of one partition."""
        self.cluster.kill(self.first)
        store = self.cluster.store_of(self.second)

        def hook(kind, operations):
            if kind == "commit":
                store.fault = lambda kind, operations: ""
                self.third.take_over(self.dead_id)
            return ""

        store.fault = hook
        self.second.take_over(self.dead_id)
        self.assert_all_served(self.second, self.third)
        self.assertEqual(self.cluster.journal_keys(self.first), [])
        epochs = {owner.epoch for owner in self.cluster.map().owners.values()}
        self.assertEqual(epochs, {3})

    def test_takeover_of_an_importer_includes_its_imports(self):
        """Guards against partitions whose importer died before the import."""
        self.cluster.kill(self.first)
        self.second.take_over(self.dead_id)
        self.cluster.kill(self.third)
        self.second.take_over(self.third.member.member_id)
        self.assert_all_served(self.second)
        self.assertEqual(self.cluster.journal_keys(self.first), [])

    def test_importer_serves_only_what_is_durable(self):
        """Guards against serving programs that the importer could lose."""
        self.cluster.kill(self.first)
        self.third.leave(1_000)
        store = self.cluster.store_of(self.second)

        def fail_own_segments(kind, operations):
            keys = [getattr(operation, "key", "") for operation in operations]
            own = f"/journal/{self.second.member.member_id}/"
            return "unavailable" if any(own in key for key in keys) else ""

        store.fault = fail_own_segments
        report = self.second.take_over(self.dead_id)
        self.assertFalse(report.imported.is_complete)
        self.assertEqual(self.second.owned_partitions(), [])
        with self.assertRaises(errors.BalsamloomError) as caught:
            self.second.program(self.programs[0].program_id)
        self.assertEqual(caught.exception.code, Code.PARTITION_MOVING)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        store.fault = lambda kind, operations: ""
        self.clock.sleep(5_000)
        self.assert_all_served(self.second)

    def test_open_claim_is_unknown_and_blocks_from_the_seal(self):
        """Guards against a call that runs twice or out of order."""
        program = self.programs[0]
        with self.first.call_lock(program, 1_000):
            builders.claim(self.first, program, "tool")
        self.third.leave(1_000)
        self.second.refresh_map()
        sealed_ms = self.clock.now_ms()
        report = self.second.take_over(self.dead_id)
        self.assertEqual(report.imported.unknown_calls, 1)
        found = self.second.program(program.program_id)
        call = self.second.result(program.program_id, "tool")
        self.assertEqual(call.code, Code.OUTCOME_UNKNOWN)
        self.assertTrue(call.is_durable)
        window_ms = self.cluster.settings.claim_send_window_ms
        end_ms = sealed_ms + builders.TOOL_TIMEOUT_MS + window_ms
        self.assertAlmostEqual(found.blocked_until_ms, end_ms, delta=500)
        with self.assertRaises(errors.BalsamloomError) as caught:
            builders.model_call(self.second, found, "c2")
        self.assertEqual(caught.exception.code, Code.PREVIOUS_CALL_UNRESOLVED)
        fourth = self.cluster.join()
        self.cluster.kill(self.second)
        fourth.take_over(self.second.member.member_id)
        again = fourth.program(program.program_id)
        self.assertGreaterEqual(again.blocked_until_ms, end_ms)
        self.assertEqual(again.calls["tool"].code, Code.OUTCOME_UNKNOWN)

    def test_deposed_member_joins_again(self):
        """Guards against a process that does not rejoin after a pause."""
        self.second.take_over(self.dead_id)
        self.first.refresh_map()
        self.assertTrue(self.first.is_deposed)
        with self.assertRaises(errors.BalsamloomError) as caught:
            builders.start(self.first)
        self.assertEqual(caught.exception.code, Code.WRONG_OWNER)
        rejoined = self.cluster.join()
        self.assert_all_served(self.second, self.third)
        self.cluster.rebalance(self.second, [rejoined])
        self.assertTrue(rejoined.owned_partitions())

    def test_unfinished_import_does_not_serve_a_later_one(self):
        """Guards against serving a partition that needs a new import."""
        self.cluster.kill(self.first)
        self.third.leave(1_000)
        store = self.cluster.store_of(self.second)

        store.fault = lambda kind, operations: (
            "lost" if self.clears_imports(operations) else ""
        )
        with self.assertRaises(stores.StoreUnavailable):
            self.second.take_over(self.dead_id)
        store.fault = lambda kind, operations: ""
        fourth = self.cluster.join()
        self.cluster.rebalance(self.second, [fourth])
        moved = fourth.owned_partitions()
        program = builders.start(fourth)
        builders.model_call(fourth, program, "c1", program.program_id)
        self.programs.append(program)
        self.cluster.kill(fourth)
        self.second.take_over(fourth.member.member_id)
        self.assertTrue(moved)
        self.assert_all_served(self.second)

    def clears_imports(self, operations):
        for operation in operations:
            if operation.key == partitions.KEY:
                return not partitions.decode(operation.value).imports
        return False

    def test_records_of_an_earlier_ownership_do_not_count(self):
        """Guards against programs that ended while the partition was away."""
        program = self.programs[0]
        partition = identifiers.partition_of(program.program_id)
        self.third.leave(1_000)
        for member in (self.first, self.second):
            member.refresh_map()
        move = self.first._mover.move
        self.first._state.owned.pause(partition)
        self.assertEqual(move({partition: self.second.member}), 1)
        self.second.refresh_map()
        found = self.second.program(program.program_id)
        self.second.end_program(found, Code.ACCEPTED)
        self.clock.sleep(self.cluster.settings.result_retention_ms + 1)
        self.second.maintain()
        self.second._state.owned.pause(partition)
        self.second._mover.move({partition: self.first.member})
        self.first.refresh_map()
        self.assertIn(partition, self.first.owned_partitions())
        self.cluster.kill(self.first)
        self.second.take_over(self.dead_id)
        self.assertIsNone(self.second._state.table.get(program.program_id))

    def test_abandoned_transfer_does_not_hide_later_records(self):
        """Guards against a stale copy on a receiver that becomes importer."""
        programs_by_partition = {}
        while len(programs_by_partition) < builders.PARTITION_COUNT:
            program = builders.start(self.first)
            number = identifiers.partition_of(program.program_id)
            programs_by_partition[number] = program
        for number in programs_by_partition:
            stale = self.first._mover._take_snapshots(number, 2)
            for receiver in (self.second, self.third):
                sent = receiver.receive_partition("m1", number, 2, stale)
                self.assertTrue(sent)
        for program in programs_by_partition.values():
            builders.model_call(self.first, program, "c2", "later")
        self.cluster.kill(self.first)
        fourth = self.cluster.join()
        fourth.take_over(self.dead_id)
        for importer in (self.second, self.third):
            self.cluster.kill(importer)
            fourth.take_over(importer.member.member_id)
        for program in programs_by_partition.values():
            found = fourth.result(program.program_id, "c2")
            self.assertEqual(found.answer, {"text": "later"})

    def test_damaged_segment_ends_only_its_program(self):
        """Guards against lost records that are not detected."""
        victim = self.programs[0]
        builders.model_call(self.first, victim, "c2")
        key = self.cluster.journal_keys(self.first)[-1]
        item = self.cluster.service.items[key]
        value = bytearray(item.value)
        value[value.index(b"\x78\x01") + 6] ^= 1
        self.cluster.service.items[key] = item._replace(value=bytes(value))
        self.third.leave(1_000)
        self.second.refresh_map()
        with self.assertLogs("balsamloom", "ERROR"):
            report = self.second.take_over(self.dead_id)
        self.assertEqual(report.imported.damaged_programs, 1)
        self.assertEqual(self.second.describe()["damaged_segments"], 1)
        found = self.second.program(victim.program_id)
        self.assertEqual(found.end_code, Code.DAMAGED_MESSAGE)
        self.assertEqual(found.calls["c1"].code, Code.COMPLETED)
        self.programs.remove(victim)
        self.assert_all_served(self.second)


class ReplayTest(unittest.TestCase):
    def setUp(self):
        self.cluster = builders.Cluster()
        self.member = self.cluster.join()
        self.program = builders.start(self.member)
        for number in range(5):
            builders.model_call(self.member, self.program, f"c{number}")
        store = self.cluster.store_of(self.member)
        name = self.member.member.member_id
        self.records = journal_storage.read(store, name).records

    def state(self, found):
        return snapshots.take(found, 1, 0)[0].SerializeToString()

    def test_replaying_twice_changes_nothing(self):
        """Guards against records that are applied twice."""
        once = programs.Program(self.program.program_id)
        twice = programs.Program(self.program.program_id)
        for record in self.records:
            self.assertTrue(once.apply(record))
        for record in [*self.records, *self.records[2:], *self.records]:
            twice.apply(record)
        self.assertEqual(self.state(once), self.state(twice))
        self.assertEqual(len(twice.messages), 5)
        self.assertFalse(twice.has_gap)

    def test_record_of_another_program_is_not_applied(self):
        """Guards against a program with the history of another one."""
        other = programs.Program("p000-ffffffffffffffff")
        with self.assertRaises(ValueError):
            other.apply(self.records[0])
        foreign = records_pb2.Record(
            program_id="p001-ffffffffffffffff", version=1, epoch=9
        )
        self.assertFalse(self.member.receive_partition("m9", 0, 9, [foreign]))

    def test_large_snapshot_is_split(self):
        """Guards against programs that exceed the size of a segment."""
        big = programs.Program(self.program.program_id, clocks.Clock())
        for record in self.records:
            big.apply(record)
        big.messages = [builders.message("x" * 1_000) for _ in range(1_500)]
        parts = snapshots.take(big, 1, 0)
        self.assertGreater(len(parts), 2)
        copy = programs.Program(big.program_id)
        self.assertEqual(
            [copy.apply(part) for part in parts],
            [False] * (len(parts) - 1) + [True],
        )
        self.assertEqual(copy.messages, big.messages)


if __name__ == "__main__":
    unittest.main()
