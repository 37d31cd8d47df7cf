"""Reads the log lines of processes from files and folders."""

from __future__ import annotations

import pathlib
from collections.abc import Collection, Iterable, Iterator

from balsamloom_gateway import explain


def read(
    paths: Iterable[pathlib.Path], names: Collection[str]
) -> Iterator[explain.LogLine]:
    """Read the lines of some events from log files and folders of them.

    A file bears the name of its process, unless its lines name theirs.
    """
    for path in paths:
        for file_path in _files(path):
            with file_path.open(encoding="utf-8", errors="replace") as file:
                for line in explain.decode(file_path.stem, file):
                    if line.name in names:
                        yield line


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if not path.is_dir():
        return [path]
    return sorted(found for found in path.iterdir() if found.is_file())
