"""A small deployment for the scripts of the third review.

Roles run as separate processes, with the commands of ``deploy/system.toml``.
The store and the servers are the project's own stand-ins in this process.
Each role reaches the store through a proxy of its own.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import tomllib
import uuid
from typing import Any

from balsamloom_testbed import faults, ports, servers, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
ZONES = ("a", "b", "c")
STORE = "balsamloom/members/storage/"

_SETTINGS = """node-name = "{name}"
role = "{role}"
machine-class = "{role}"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internal-ports = [{peer}, {metrics}]
first-start = {first}
data-dir = "{data}"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = {disk_mb}
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recover-s = 12
pass-ms = 120
retry-after-s = 0
deadline-s = 10
settle-ms = 1000
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class CaseError(Exception):
    """The case could not run."""


class Role:
    """Process of one role on its own machine."""

    def __init__(
        self,
        rig: Rig,
        role: str,
        name: str,
        zone: str,
        memory_mb: int,
        command: list[str],
    ) -> None:
        self.role, self.name, self.zone = role, name, zone
        self.memory_mb = memory_mb
        self.command = command
        self.store_proxy = faults.FaultProxy(rig.store.address)
        self._rig = rig
        self._data = rig.path / f"{name}-data"
        self._data.mkdir()
        self._settings = rig.path / f"{name}.toml"
        self._reserved = ports.PortReservation(5)
        names = ("peer", "metrics", "front", "ready", "directory")
        self.ports = dict(zip(names, self._reserved.ports, strict=True))
        self._is_first = True
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                role=self.role,
                zone=self.zone,
                first="true" if self._is_first else "false",
                data=self._data,
                memory_mb=self.memory_mb,
                disk_mb=260 if self.role == "storage" else 0,
                store=self.store_proxy.address,
                **self.ports,
            )
        )
        self._is_first = False
        kept = ("PATH", "HOME", "LANG", "PYTHONDONTWRITEBYTECODE")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["BALSAMLOOM_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._rig.path / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """End the process as a crash does, unless it has ended."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def wipe(self) -> None:
        """Replace the disk of a process that does not run by an empty one."""
        shutil.rmtree(self._data)
        self._data.mkdir()

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for consumers."""
        return "127.0.0.1", self.ports["front"]

    def is_ready(self) -> bool:
        """Return whether the process answers."""
        port, path = ("ready", "/readyz")
        if self.role == "storage":
            port, path = ("metrics", "/metrics")
        link = http.client.HTTPConnection(
            "127.0.0.1", self.ports[port], timeout=1.0
        )
        try:
            link.request("GET", path)
            return link.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            link.close()

    def log(self) -> list[dict[str, Any]]:
        """Return the events that the process has logged."""
        found = []
        path = self._rig.path / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    def close(self) -> None:
        """End the process and release what it had."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.store_proxy.close()
        self._reserved.release()


class Rig:
    """Store, servers, edge and storage processes, and a record."""

    def __init__(
        self,
        folder: pathlib.Path,
        edges: int = 3,
        storages: int = 3,
        edge_mb: int = 150,
        storage_mb: int = 170,
        store_class: type[store.StoreStandin] = store.StoreStandin,
        appends: bool = False,
    ) -> None:
        self._started_s = time.monotonic()
        mode = "a" if appends else "w"
        self._record = (folder / "record.txt").open(mode)
        self._lock = threading.Lock()
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self.path = pathlib.Path(self._directory.name)
        self.store = store_class()
        self.server_log = servers.ServerLog()
        self.servers: list[servers.ServerStandin] = []
        self._sequence = 0
        self._stopped = threading.Event()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = {k: v["run"].split() for k, v in deploy["roles"].items()}
        self.edges = [
            Role(self, "edge", f"edge-{n}", ZONES[n % 3], edge_mb, run["edge"])
            for n in range(edges)
        ]
        self.storages = [
            Role(
                self,
                "storage",
                f"storage-{n}",
                ZONES[n % 3],
                storage_mb,
                run["storage"],
            )
            for n in range(storages)
        ]

    def note(self, text: str) -> None:
        """Add a line to the record."""
        with self._lock:
            now_s = time.monotonic() - self._started_s
            self._record.write(f"{now_s:8.3f} {text}\n")
            self._record.flush()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def add_server(self, server: servers.ServerStandin) -> None:
        """Register a server and keep its entry fresh."""
        self.servers.append(server)
        self.register(server)

    def register(
        self, server: servers.ServerStandin, state: str = "ready"
    ) -> None:
        """Write a server's entry."""
        self._sequence += 1
        entry = server.record(state, self._sequence)
        self.store.put(f"servers/{server.server_id}", entry)

    def start(self, configuration: dict[str, Any]) -> None:
        """Start all processes and wait until they serve."""
        self.store.put("op/config", json.dumps(configuration).encode())
        threading.Thread(target=self._beat, daemon=True).start()
        for role in (*self.storages, *self.edges):
            role.start()
        self.await_true(
            lambda: all(r.is_ready() for r in (*self.storages, *self.edges)),
            20.0,
            "all processes serve",
        )
        self.await_true(
            lambda: all(
                self.store.get(STORE + r.name) is not None
                for r in self.storages
            ),
            10.0,
            "all storage machines are registered",
        )
        # Traffic starts some seconds after the machines.
        time.sleep(4.0)

    def _beat(self) -> None:
        while not self._stopped.wait(1.2):
            for server in list(self.servers):
                self.register(server)

    def await_true(self, condition: Any, limit_s: float, what: str) -> float:
        """Wait for a condition; return how long it took."""
        begun_s = time.monotonic()
        while not condition():
            if time.monotonic() - begun_s > limit_s:
                raise CaseError(f"not within {limit_s} s: {what}")
            time.sleep(0.02)
        return time.monotonic() - begun_s

    def state_of(self, key: str) -> str:
        """Return the state in an item of the store, empty without one."""
        value = self.store.get(key)
        return "" if value is None else str(json.loads(value)["state"])

    def close(self) -> None:
        """End all processes that were started."""
        self._stopped.set()
        for role in (*self.edges, *self.storages):
            role.close()
        for server in self.servers:
            server.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.path, os.environ["KEEP_LOGS"])
        self._directory.cleanup()
        self._record.close()


