"""Tests of reading log files of several processes."""

import json
import pathlib
import tempfile
import unittest

import log_builders

from balsamloom_gateway import log_files

OWN_LINE = json.dumps(
    {"asctime": "2026-12-04 10:00:00,250", "name_of_event": "request_ended"}
)


class LogFilesTest(unittest.TestCase):
    """Guards against logs that are passed over without a word."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)

    def write(self, name, *lines):
        """Write a log file and return its path."""
        path = self.path / name
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def read(self, *paths, names=("request_ended", "request_placed")):
        return list(log_files.read(paths, names))

    def test_file_names_the_process_of_its_lines(self):
        (line,) = self.read(self.write("edge-1.log", OWN_LINE, "no json"))
        self.assertEqual(line.source, "edge-1")
        self.assertEqual(line.time_s % 60, 0.25)

    def test_all_files_of_a_folder_are_read(self):
        self.write("edge-1.log", OWN_LINE)
        self.write("edge-2.log", OWN_LINE, OWN_LINE)
        (self.path / "old").mkdir()
        sources = [line.source for line in self.read(self.path)]
        self.assertEqual(sources, ["edge-1", "edge-2", "edge-2"])

    def test_collected_lines_have_their_own_time_and_process(self):
        path = self.write(
            "play.log",
            "built in 3.3 s",
            log_builders.ended(-1.25, "r1", source="edge-1"),
            log_builders.placed(12.5, "r2", source="edge-2"),
            "  12.600 s  request r2 sent to edge-2",
        )
        self.assertEqual(
            [(line.source, line.time_s) for line in self.read(path)],
            [("edge-1", -1.25), ("edge-2", 12.5)],
        )

    def test_collected_lines_that_were_cut_off_are_left_out(self):
        whole = log_builders.ended(1, "r1")
        path = self.write("play.log", whole[:-5], whole)
        self.assertEqual(len(self.read(path)), 1)

    def test_only_lines_of_the_named_events_are_read(self):
        path = self.write("play.log", log_builders.ended(1, "r1"))
        self.assertEqual(self.read(path, names=("request_placed",)), [])


if __name__ == "__main__":
    unittest.main()
