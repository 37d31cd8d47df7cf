"""Tests of turns on a disk that loses power, tears writes and fills up."""

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

from balsamloom_conversations import check, database, group_commit, turns

LOG_FILE = database.FILE_NAME + "-wal"


class DatabaseCase(unittest.TestCase):
    """Test case with a folder and a clock."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.clock = builders.manual_clock()

    def open(self, path=None, disk_bytes=None):
        store = database.TurnDatabase(
            path or self.path, self.clock, disk_bytes
        )
        self.addCleanup(store.close)
        return store

    def copy(self, name):
        """Copy the folder, as a loss of power would leave it."""
        copied = self.path.with_name(f"{self.path.name}-{name}")
        shutil.copytree(self.path, copied, dirs_exist_ok=True)
        self.addCleanup(shutil.rmtree, copied, True)
        return copied


class ChainTest(DatabaseCase):
    """Guards against conversations that are joined wrongly."""

    def test_chain_holds_inputs_and_outputs_from_the_first_turn_on(self):
        store = self.open()
        found = builders.chain(5)
        store.add(found)
        self.assertEqual(
            store.chain("g1-4"), turns.Chain("g1", builders.joined(found))
        )
        self.assertEqual(
            store.chain("g1-1"), turns.Chain("g1", builders.joined(found[:2]))
        )

    def test_several_turns_may_continue_the_same_one(self):
        store = self.open()
        first = builders.turn("a")
        store.add([first])
        for name in ("b", "c"):
            turn = builders.turn(name, "a")
            store.add([turn])
            self.assertEqual(
                store.chain(name).data, builders.joined([first, turn])
            )

    def test_missing_turns(self):
        store = self.open()
        _, *rest = builders.chain(3)
        store.add(rest)
        self.assertEqual(store.chain("other"), turns.Absent())
        self.assertIsInstance(store.chain("g1-2"), turns.Unsure)

    def test_turns_that_name_each_other_end(self):
        store = self.open()
        store.add([builders.turn("a", "b"), builders.turn("b", "a")])
        self.assertIsInstance(store.chain("a"), turns.Unsure)

    def test_turn_that_is_there_stays_as_it_is(self):
        store = self.open()
        store.add([builders.turn("a")])
        store.add([builders.turn("a", sent=b"other")])
        self.assertEqual(store.chain("a").data, b"<aa>\n")


class PowerLossTest(DatabaseCase):
    """Guards against synced turns that are gone and halves that are read."""

    TURNS = 6

    def write(self):
        """Write turns and return the size of the log after each sync."""
        store = self.open()
        sizes = []
        for turn in builders.chain(self.TURNS):
            store.add([turn])
            sizes.append((self.path / LOG_FILE).stat().st_size)
        return sizes

    def check_synced(self, path, count):
        store = database.TurnDatabase(path, self.clock)
        expected = builders.chain(self.TURNS)
        for number, turn in enumerate(expected):
            found = store.chain(turn.turn_id)
            if number < count or isinstance(found, turns.Chain):
                self.assertEqual(
                    found.data, builders.joined(expected[: number + 1])
                )
        self.assertEqual(store.find_damaged(), [])
        # It goes on taking turns.
        store.add([builders.turn("later")])
        self.assertEqual(store.chain("later").data, b"<laterlater>\n")
        store.close()

    def test_log_that_ends_anywhere(self):
        sizes = self.write()
        step = 499
        for size in range(sizes[0], sizes[-1], step):
            with self.subTest(size):
                copied = self.copy("cut")
                os.truncate(copied / LOG_FILE, size)
                synced = sum(known <= size for known in sizes)
                self.check_synced(copied, synced)

    def test_writes_after_the_last_sync_are_torn_or_left_out(self):
        sizes = self.write()
        generator = random.Random(7)
        for number in range(60):
            with self.subTest(number):
                copied = self.copy("torn")
                synced = generator.randrange(1, self.TURNS)
                data = bytearray((copied / LOG_FILE).read_bytes())
                self.tear(data, sizes[synced - 1], generator)
                (copied / LOG_FILE).write_bytes(data)
                self.check_synced(copied, synced)

    @staticmethod
    def tear(data, start, generator):
        """Leave out or damage sectors behind a place."""
        for place in range(start, len(data), 512):
            end = min(place + 512, len(data))
            match generator.randrange(3):
                case 0:
                    data[place:end] = bytes(end - place)
                case 1:
                    data[place:end] = generator.randbytes(end - place)

    def test_journal_of_the_first_start_may_return(self):
        # Its removal needs a sync of the folder to last.
        self.write()
        for content in (b"", b"\0" * 512, random.Random(1).randbytes(1024)):
            with self.subTest(len(content)):
                copied = self.copy("journal")
                journal = copied / (database.FILE_NAME + "-journal")
                journal.write_bytes(content)
                self.check_synced(copied, self.TURNS)

    def test_disk_that_comes_back_empty_has_another_identifier(self):
        first = self.open()
        self.assertTrue(first.is_new)
        copied = self.copy("same")
        again = self.open(copied)
        self.assertFalse(again.is_new)
        self.assertEqual(again.disk_id, first.disk_id)
        empty = self.path / "empty"
        empty.mkdir()
        self.assertNotEqual(self.open(empty).disk_id, first.disk_id)


class ExpiryTest(DatabaseCase):
    """Guards against turns that are dropped early or never."""

    def test_chain_lives_as_long_as_its_last_turn(self):
        store = self.open()
        first, second = builders.chain(2)
        store.add([first])
        self.clock.advance(50_000.0)
        store.add([second])
        self.clock.advance(59_000.0)
        self.assertEqual(store.expire(), 0)
        self.assertIsInstance(store.chain("g1-1"), turns.Chain)
        self.clock.advance(1_000.0 + database.RETENTION_MARGIN_MS + 1)
        self.assertEqual(store.expire(), 2)
        self.assertEqual(store.chain("g1-1"), turns.Absent())
        self.assertEqual(store.counts().turns, 0)

    def test_time_in_which_no_process_runs_does_not_count(self):
        store = self.open()
        store.add([builders.turn("a")])
        copied = self.copy("down")
        self.clock.advance(10 * builders.RETENTION_MS)
        again = self.open(copied)
        self.assertEqual(again.expire(), 0)
        self.assertIsInstance(again.chain("a"), turns.Chain)

    def test_copy_keeps_the_time_that_is_left(self):
        store = self.open()
        store.add([builders.turn("a")])
        self.clock.advance(40_000.0)
        (copied,) = store.read(["a"])
        self.assertAlmostEqual(copied.retention_ms, 20_000.0)

    def test_space_is_given_back(self):
        store = self.open()
        for number in range(50):
            turn = builders.turn(f"t{number}", sent=b"x" * 20_000)
            store.add([turn])
        full = store.counts().size_bytes
        self.clock.advance(2 * builders.RETENTION_MS)
        store.expire()
        self.assertLess(store.counts().size_bytes, full / 4)


class FullDiskTest(DatabaseCase):
    """Guards against a full disk that damages what is there."""

    def test_writes_are_refused_and_go_on_after_expiry(self):
        store = self.open(disk_bytes=1_000_000)
        kept = []
        with self.assertRaises(database.DatabaseError):
            for number in range(200):
                turn = builders.turn(
                    f"t{number}", group_id=f"g{number}", sent=b"x" * 9_000
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
    """Guards against damaged turns that are handed out."""

    def damage(self, store, turn_id):
        store._connection.execute(
            "UPDATE turns SET output = 'x' WHERE turn_id = ?", (turn_id,)
        )

    def test_damaged_turn_is_not_handed_out_and_dropped(self):
        store = self.open()
        store.add(builders.chain(3))
        self.damage(store, "g1-1")
        self.assertEqual(store.find_damaged(), ["g1-1"])
        for name in ("g1-1", "g1-2"):
            self.assertIsInstance(store.chain(name), turns.Unsure)
        self.assertEqual(store.read(["g1-1"]), [])
        self.assertEqual(store.drop_damaged(), ["g1-1"])
        self.assertEqual(store.find_missing(["g1-0", "g1-1"]), ["g1-1"])
        store.add(builders.chain(3))
        self.assertIsInstance(store.chain("g1-2"), turns.Chain)

    def test_checker_names_damage_and_gaps(self):
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

    def test_checker_of_a_sound_folder(self):
        store = self.open()
        store.add(builders.chain(3))
        store.close()
        result = testing.CliRunner().invoke(check.main, [str(self.path)])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("3 turns of 1 groups", result.output)

    def test_checker_wants_a_folder_with_turns(self):
        result = testing.CliRunner().invoke(check.main, [str(self.path)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn(database.FILE_NAME, result.output)


class GroupCommitTest(unittest.TestCase):
    """Guards against writes that wait for a sync each, or are lost."""

    def setUp(self):
        self.batches = []
        self.error = None
        self.release = threading.Event()
        self.release.set()
        self.begun = threading.Event()
        self.commits = group_commit.GroupCommit(
            self.add, builders.clocks.Clock()
        )
        threading.Thread(target=self.commits.run, daemon=True).start()
        self.addCleanup(self.commits.stop)

    def add(self, found):
        self.begun.set()
        self.release.wait(5)
        if self.error:
            raise database.DatabaseError(self.error)
        self.batches.append([turn.turn_id for turn in found])

    def write(self, name):
        self.commits.write([builders.turn(name)], 5_000.0)

    def test_turns_that_wait_share_a_commit(self):
        self.release.clear()
        writers = [
            threading.Thread(target=self.write, args=(f"t{number}",))
            for number in range(20)
        ]
        # The first turn is being written before the others come: the thread
        # takes all that waits when it wakes.
        writers[0].start()
        self.assertTrue(self.begun.wait(5))
        for writer in writers[1:]:
            writer.start()
        until_s = time.monotonic() + 5
        while len(self.commits._queue) < 19 and time.monotonic() < until_s:
            time.sleep(0.005)
        self.release.set()
        for writer in writers:
            writer.join(5)
        self.assertEqual(sum(map(len, self.batches)), 20)
        self.assertEqual(len(self.batches), 2)

    def test_refused_write_is_told(self):
        self.error = "disk full"
        with self.assertRaisesRegex(group_commit.TurnWriteError, "disk full"):
            self.write("t")

    def test_slow_disk_is_not_waited_for(self):
        self.release.clear()
        with self.assertRaises(group_commit.TurnWriteError):
            self.commits.write([builders.turn()], 20.0)
        self.release.set()

    def test_nothing_is_taken_after_the_stop(self):
        self.commits.stop()
        with self.assertRaises(group_commit.TurnWriteError):
            self.write("t")


if __name__ == "__main__":
    unittest.main()