def new_id() -> str:
    """Return the id of a consumer attempt."""
    return uuid.uuid4().hex[:16]


class Answer:
    """What a consumer got for one attempt."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, whole: bool
    ) -> None:
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole
        self.signed = "x-balsamloom-server-signature" in headers

    def __str__(self) -> str:
        state = "whole" if self.whole else "broken off"
        return f"{self.status} {state} {len(self.body)} bytes"


def send(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    deadline_ms: int = 4_000,
) -> Answer:
    """Send one request on a new channel, as a consumer does."""
    link = http.client.HTTPConnection(*address, timeout=deadline_ms / 1_000)
    fields = {
        "Host": HOST,
        "X-Balsamloom-Deadline-Ms": str(deadline_ms),
        **headers,
    }
    try:
        link.request(method, path, body or None, fields)
        got = link.getresponse()
        found = {k.lower(): v for k, v in got.getheaders()}
        try:
            data, whole = got.read(), True
        except http.client.IncompleteRead as error:
            data, whole = error.partial, False
        return Answer(got.status, found, data, whole)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {"error": repr(error)}, b"", False)
    finally:
        link.close()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-kind": kind,
        "service": service,
        "timeout-ms": 4_000,
        "target-latency-ms": 250,
        "priority": 0,
        "max-attempts": 1,
        "resumable": False,
        "stateful": False,
        "retention-s": 60,
        **more,
    }


def configuration(
    routes: list[dict[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Return a configuration with an engine and a plain service."""
    engine = {"slots": 48, "kv-capacity": 200_000, "chunk-tokens": 3}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "max-conns": 300, "engine": engine},
            {"name": "desk", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


def encode(value: bytes) -> str:
    """Return bytes as the store's values have them."""
    return base64.b64encode(value).decode()
