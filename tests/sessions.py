"""Runs the sessions on a page under docs/ and compares what they print."""

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
COMMANDS = pathlib.Path(sys.executable).parent
_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_STATUS = re.compile(r"\(exit status (\d+)\)")
# What differs from run to run: identifiers of programs and members, ports,
# times, versions of the map and numbers of partitions.
_VARYING = [
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
_END = "end of the command's output, status"


class Command(NamedTuple):
    """One command of a page with the output and status that it shows."""

    text: str
    output: str
    status: int


def commands(page):
    """Return the commands of a page's console blocks.

    :param page: file name under docs/.
    """
    found = []
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
            found.append(Command("\n".join(lines), "\n".join(output), status))
    return found


def comparable(output):
    """Return output without what differs from run to run.

    :param output: output of a command.
    """
    lines = [_without_varying(line) for line in output.splitlines()]
    return "\n".join(line for line in lines if line)


def _without_varying(line):
    for pattern, replacement in _VARYING:
        line = pattern.sub(replacement, line)
    return " ".join(line.split())


class Shell:
    """A shell in a directory of its own that runs command after command."""

    def __init__(self, environment=None):
        self._directory = tempfile.TemporaryDirectory(prefix="balsamloom-")
        self.path = pathlib.Path(self._directory.name)
        variables = {
            **os.environ,
            **(environment or {}),
            "PATH": f"{COMMANDS}:{os.environ['PATH']}",
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
        """Run a command and return its output and status.

        :param text: command.
        """
        self._process.stdin.write(f'{text}\necho "{_END} $?"\n')
        self._process.stdin.flush()
        # A loop on a page that waits for something must not wait forever.
        timer = threading.Timer(COMMAND_TIMEOUT_S, self._end)
        timer.start()
        output = ""
        try:
            for line in self._process.stdout:
                before, is_end, status = line.partition(_END)
                output += before
                if is_end:
                    return output, int(status)
        finally:
            timer.cancel()
        raise RuntimeError(
            f"the shell ended, or did not answer for {COMMAND_TIMEOUT_S} s,"
            f" at {text!r}: {output}"
        )

    def _children(self):
        tasks = pathlib.Path(f"/proc/{self._process.pid}/task")
        return [
            int(child)
            for path in tasks.glob("*/children")
            for child in path.read_text().split()
        ]

    def replace_curl(self):
        """Let the command ``curl`` name a replacement in Python."""
        script = pathlib.Path(__file__).with_name("curl_replacement.py")
        self.run(f'curl() {{ "{sys.executable}" "{script}" "$@"; }}')

    def _end(self):
        children = self._children()
        # The shell first, so that a loop starts no further command.
        self._process.kill()
        for child in children:
            with contextlib.suppress(ProcessLookupError):
                os.kill(child, signal.SIGKILL)

    def close(self):
        """End the shell and every process that it started."""
        self._end()
        self._process.stdin.close()
        self._process.wait()
        self._process.stdout.close()
        self._directory.cleanup()
