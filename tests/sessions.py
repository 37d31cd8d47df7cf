"""Helpers to run console examples from docs/ and compare their output."""

from __future__ import annotations

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
from typing import NamedTuple

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
BIN = pathlib.Path(sys.executable).parent
_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_STATUS = re.compile(r"\(exit status (\d+)\)")
# Values that vary between runs: ids of programs and members, ports, times,
# versions of the map and numbers of partitions.
_VARYING_VALUES = [
    (re.compile(pattern), replacement)
    for pattern, replacement in (
        (r"\bp[0-9a-f]{3}-[0-9a-f]{16}\b", "PROGRAM"),
        (r"(?<=\w-)[0-9a-f]{8}\b", "RUN"),
        (r"\b127\.0\.0\.1:\d+", "ADDRESS"),
        (r"\bport=\d+", "port=PORT"),
        (r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", "TIME"),
        (r"\d+\.\d{3,}", "NUMBER"),
        (r"(?<=map version )\d+", "NUMBER"),
        (r'(?<="map_version":)\d+', "NUMBER"),
        (r'(?<="valid_ms":)\d+', "NUMBER"),
        (r'(?<="partitions":)\d+', "NUMBER"),
        # Last column of the tables of members: MAP or PARTITIONS.
        (r"^(\S+-RUN .*) \d+$", r"\1 NUMBER"),
    )
]
COMMAND_TIMEOUT_S = 30
_END_MARKER = "end of the command's output, status"


class Command(NamedTuple):
    """A command of a page with its expected output and exit status."""

    text: str
    output: str
    status: int


def commands(page):
    """Parse the commands of the console blocks of a page.

    :param page: file name under docs/.
    """
    parsed = []
    text = (DOCS / page).read_text(encoding="utf-8")
    for block in _BLOCK.findall(text):
        for part in re.split(r"^\$ ", block, flags=re.MULTILINE)[1:]:
            first, *rest = part.rstrip("\n").split("\n")
            lines = [first]
            while rest and rest[0].startswith("> "):
                lines.append(rest.pop(0)[2:])
            status = 0
            output = [line for line in rest if line]
            if output and _STATUS.fullmatch(output[-1]):
                status = int(_STATUS.fullmatch(output.pop()).group(1))
            parsed.append(Command("\n".join(lines), "\n".join(output), status))
    return parsed


def normalize(output):
    """Replace values that vary between runs and collapse whitespace.

    :param output: output of a command.
    """
    lines = [_normalize_line(line) for line in output.splitlines()]
    return "\n".join(line for line in lines if line)


def _normalize_line(line):
    for pattern, replacement in _VARYING_VALUES:
        line = pattern.sub(replacement, line)
    return " ".join(line.split())


class Shell:
    """A bash process that runs commands in a temporary directory.

    :param environment: variables to set in addition to the present ones.
    """

    def __init__(self, environment=None):
        self._directory = tempfile.TemporaryDirectory(prefix="balsamloom-")
        self.path = pathlib.Path(self._directory.name)
        variables = {
            **os.environ,
            **(environment or {}),
            "PATH": f"{BIN}:{os.environ['PATH']}",
        }
        self._process = subprocess.Popen(
            ["bash"],
            cwd=self.path,
            env=variables,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def run(self, text):
        """Run a command and return its output and exit status.

        :param text: command.
        :raises RuntimeError: if the shell ended or the command timed out.
        """
        self._process.stdin.write(f'{text}\necho "{_END_MARKER} $?"\n')
        self._process.stdin.flush()
        # An example may wait in a loop for a state that never comes.
        timer = threading.Timer(COMMAND_TIMEOUT_S, self._kill)
        timer.start()
        output = ""
        try:
            for line in self._process.stdout:
                before, marker, status = line.partition(_END_MARKER)
                output += before
                if marker:
                    return output, int(status)
        finally:
            timer.cancel()
        raise RuntimeError(
            f"the shell exited or timed out after {COMMAND_TIMEOUT_S} s"
            f" while running {text!r}: {output}"
        )

    def _child_pids(self):
        tasks = pathlib.Path(f"/proc/{self._process.pid}/task")
        return [
            int(child)
            for path in tasks.glob("*/children")
            for child in path.read_text().split()
        ]

    def replace_curl(self):
        """Define ``curl`` in the shell as ``curl_replacement.py``."""
        script = pathlib.Path(__file__).with_name("curl_replacement.py")
        self.run(f'curl() {{ "{sys.executable}" "{script}" "$@"; }}')

    def _kill(self):
        children = self._child_pids()
        # Kill the shell first, or a loop could start another command.
        self._process.kill()
        for pid in children:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)

    def close(self):
        """Kill the shell and its child processes and delete its directory."""
        self._kill()
        self._process.stdin.close()
        self._process.wait()
        self._process.stdout.close()
        self._directory.cleanup()
