"""Tests of the turn database after power loss, torn writes and a full disk."""

import os
import pathlib
import random
import shutil
import tempfile
import threading
import time
import unittest

import builders
from click import testing

from balsamloom_conversations import (
    check,
    completeness,
    database,
    group_commit,
    turns,
    turns_table,
)

WAL_FILE = database.FILE_NAME + "-wal"


class DatabaseCase(unittest.TestCase):
    """Test case with a directory and a clock."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.clock = builders.manual_clock()

    def open(self, path=None, disk_bytes=None, is_first_start=False):
        store = database.TurnDatabase(
            path or self.path, self.clock, disk_bytes, is_first_start
        )
        self.addCleanup(store.close)
        return store

    def copy(self, name):
        """Copy the directory as a power loss would leave it."""
        copied = self.path.with_name(f"{self.path.name}-{name}")
        shutil.copytree(self.path, copied, dirs_exist_ok=True)
        self.addCleanup(shutil.rmtree, copied, True)
        return copied


class ChainTest(DatabaseCase):
    """Guards against assembling a chain from the wrong turns."""

    def test_chain_holds_inputs_and_outputs_from_the_first_turn_on(self):
        store = self.open()
        found = builders.chain(5)
        store.add(found)
        self.assertEqual(
            store.chain("g1-4"), turns.Chain("g1", builders.chain_data(found))
        )
        self.assertEqual(
            store.chain("g1-1"),
            turns.Chain("g1", builders.chain_data(found[:2])),
        )

    def test_several_turns_may_continue_the_same_one(self):
        store = self.open()
        first = builders.turn("a")
        store.add([first])
        for name in ("b", "c"):
            turn = builders.turn(name, "a")
            store.add([turn])
            self.assertEqual(
                store.chain(name).data, builders.chain_data([first, turn])
            )

    def test_missing_turn_is_absent_and_gap_is_named(self):
        store = self.open()
        _, *rest = builders.chain(3)
        store.add(rest)
        self.assertEqual(store.chain("other"), turns.Absent())
        self.assertEqual(
            store.chain("g1-2"),
            turns.ChainEnd("g1", builders.chain_data(rest), "g1-0"),
        )

    def test_loop_in_a_chain_is_unsure(self):
        store = self.open()
        store.add([builders.turn("a", "b"), builders.turn("b", "a")])
        self.assertIsInstance(store.chain("a"), turns.Unsure)

    def test_stored_turn_is_not_overwritten(self):
        store = self.open()
        store.add([builders.turn("a")])
        store.add([builders.turn("a", turn_input=b"other")])
        self.assertEqual(store.chain("a").data, b"<aa>\n")


class PowerLossTest(DatabaseCase):
    """Guards against losing synced turns and reading torn ones."""

    TURNS = 6

    def write(self):
        """Write turns and return the size of the WAL after each sync."""
        store = self.open()
        sizes = []
        for turn in builders.chain(self.TURNS):
            store.add([turn])
            sizes.append((self.path / WAL_FILE).stat().st_size)
        return sizes

    def check_synced(self, path, count):
        store = database.TurnDatabase(path, self.clock)
        expected = builders.chain(self.TURNS)
        for number, turn in enumerate(expected):
            found = store.chain(turn.turn_id)
            if number < count or isinstance(found, turns.Chain):
                self.assertEqual(
                    found.data, builders.chain_data(expected[: number + 1])
                )
        self.assertEqual(store.find_damaged(), [])
        # The database still accepts turns.
        store.add([builders.turn("later")])
        self.assertEqual(store.chain("later").data, b"<laterlater>\n")
        store.close()

    def test_truncated_wal(self):
        sizes = self.write()
        step = 499
        for size in range(sizes[0], sizes[-1], step):
            with self.subTest(size):
                copied = self.copy("cut")
                os.truncate(copied / WAL_FILE, size)
                synced = sum(known <= size for known in sizes)
                self.check_synced(copied, synced)

    def test_unsynced_writes_torn_or_omitted(self):
        sizes = self.write()
        generator = random.Random(7)
        for number in range(60):
            with self.subTest(number):
                copied = self.copy("torn")
                synced = generator.randrange(1, self.TURNS)
                data = bytearray((copied / WAL_FILE).read_bytes())
                self.tear(data, sizes[synced - 1], generator)
                (copied / WAL_FILE).write_bytes(data)
                self.check_synced(copied, synced)

    @staticmethod
    def tear(data, start, generator):
        """Omit or corrupt sectors after an offset."""
        for offset in range(start, len(data), 512):
            end = min(offset + 512, len(data))
            match generator.randrange(3):
                case 0:
                    data[offset:end] = bytes(end - offset)
                case 1:
                    data[offset:end] = generator.randbytes(end - offset)

    def test_rollback_journal_of_the_first_start_reappears(self):
        # Its removal is durable only after a sync of the directory.
        self.write()
        for content in (b"", b"\0" * 512, random.Random(1).randbytes(1024)):
            with self.subTest(len(content)):
                copied = self.copy("journal")
                journal = copied / (database.FILE_NAME + "-journal")
                journal.write_bytes(content)
                self.check_synced(copied, self.TURNS)

    def test_empty_disk_gets_a_new_identifier(self):
        first = self.open()
        copied = self.copy("same")
        again = self.open(copied)
        self.assertEqual(again.disk_id, first.disk_id)
        empty = self.path / "empty"
        empty.mkdir()
        self.assertNotEqual(self.open(empty).disk_id, first.disk_id)

    def test_claim_is_that_of_the_disk_at_each_start(self):
        # An emptied disk said at its second start that it lacks nothing.
        for is_first_start in (True, False):
            with self.subTest(is_first_start):
                directory = self.path / str(is_first_start)
                directory.mkdir()
                for later in (False, True):
                    store = self.open(
                        directory, is_first_start=is_first_start and not later
                    )
                    self.assertEqual(store.claim.has_turns, is_first_start)
                    self.assertEqual(store.claim.has_usage, is_first_start)
                    store.close()

    def test_claim_is_taken_back_with_the_deletion_of_damaged_turns(self):
        # A restart before the next round brought the claim back.
        store = self.open(is_first_start=True)
        claim = store.claim._replace(replaced_hosts=frozenset("d"))
        self.assertTrue(store.set_claim(claim))
        store.add([builders.turn()])
        store._connection.execute("UPDATE turns SET output = x'00'")
        store.chain("t1")
        store.delete_damaged()
        for found in (store, self.open(self.copy("after"))):
            self.assertEqual(found.claim, completeness.NOTHING.after_loss())
        # A round that began before the loss has no say.
        self.assertFalse(store.set_claim(claim))

    def test_fences_are_those_of_the_disk_at_each_start(self):
        store = self.open()
        store.set_fence("a", frozenset("d"))
        again = self.open(self.copy("later"))
        self.assertEqual(again.fences.of("a"), frozenset("d"))
        # A new disk lacks those of the disk before.
        self.assertFalse(again.fences.is_complete)
        known = completeness.Fences(True, {"b": frozenset("c")})
        again.complete_fences([known])
        self.assertTrue(again.fences.is_complete)
        self.assertEqual(again.fences.hosts("x"), frozenset("cd"))

    def test_disk_of_an_earlier_release_claims_nothing(self):
        store = self.open(is_first_start=True)
        store._connection.execute("DELETE FROM facts WHERE name = 'claim'")
        again = self.open(self.copy("later"))
        self.assertEqual(again.claim, completeness.NOTHING)


class ExpiryTest(DatabaseCase):
    """Guards against turns that expire early or never."""

    def test_chain_expires_with_its_last_turn(self):
        store = self.open()
        first, second = builders.chain(2)
        store.add([first])
        self.clock.advance(50_000.0)
        store.add([second])
        self.clock.advance(59_000.0)
        self.assertEqual(store.expire(), 0)
        self.assertIsInstance(store.chain("g1-1"), turns.Chain)
        self.clock.advance(1_000.0 + turns_table.RETENTION_MARGIN_MS + 1)
        self.assertEqual(store.expire(), 2)
        self.assertEqual(store.chain("g1-1"), turns.Absent())
        self.assertEqual(store.counts().turns, 0)

    def test_retention_is_paused_while_no_process_runs(self):
        store = self.open()
        store.add([builders.turn("a")])
        copied = self.copy("down")
        self.clock.advance(10 * builders.RETENTION_MS)
        again = self.open(copied)
        self.assertEqual(again.expire(), 0)
        self.assertIsInstance(again.chain("a"), turns.Chain)

    def test_read_turn_has_the_remaining_retention(self):
        store = self.open()
        store.add([builders.turn("a")])
        self.clock.advance(40_000.0)
        (copied,) = store.read(["a"])
        self.assertAlmostEqual(copied.retention_ms, 20_000.0)

    def test_expiry_frees_disk_space(self):
        store = self.open()
        for number in range(50):
            turn = builders.turn(f"t{number}", turn_input=b"x" * 20_000)
            store.add([turn])
        full = store.counts().size_bytes
        self.clock.advance(2 * builders.RETENTION_MS)
        store.expire()
        self.assertLess(store.counts().size_bytes, full / 4)


class FullDiskTest(DatabaseCase):
    """Guards against a full disk that damages stored turns."""

    def test_writes_fail_on_a_full_disk_and_resume_after_expiry(self):
        store = self.open(disk_bytes=1_000_000)
        kept = []
        with self.assertRaises(database.DatabaseError):
            for number in range(200):
                turn = builders.turn(
                    f"t{number}",
                    group_id=f"g{number}",
                    turn_input=b"x" * 9_000,
                )
                store.add([turn])
                kept.append(turn)
        self.assertGreater(len(kept), 10)
        for turn in kept:
            self.assertIsInstance(store.chain(turn.turn_id), turns.Chain)
        self.clock.advance(2 * builders.RETENTION_MS)
        self.assertEqual(store.expire(), len(kept))
        store.add([builders.turn("after")])
        self.assertIsInstance(store.chain("after"), turns.Chain)


class DamageTest(DatabaseCase):
    """Guards against returning damaged turns."""

    def damage(self, store, turn_id):
        store._connection.execute(
            "UPDATE turns SET output = 'x' WHERE turn_id = ?", (turn_id,)
        )

    def test_damaged_turn_is_not_returned_and_can_be_deleted(self):
        store = self.open()
        store.add(builders.chain(3))
        self.damage(store, "g1-1")
        self.assertEqual(store.find_damaged(), ["g1-1"])
        self.assertIsInstance(store.chain("g1-1"), turns.Unsure)
        self.assertEqual(
            store.chain("g1-2"),
            turns.ChainEnd("g1", b"<g1-2g1-2>\n", "g1-1"),
        )
        self.assertEqual(store.read(["g1-1"]), [])
        self.assertEqual(store.delete_damaged(), ["g1-1"])
        self.assertEqual(store.find_missing(["g1-0", "g1-1"]), ["g1-1"])
        store.add(builders.chain(3))
        self.assertIsInstance(store.chain("g1-2"), turns.Chain)

    def test_check_command_reports_damage_and_gaps(self):
        store = self.open()
        store.add(builders.chain(3))
        store.add([builders.turn("lost", "nowhere", "g2")])
        self.damage(store, "g1-1")
        store.close()
        result = testing.CliRunner().invoke(check.main, [str(self.path)])
        self.assertEqual(result.exit_code, 1, result.output)
        self.assertIn("damaged: g1-1", result.output)
        self.assertIn("gap: lost: turn nowhere is missing", result.output)
        self.assertIn("1 damaged, 3 chains with a gap", result.output)

    def test_check_command_accepts_an_intact_directory(self):
        store = self.open()
        store.add(builders.chain(3))
        store.close()
        result = testing.CliRunner().invoke(check.main, [str(self.path)])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("3 turns of 1 groups", result.output)

    def test_check_command_rejects_a_directory_without_database(self):
        result = testing.CliRunner().invoke(check.main, [str(self.path)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn(database.FILE_NAME, result.output)


class GroupCommitTest(unittest.TestCase):
    """Guards against one sync per write, and against lost writes."""

    def setUp(self):
        self.batches = []
        self.error = None
        self.may_finish = threading.Event()
        self.may_finish.set()
        self.add_started = threading.Event()
        self.commits = group_commit.GroupCommit(
            self.add, builders.clocks.Clock()
        )
        threading.Thread(target=self.commits.run, daemon=True).start()
        self.addCleanup(self.commits.stop)

    def add(self, found):
        self.add_started.set()
        self.may_finish.wait(5)
        if self.error:
            raise database.DatabaseError(self.error)
        self.batches.append(found)

    def write(self, name, size_bytes=1):
        turn = builders.turn(name)._replace(input=b"x" * size_bytes)
        self.commits.write([turn], 5_000.0)

    def write_at_once(self, count, size_bytes):
        """Write a turn, and queue the others until it is written."""
        self.may_finish.clear()
        writers = [
            threading.Thread(
                target=self.write, args=(f"t{number}", size_bytes)
            )
            for number in range(count)
        ]
        writers[0].start()
        self.assertTrue(self.add_started.wait(5))
        for writer in writers[1:]:
            writer.start()
        until_s = time.monotonic() + 5
        while len(self.commits._queue) < count - 1:
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.005)
        self.may_finish.set()
        for writer in writers:
            writer.join(5)
        self.assertEqual(sum(map(len, self.batches)), count)

    def test_waiting_turns_share_a_commit(self):
        self.write_at_once(20, size_bytes=1)
        self.assertEqual(len(self.batches), 2)

    def test_commits_are_bounded_in_bytes(self):
        """Guards against commits that delay small turns by their size."""
        self.write_at_once(10, size_bytes=1_500_000)
        for batch in self.batches:
            size_bytes = sum(turn.size_bytes for turn in batch)
            self.assertLessEqual(size_bytes, group_commit.MAX_COMMIT_BYTES)

    def test_database_error_reaches_the_writer(self):
        self.error = "disk full"
        with self.assertRaisesRegex(
            group_commit.RecordWriteError, "disk full"
        ):
            self.write("t")

    def test_write_times_out_on_a_slow_disk(self):
        self.may_finish.clear()
        with self.assertRaises(group_commit.RecordWriteError):
            self.commits.write([builders.turn()], 20.0)
        self.may_finish.set()

    def test_write_fails_after_stop(self):
        self.commits.stop()
        with self.assertRaises(group_commit.RecordWriteError):
            self.write("t")


if __name__ == "__main__":
    unittest.main()
