"""Small deployment of real processes for the cases of the second review.

The roles run with the commands of the deploy file, on loopback and the real
clock. The platform's store is the project's own stand-in; backend servers and
callers are small stand-ins of this module.
"""

from __future__ import annotations

import http.client
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
from collections.abc import Callable, Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
for source in (
    "packages/core/src",
    "packages/conversations/src",
    "packages/workspaces/src",
    "packages/quotas/src",
    "packages/ingress/src",
    "packages/pacing/src",
    "packages/policy/src",
    "packages/gateway/src",
    "platform/src",
    "target/deps",
):
    sys.path.insert(0, str(ROOT / source))

from balsamloom_testbed import ports, store  # noqa: E402

HOST = "h.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.2
# Bounds of the small sites' sheets.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0

_SETTINGS = """node-name = "{name}"
role = "{role}"
machine-class = "{role}"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internal-ports = [{peer}, {metrics}]
first-start = {first}
fault-counted = {counted}
discovery = "platform"
entry = "registry"
heartbeat-ms = 1200
contracts = [{contracts}]
{data}
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
disk-mb = {disk_mb}
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4.4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recover-s = 12
pass-ms = 120
{bounds}
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class CannotRunError(Exception):
    """The deployment could not be brought up; the case says nothing."""


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begun_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the begin of the record."""
        return time.monotonic() - self._begun_s

    def write(self, what: str, **fields: object) -> None:
        """Write a line with the time."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {what} {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, also to the output."""
        self.write(text)
        print(text, flush=True)


