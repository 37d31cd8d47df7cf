"""Where the files of test suites lie.

Files of suites that are not about a disk lie in memory, since a disk that
stalls delays each deletion and sync.
"""

from __future__ import annotations

import os
import pathlib
import shutil

# Suites about losses of power, torn writes and full disks.
DISK_SUITES = ("conversations", "state")
MEMORY_DIRECTORY = pathlib.Path("/dev/shm")
# Files of all suites that run at a time, with some room.
MEMORY_FILES_BYTES = 2_000_000_000


def find_memory_directory() -> pathlib.Path | None:
    """Return a directory in memory for files of tests; ``None`` if none fits.

    A directory that the caller chose for temporary files is left as it is.
    """
    if "TMPDIR" in os.environ or not os.access(MEMORY_DIRECTORY, os.W_OK):
        return None
    if shutil.disk_usage(MEMORY_DIRECTORY).free < MEMORY_FILES_BYTES:
        return None
    return MEMORY_DIRECTORY


def environment(name: str, directory: pathlib.Path | None) -> dict[str, str]:
    """Return the environment of a suite.

    :param directory: where files of suites lie that are not about a disk.
    """
    if directory is None or name.partition(" ")[0] in DISK_SUITES:
        return dict(os.environ)
    return {**os.environ, "TMPDIR": str(directory)}
