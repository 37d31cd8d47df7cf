"""Stand-ins and process control for the review's scripts (standard library).

The store, the backend servers and the clients follow the users' pages. All of
them listen on or connect to loopback addresses.
"""

from __future__ import annotations

import base64
import bisect
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
import uuid
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "review.example"
ZONES = ("a", "b", "c")
LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 25.0
CAN_NOT_RUN = 2


def has_trouble() -> bool:
    """Return whether the script injects the disruption of its case."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._file = (directory / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        passed_s = time.monotonic() - self._started_s
        with self._lock:
            self._file.write(f"{passed_s:8.3f} {text}\n")
            self._file.flush()


class PortPool:
    """Free ports below the kernel's range for outgoing connections."""

    def __init__(self) -> None:
        self._used: set[int] = set()

    def take(self, count: int) -> list[int]:
        """Return ``count`` free ports in increasing order."""
        found: list[int] = []
        while len(found) < count:
            port = random.randrange(12_000, 32_000)
            if port in self._used:
                continue
            self._used.add(port)
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
            found.append(port)
        return sorted(found)


# --- HTTP/1.1 over plain sockets ------------------------------------------


class Channel:
    """Buffered reader and writer of one TCP connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""

    def read_line(self) -> bytes:
        """Return a line without its CR LF.

        :raises EOFError: the peer closed the connection.
        """
        while b"\n" not in self._buffer:
            self._fill()
        line, self._buffer = self._buffer.split(b"\n", 1)
        return line.removesuffix(b"\r")

    def read_exactly(self, size: int) -> bytes:
        """Return ``size`` bytes."""
        while len(self._buffer) < size:
            self._fill()
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data

    def read_until_close(self) -> bytes:
        """Return all bytes until the peer closes."""
        try:
            while True:
                self._fill()
        except EOFError:
            data, self._buffer = self._buffer, b""
            return data

    def _fill(self) -> None:
        data = self.sock.recv(65_536)
        if not data:
            raise EOFError("closed")
        self._buffer += data

    def read_fields(self) -> dict[str, str]:
        """Return header fields by lower-case name."""
        fields: dict[str, str] = {}
        while line := self.read_line():
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        return fields


class Request:
    """Request that a stand-in received."""

    def __init__(self, channel: Channel) -> None:
        line = channel.read_line().decode("latin-1")
        self.method, self.target, _ = line.split(" ")
        self.path = self.target.partition("?")[0]
        self.fields = channel.read_fields()
        self.body = b""
        if "content-length" in self.fields:
            size = int(self.fields["content-length"])
            self.body = channel.read_exactly(size)

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


def head(status: int, fields: dict[str, str]) -> bytes:
    """Encode the head of a response."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(
    channel: Channel, status: int, fields: dict[str, str], body: bytes = b""
) -> None:
    """Send a whole response."""
    sized = {**fields, "Content-Length": str(len(body))}
    channel.sock.sendall(head(status, sized) + body)


