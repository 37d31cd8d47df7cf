"""Child processes for tests and demonstrations."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from typing import Any

import urllib3

STOP_TIMEOUT_S = 10
REQUEST_TIMEOUT_S = 10
COMMANDS = pathlib.Path(sys.executable).parent


class Process:
    """A child process that prints its address as JSON when it starts.

    :param name: name for error messages.
    :param command: program and arguments.
    :param log_path: file for standard error.
    """

    def __init__(
        self, name: str, command: Sequence[str], log_path: pathlib.Path
    ) -> None:
        self.name = name
        self.log_path = log_path
        with log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=log, text=True
            )
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            detail = log_path.read_text(encoding="utf-8")[-2000:]
            raise RuntimeError(f"{name} did not start: {detail}")
        self.address: str = json.loads(line)["address"]

    @property
    def pid(self) -> int:
        """Return the process identifier."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def request(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Any:
        """Send a request and return the decoded JSON of the response.

        :param method: HTTP method.
        :param path: path, with the query if there is one.
        :param body: JSON body.
        :raises RuntimeError: if the status is not 200.
        """
        url = f"http://{self.address}{path}"
        with urllib3.PoolManager(retries=False) as pool:
            response = pool.request(
                method, url, json=body, timeout=REQUEST_TIMEOUT_S
            )
        if response.status != 200:
            detail = response.data[:200]
            message = f"{self.name}: {path}: {response.status} {detail!r}"
            raise RuntimeError(message)
        return response.json()

    def kill(self) -> None:
        """Kill the process without a shutdown, as in a crash."""
        self._process.kill()
        self._process.wait()

    def pause(self) -> None:
        """Suspend the process with ``SIGSTOP``."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown without waiting for it."""
        self._process.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit status."""
        return self._process.wait(timeout_s)

    def remaining_output(self) -> str:
        """Return the standard output of an ended process after its address."""
        assert self._process.stdout is not None
        return self._process.stdout.read()

    def stop(self) -> None:
        """Request a graceful shutdown, and kill after a timeout."""
        if self.is_running:
            self._process.terminate()
            try:
                self._process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.kill()


class Fleet:
    """Context manager for the processes of one test or demonstration."""

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="balsamloom-")
        self.path = pathlib.Path(self._directory.name)
        self.processes: list[Process] = []
        self._is_stopped = False

    def __enter__(self) -> Fleet:
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every process."""
        self.stop()

    def standin(self, kind: str, *options: str, **named: object) -> Process:
        """Start a stand-in.

        :param kind: subcommand of ``balsamloom-standin``.
        :param options: command-line options.
        :param named: options by name: ``token_ms=2`` is ``--token-ms 2``.
        """
        command = [str(COMMANDS / "balsamloom-standin"), kind, *options]
        for name, value in named.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        return self._start(f"{kind}-{len(self.processes)}", command)

    def entry(self, name: str, settings: dict[str, Any]) -> Process:
        """Start an entry process.

        :param name: name of the entry process.
        :param settings: settings other than the name.
        """
        path = self.path / f"{name}.json"
        document = {
            "name": name,
            "http_address": "127.0.0.1:0",
            **settings,
        }
        path.write_text(json.dumps(document), encoding="utf-8")
        command = [str(COMMANDS / "balsamloom-entry"), "--settings", str(path)]
        return self._start(name, command)

    def stop(self) -> None:
        """Kill every process and remove the files.

        A process that another thread is starting is killed as well.
        """
        self._is_stopped = True
        for process in self.processes:
            if process.is_running:
                process.kill()
        self._directory.cleanup()

    def _start(self, name: str, command: Sequence[str]) -> Process:
        process = Process(name, command, self.path / f"{name}.log")
        self.processes.append(process)
        if self._is_stopped:
            process.kill()
            raise RuntimeError(f"{name}: the fleet was stopped during start")
        return process