class Role:
    """Process of one role, started with the command of the deploy file."""

    def __init__(
        self,
        deployment: Deployment,
        role: str,
        name: str,
        zone: str,
    ) -> None:
        self.name = name
        self._role = role
        self._deployment = deployment
        reservation = ports.PortReservation(5)
        deployment.reservations.append(reservation)
        keys = ("peer", "metrics", "front", "ready", "directory")
        self.ports = dict(zip(keys, reservation.ports, strict=True))
        self._zone = zone
        self._data = deployment.folder / f"{name}-data"
        self._data.mkdir()
        self._is_first = True
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        is_storage = self._role == "storage"
        path = self._deployment.folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                role=self._role,
                zone=self._zone,
                first=str(self._is_first).lower(),
                counted=str(is_storage).lower(),
                data=f'data-dir = "{self._data}"' if is_storage else "",
                disk_mb=370 if is_storage else 0,
                store=self._deployment.store.address,
                contracts=self._deployment.contracts,
                bounds=self._deployment.bounds,
                **self.ports,
            ),
            encoding="utf-8",
        )
        self._is_first = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self._role]["run"].split(" ")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BALSAMLOOM_NODE_FILE": str(path),
        }
        log = (self._deployment.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for callers."""
        return "127.0.0.1", self.ports["front"]

    def is_ready(self) -> bool:
        """Return whether the process serves."""
        port, path = (
            (self.ports["ready"], "/readyz")
            if self._role == "edge"
            else (self.ports["metrics"], "/metrics")
        )
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=1
            )
            connection.request("GET", path)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)

    def log_events(self) -> Iterator[dict[str, object]]:
        """Yield what the process has logged."""
        path = self._deployment.folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue


class Server:
    """Backend server: an HTTP/1.1 server with one thread a connection.

    ``handle`` gets the connection, the request's line, fields and body, and
    writes the answer; it returns whether the channel stays open.
    """

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        handle: Callable[[Server, socket.socket, Request], bool],
        version: str = "v1",
        zone: str = "a",
        slots: int = 8,
    ) -> None:
        self._deployment = deployment
        self._handle = handle
        self.service = service
        self.version = version
        self._zone = zone
        self._slots = slots
        self.state = "ready"
        self._sequence = 0
        self._address: tuple[str, int] = ("127.0.0.1", 0)
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.is_up = False
        self.server_id = ""
        self.start()

    def start(self) -> None:
        """Start a boot with an id of its own, at the former address."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(128)
        self._address = listener.getsockname()
        self._listener = listener
        self.server_id = f"i-{random.getrandbits(40):010x}"
        self._born = int(time.time() * 1000)
        self.is_up = True
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()
        self.register()

    def register(self) -> None:
        """Write the server's entry, as each ping does."""
        self._sequence += 1
        document = {
            "service": self.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._deployment.store.put(
            f"servers/{self.server_id}", json.dumps(document).encode()
        )

    def end(self) -> None:
        """Close the listener and all channels, as the process ends."""
        self.is_up = False
        # Wakes the thread that accepts; a closed socket alone would not.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def leave(self) -> None:
        """Remove the entry and end."""
        self._deployment.store.delete(f"servers/{self.server_id}")
        self.end()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._connections.add(connection)
        try:
            reader = connection.makefile("rb")
            while self.is_up:
                request = Request.read(reader)
                if request is None or not self._answer(connection, request):
                    return
        except OSError:
            return
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _answer(self, connection: socket.socket, request: Request) -> bool:
        expected = request.fields.get("x-balsamloom-expect-instance")
        if expected not in (None, self.server_id):
            connection.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        return self._handle(self, connection, request)


class Request:
    """Request that a server has read."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.line = line
        self.fields = fields
        self.body = body

    @property
    def request_id(self) -> str:
        """Return the identifier of the consumer attempt."""
        return self.fields.get("x-balsamloom-request-id", "")

    @classmethod
    def read(cls, reader: object) -> Request | None:
        """Read a request; return ``None`` at the end of the channel."""
        line = reader.readline()  # type: ignore[attr-defined]
        if not line:
            return None
        fields: dict[str, str] = {}
        while head := reader.readline().strip():  # type: ignore[attr-defined]
            name, _, value = head.decode("latin-1").partition(":")
            fields[name.lower()] = value.strip()
        length = int(fields.get("content-length", 0))
        body = reader.read(length) if length else b""  # type: ignore[attr-defined]
        return cls(line.decode("latin-1").strip(), fields, body)


def answer_fields(server: Server, request: Request, **more: str) -> bytes:
    """Return the fields of a server's own answer."""
    lines = [
        f"X-Balsamloom-Request-Id: {request.request_id}",
        f"X-Balsamloom-Server-Signature: {server.server_id}.{request.request_id}",
        *(
            f"{name.replace('_', '-')}: {value}"
            for name, value in more.items()
        ),
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


class Deployment:
    """Store, servers and processes of both roles."""

    def __init__(
        self,
        edges: int,
        storage_hosts: int,
        contracts: tuple[str, ...] = (),
        bounds: str = "",
    ) -> None:
        names = ("base", "drain", "config", "recover", "stream", "platform")
        self.contracts = ", ".join(f'"{one}"' for one in (*names, *contracts))
        self.bounds = bounds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.reservations: list[ports.PortReservation] = []
        self.store = store.StoreStandin(0)
        self.servers: list[Server] = []
        self._stopped = threading.Event()
        zones = "abc"
        self.edges = [
            Role(
                self,
                "edge",
                f"edge-{zones[number % 3]}-{number}",
                zones[number % 3],
            )
            for number in range(edges)
        ]
        self.storage = [
            Role(
                self,
                "storage",
                f"storage-{zones[number % 3]}",
                zones[number % 3],
            )
            for number in range(storage_hosts)
        ]

    def configure(self, document: dict[str, object]) -> None:
        """Write a version of the configuration; its return is the ack."""
        self.store.put("op/config", json.dumps(document).encode())

    def start(self) -> None:
        """Start all processes and wait until they serve."""
        for process in (*self.storage, *self.edges):
            process.start()
        threading.Thread(target=self._ping, daemon=True).start()
        end_s = time.monotonic() + READY_TIMEOUT_S
        for process in (*self.storage, *self.edges):
            while not process.is_ready():
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{process.name} is not ready")
                time.sleep(0.05)

    def _ping(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            for server in list(self.servers):
                if server.is_up:
                    server.register()

    def close(self) -> None:
        """End all processes that were started."""
        self._stopped.set()
        for process in (*self.edges, *self.storage):
            process.close()
        for server in self.servers:
            if server.is_up:
                server.end()
        self.store.close()
        for reservation in self.reservations:
            reservation.release()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
    **more: object,
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        **more,
    }


def route(
    name: str, kind: str, service: str, **more: object
) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 250,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "stateful": False,
        "retention-s": 60.0,
        "sticky": False,
        "resumable": False,
        **{key.replace("_", "-"): value for key, value in more.items()},
    }


def new_id() -> str:
    """Return the identifier of a consumer attempt."""
    return f"{random.getrandbits(64):016x}"


class Answer:
    """Answer that a caller got; status 0 means none."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    request_id: str,
    deadline_s: float,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Send a request on a new channel and read its answer."""
    answer = Answer()
    until_s = time.monotonic() + deadline_s
    connection = http.client.HTTPConnection(*address, timeout=deadline_s)
    try:
        connection.request(
            method,
            path,
            body or None,
            {
                "Host": HOST,
                "X-Balsamloom-Request-Id": request_id,
                "X-Balsamloom-Deadline-Ms": str(int(deadline_s * 1000)),
                **(fields or {}),
            },
        )
        response = connection.getresponse()
        answer.status = response.status
        answer.fields = {
            name.lower(): value for name, value in response.getheaders()
        }
        while True:
            connection.sock and connection.sock.settimeout(
                max(until_s - time.monotonic(), 0.01)
            )
            part = response.read1(65536)
            if not part:
                break
            answer.body += part
        answer.is_whole = not response.length
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return answer