class TcpServer:
    """Accepts connections and handles each in a thread.

    :param handle: handles one request; the connection stays open.
    """

    def __init__(self, handle: Callable[[Channel, Request], None]) -> None:
        self._handle = handle
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self.port = 0
        self.listen()

    @property
    def address(self) -> str:
        """Return the address to connect to."""
        return f"{LOOPBACK}:{self.port}"

    def listen(self) -> None:
        """Listen, on the same port as before if there was one."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((LOOPBACK, self.port))
        listener.listen(512)
        self.port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def crash(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        listener, self._listener = self._listener, None
        if listener is not None:
            # Wakes the thread that waits in accept().
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        with self._lock:
            connections, self._open = list(self._open), set()
        for connection in connections:
            reset(connection)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            channel = Channel(connection)
            while True:
                self._handle(channel, Request(channel))
        except (EOFError, OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )
        # Wakes a thread that waits in recv() for this connection.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


# --- the platform's store ----------------------------------------------------


class Store:
    """Key-value store of the platform, as PROTOCOL.md describes it.

    ``is_silent`` makes it give no answers, and do nothing, until it ends.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, int]] = {}
        self._lease_number = 0
        self.is_silent = False
        self.address = ""
        self.address = TcpServer(self._handle).address

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write a key, as the operator and the servers do."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write a key, whatever its value is."""
        with self._lock:
            self._write(key, _encode(value), 0)

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self._lock:
            self._remove(key)

    def get(self, key: str) -> bytes | None:
        """Return a value."""
        with self._lock:
            item = self._items.get(key)
            return base64.b64decode(item["value"]) if item else None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        with self._lock:
            return sorted(key for key in self._items if key.startswith(prefix))

    def _handle(self, channel: Channel, request: Request) -> None:
        if self.is_silent:
            while self.is_silent:
                time.sleep(0.02)
            raise EOFError("a channel without an answer returns nothing more")
        status, answer = self._dispatch(request)
        if self.is_silent:
            # Calls that wait when the store goes down get no answer either.
            while self.is_silent:
                time.sleep(0.02)
            raise EOFError("a channel without an answer returns nothing more")
        fields = {"Content-Type": "application/json"}
        send(channel, status, fields, json.dumps(answer).encode())

    def _dispatch(self, request: Request) -> tuple[int, dict[str, Any]]:
        path = request.path
        if path == "/kv-watch":
            return self._watch(request.query)
        body = json.loads(request.body) if request.body else {}
        with self._lock:
            self._end_leases()
            if path == "/kv-key":
                item = self._items.get(request.query["key"])
                if item is None:
                    return 404, {"store-revision": self._revision}
                return 200, {**item, "store-revision": self._revision}
            if path == "/kv-range":
                return self._range(request.query)
            if path == "/kv-txn":
                return self._transact(body)
            if path == "/kv-lease":
                self._lease_number += 1
                ttl_ms = max(int(body["ttl-ms"]), 1_000)
                end_s = time.monotonic() + ttl_ms / 1_000
                self._leases[self._lease_number] = (end_s, ttl_ms)
                return 200, {"lease": self._lease_number, "ttl-ms": ttl_ms}
            lease = int(path.rpartition("/")[2])
            if path.startswith("/kv-keep/"):
                if lease not in self._leases:
                    return 404, {}
                ttl_ms = self._leases[lease][1]
                end_s = time.monotonic() + ttl_ms / 1_000
                self._leases[lease] = (end_s, ttl_ms)
                return 200, {"lease": lease, "ttl-ms": ttl_ms}
            if path.startswith("/kv-lease-end/"):
                self._end_lease(lease)
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query["path-prefix"], query.get("after", "")
        items = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            "items": items[:500],
            "has-more": len(items) > 500,
            "store-revision": self._revision,
        }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query["path-prefix"]
        end_s = time.monotonic() + int(query["wait-ms"]) / 1_000
        while True:
            with self._lock:
                self._end_leases()
                start = bisect.bisect_right(
                    self._events, after, key=lambda entry: entry[0]
                )
                found = [
                    event
                    for _, event in self._events[start:]
                    if event["key"].startswith(prefix)
                ]
                revision = self._revision
            if found or time.monotonic() >= end_s or self.is_silent:
                return 200, {"events": found, "store-revision": revision}
            time.sleep(0.005)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body.get("precondition", [])
        keys = [row["key"] for row in rows]
        for row in rows:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                known = [
                    self._items[key] for key in keys if key in self._items
                ]
                return 412, {"items": known}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
        for write in body.get("writes", []):
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
        self._revision += 1
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            self._write(write["key"], write["value"], lease, is_new=False)
        for key in body.get("remove", []):
            self._remove(key, is_new=False)
        return 200, {"revision": self._revision}

    def _write(
        self, key: str, value: str, lease: int, is_new: bool = True
    ) -> None:
        self._revision += is_new
        known = self._items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append((self._revision, item))

    def _remove(self, key: str, is_new: bool = True) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += is_new
        event = {"key": key, "revision": self._revision, "tombstone": True}
        self._events.append((self._revision, event))

    def _end_leases(self) -> None:
        # Leases pause while the store is down.
        now_s = time.monotonic()
        for lease, (end_s, _) in list(self._leases.items()):
            if end_s < now_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self._remove(key)

    def go_silent(self, duration_s: float) -> None:
        """Answer nothing for a time; leases pause meanwhile."""
        self.is_silent = True
        time.sleep(duration_s)
        with self._lock:
            self._leases = {
                lease: (end_s + duration_s, ttl_ms)
                for lease, (end_s, ttl_ms) in self._leases.items()
            }
            self.is_silent = False


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


