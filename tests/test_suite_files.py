"""Tests of where the files of test suites lie."""

import os
import pathlib
import shutil
import types
import unittest
from unittest import mock

import suite_files

MEMORY = pathlib.Path("/memory")


class FilesTest(unittest.TestCase):
    """Guards against suites that fail because a disk stalls.

    In 5 of 12 CI runs of one review the same code failed on such a disk.
    """

    def find(self, environment=None, free_bytes=1 << 40, may_write=True):
        """Find a directory in memory on a machine."""
        usage = types.SimpleNamespace(free=free_bytes)
        with (
            mock.patch.dict(os.environ, environment or {}, clear=True),
            mock.patch.object(os, "access", lambda path, mode: may_write),
            mock.patch.object(shutil, "disk_usage", lambda path: usage),
        ):
            return suite_files.find_memory_directory()

    def test_files_lie_in_memory_if_there_is_room(self):
        self.assertEqual(self.find(), suite_files.MEMORY_DIRECTORY)
        self.assertIsNone(self.find(free_bytes=1 << 20))
        self.assertIsNone(self.find(may_write=False))
        self.assertIsNone(self.find({"TMPDIR": "/chosen"}))

    def test_suites_about_a_disk_have_their_files_there(self):
        for name, expected in (
            ("gateway 1 of 2", str(MEMORY)),
            ("conversations", None),
            ("state", None),
        ):
            with mock.patch.dict(os.environ, clear=True):
                found = suite_files.environment(name, MEMORY).get("TMPDIR")
                self.assertEqual(found, expected, name)


if __name__ == "__main__":
    unittest.main()