# --- processes of the system ----------------------------------------------

_SETTINGS = """node-name = "{name}"
role = "{role}"
machine-class = "{role}"
serves = [{serves}]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internal-ports = [{peer}, {metrics}]
seeds = []
first-start = {first}
fault-counted = {counted}
data-dir = "{data}"
discovery = "platform"
entry = "registry"
heartbeat-ms = 1200
contracts = [
  "base", "drain", "config", "cost", "recover", "agent", "stream",
  "engine", "platform",
]
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 150
max-fds = 4100
link-mbps = 1000.0
disk-mb = 260
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


class Process:
    """One process of the system on a machine of its own."""

    def __init__(
        self,
        rig: Rig,
        role: str,
        name: str,
        zone: str,
    ) -> None:
        self._rig = rig
        self.role, self.name, self.zone = role, name, zone
        names = ("peer", "metrics", "front", "ready", "directory")
        taken = rig.ports.take(len(names))
        self._ports = dict(zip(names, taken, strict=True))
        self._data = rig.directory / f"{name}-data"
        self._data.mkdir()
        self._run: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Return the address for consumers."""
        return f"{LOOPBACK}:{self._ports['front']}"

    @property
    def directory(self) -> str:
        """Return the address of the address lookup."""
        return f"{LOOPBACK}:{self._ports['directory']}"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._rig.directory / f"{self.name}.toml"
        is_edge = self.role == "edge"
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                role=self.role,
                serves='"edge","registry"' if is_edge else '"storage"',
                counted="false" if is_edge else "true",
                zone=self.zone,
                first="true" if self._rig.is_first_start else "false",
                data=self._data,
                store=self._rig.store.address,
                **self._ports,
            ),
            encoding="utf-8",
        )
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment["BALSAMLOOM_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._rig.directory / f"{self.name}.log").open("ab")
        command = self._rig.commands[self.role].split(" ")
        with log:
            self._run = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Kill the process."""
        if self._run is not None and self._run.poll() is None:
            self._run.send_signal(signal.SIGCONT)
            self._run.kill()
            self._run.wait(10)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self._run is not None
        self._run.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._run is None or self._run.poll() is not None

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        port = "ready" if self.role == "edge" else "metrics"
        path = "/readyz" if self.role == "edge" else "/metrics"
        try:
            address = f"{LOOPBACK}:{self._ports[port]}"
            return fetch(address, path, 1.0)[0] == 200
        except (OSError, EOFError, ValueError):
            return False


def fetch(address: str, target: str, timeout_s: float) -> tuple[int, bytes]:
    """Send a GET request and return status and body."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout_s) as sock:
        channel = Channel(sock)
        sock.sendall(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        status = int(channel.read_line().split(b" ")[1])
        fields = channel.read_fields()
        return status, channel.read_exactly(int(fields["content-length"]))


# Rigs whose processes must end with the script.
_rigs: list[Rig] = []


def run(main: Callable[[], None]) -> None:
    """Run a case; if it fails by itself, end its processes and exit with 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CAN_NOT_RUN))
    try:
        main()
    except BaseException:
        traceback.print_exc()
        for rig in _rigs:
            rig.record.add(traceback.format_exc())
            rig.finish(CAN_NOT_RUN)
    sys.exit(CAN_NOT_RUN)


class Rig:
    """Deployment of real processes on stand-ins.

    :param case: folder of the case, which gets ``record.txt``.
    """

    def __init__(self, case: str, edges: int, storages: int) -> None:
        self.record = Record(pathlib.Path(case).resolve().parent)
        _rigs.append(self)
        self.edges: list[Process] = []
        self.storages: list[Process] = []
        self.is_first_start = True
        self._stopped = threading.Event()
        document = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        self.commands = {
            name: role["run"] for name, role in document["roles"].items()
        }
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = PortPool()
        self.store = Store()
        self.servers: list[Any] = []
        self.version = 0
        self.edges = [
            Process(self, "edge", f"edge-{number:02}", ZONES[number % 3])
            for number in range(edges)
        ]
        self.storages = [
            Process(self, "storage", f"storage-{number}", ZONES[number % 3])
            for number in range(storages)
        ]
        # Edges that consumers use; a script may leave some out.
        self.live = list(self.edges)
        threading.Thread(target=self._beat, daemon=True).start()

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        body_bytes: int = 4_194_304,
    ) -> None:
        """Write a new version of the configuration."""
        self.version += 3
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max-header-bytes": 16_384,
                    "max-body-bytes": body_bytes,
                    "header-timeout-ms": 3_000,
                    "idle-timeout-ms": 15_000,
                },
            },
        )
        self.record.add(f"operator writes configuration {self.version}")

    def add_server(self, server: Any) -> None:
        """Register a server; it writes its entry from then on."""
        self.servers.append(server)
        server.register()

    def start(self) -> None:
        """Start all processes and wait until the edges are ready."""
        for process in (*self.storages, *self.edges):
            process.start()
        # Machines that are added, and processes that start again, are not
        # part of the first start of the whole system.
        self.is_first_start = False
        self.wait_ready(self.edges)
        self.wait_ready(self.storages)

    def wait_ready(self, processes: list[Process]) -> None:
        """Wait until processes are ready; exit with 2 if that takes long."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        for process in processes:
            while not process.is_ready():
                if time.monotonic() > end_s:
                    self.record.add(f"{process.name} is not ready in time")
                    self.finish(CAN_NOT_RUN)
                time.sleep(0.05)

    def wait_members(self, count: int) -> None:
        """Wait until address answers name ``count`` edges."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        for edge in self.edges:
            while edge_count(edge) < count:
                if time.monotonic() > end_s:
                    self.record.add("too few edges in the address answers")
                    self.finish(CAN_NOT_RUN)
                time.sleep(0.1)

    def finish(self, status: int) -> None:
        """End all processes and exit."""
        self._stopped.set()
        for process in (*self.edges, *self.storages):
            process.kill()
        self.record.add(f"exit status {status}")
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)

    def _beat(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            for server in list(self.servers):
                if not server.is_down:
                    server.register()


def edge_count(edge: Process) -> int:
    """Return how many addresses a lookup at an edge names."""
    try:
        target = f"/resolve?name={HOST}&region=r&zone=a"
        status, body = fetch(edge.directory, target, 1.0)
    except (OSError, EOFError, ValueError):
        return 0
    return len(json.loads(body)["addresses"]) if status == 200 else 0


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    found = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-kind": kind,
        "timeout-ms": 5_000,
        "target-latency-ms": 250,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
        "retention-s": 60.0,
    }
    return found | {
        name.replace("_", "-"): value for name, value in more.items()
    }


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model servers."""
    engine = {"slots": 48, "kv-capacity": 200_000, "chunk-tokens": TOKENS}
    return {"name": name, "max-conns": 300, "engine": engine}


# --- backend servers ------------------------------------------------------

TOKENS = 12


class Engine:
    """Model server that streams events.

    :param events: number of events of each answer.
    :param interval_s: pause before each event.
    :param line_end: line ending of the events.
    """

    def __init__(
        self,
        rig: Rig,
        service: str,
        version: str = "1",
        zone: str = "a",
        events: int = 10,
        interval_s: float = 0.02,
        line_end: str = "\n",
    ) -> None:
        self._rig = rig
        self.service, self.version, self.zone = service, version, zone
        self.server_id = f"i-{uuid.uuid4().hex[:10]}"
        self.events, self.interval_s = events, interval_s
        self.line_end = line_end
        self.state = "ready"
        self.is_down = False
        # Body of a request that crashes the server, and after which event.
        self.deadly_body: bytes | None = None
        self.crash_after_events = 0
        self.restart_s = 2.0
        self.runs: list[tuple[float, str, bytes, dict[str, str]]] = []
        self._sequence = 0
        self._born_ms = int(time.time() * 1_000)
        self._running = 0
        self.tcp = TcpServer(self._handle)

    def register(self) -> None:
        """Write the entry of this server."""
        self._sequence += 1
        self._rig.store.put(
            f"servers/{self.server_id}",
            {
                "service": self.service,
                "address": self.tcp.address,
                "zone": self.zone,
                "version": self.version,
                "slots": 48,
                "state": self.state,
                "cold-left-ms": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )

    def _handle(self, channel: Channel, request: Request) -> None:
        request_id = request.fields.get("x-balsamloom-request-id", "")
        load = f"{self._running},0,48"
        fields = {"X-Balsamloom-Server-Load": load}
        if not request_id:
            send(channel, 400, {**fields, "X-Balsamloom-Not-Executed": "1"})
            return
        fields["X-Balsamloom-Request-Id"] = request_id
        expected = request.fields.get("x-balsamloom-expect-instance")
        if expected and expected != self.server_id:
            send(channel, 421, {**fields, "X-Balsamloom-Not-Executed": "1"})
            return
        self._running += 1
        try:
            self._run(channel, request, request_id, fields)
        finally:
            self._running -= 1

    def _run(
        self,
        channel: Channel,
        request: Request,
        request_id: str,
        fields: dict[str, str],
    ) -> None:
        entry = (time.monotonic(), request_id, request.body, request.fields)
        self.runs.append(entry)
        self._rig.record.add(
            f"server {self.server_id} version {self.version} runs"
            f" {request_id} {request.path}"
        )
        time.sleep(0.02)
        fields = {
            **fields,
            "X-Balsamloom-Server-Signature": f"{self.server_id}.{request_id}",
            "X-Balsamloom-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        channel.sock.sendall(head(200, fields))
        first = int(request.fields.get("last-event-id") or 0) + 1
        is_deadly = request.body == self.deadly_body
        for number in range(first, self.events + 1):
            time.sleep(self.interval_s)
            if is_deadly and number > self.crash_after_events:
                self._crash(request_id)
                raise EOFError("crashed")
            write_chunk(channel, self.event(request_id, number))
        channel.sock.sendall(b"0\r\n\r\n")

    def event(self, request_id: str, number: int) -> bytes:
        """Encode an event, which names the version that made it."""
        data = f"{request_id} {self.version} {number}"
        lines = (f"id: {number}", f"data: {data}", "", "")
        return self.line_end.join(lines).encode()

    def _crash(self, request_id: str) -> None:
        self._rig.record.add(
            f"server {self.server_id} crashes while it runs {request_id}"
        )
        self.is_down = True
        self.tcp.crash()
        threading.Timer(self.restart_s, self._restart).start()

    def _restart(self) -> None:
        """Start again under the same id; it knows nothing of before."""
        self._born_ms = int(time.time() * 1_000)
        self._sequence = 0
        self.tcp.listen()
        self.is_down = False
        self.register()


def write_chunk(channel: Channel, data: bytes) -> None:
    """Send a chunk."""
    channel.sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


# --- consumers ------------------------------------------------------------


class Answer:
    """Answer to a request, as far as it arrived; status 0 without one."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_whole = False

    def event_data(self) -> list[str]:
        """Return the data of each whole event."""
        text = self.body.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        events = text.decode().split("\n\n")[:-1]
        return [
            "\n".join(
                line.removeprefix("data:").removeprefix(" ")
                for line in event.split("\n")
                if line.startswith("data")
            )
            for event in events
        ]


def ask(
    address: str,
    path: str,
    fields: dict[str, str],
    body: bytes = b"{}",
    timeout_s: float = 5.0,
    method: str = "POST",
) -> Answer:
    """Send a request on a new channel and read the answer."""
    answer = Answer()
    host, _, port = address.partition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    if "X-Balsamloom-Deadline-Ms" not in fields:
        lines.append(f"X-Balsamloom-Deadline-Ms: {int(timeout_s * 1000)}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(data)
            _read_answer(Channel(sock), answer)
    except (OSError, EOFError, ValueError):
        pass
    return answer


def _read_answer(channel: Channel, answer: Answer) -> None:
    answer.status = int(channel.read_line().split(b" ")[1])
    answer.fields = channel.read_fields()
    if answer.fields.get("transfer-encoding") == "chunked":
        while size := int(channel.read_line(), 16):
            answer.body += channel.read_exactly(size)
            channel.read_line()
        channel.read_line()
    else:
        size = int(answer.fields["content-length"])
        answer.body = channel.read_exactly(size)
    answer.is_whole = True


def new_id() -> str:
    """Return a new request identifier."""
    return uuid.uuid4().hex[:16]
