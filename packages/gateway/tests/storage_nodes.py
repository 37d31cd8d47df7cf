"""Storage hosts for tests, with real databases and listeners."""

from __future__ import annotations

import concurrent.futures
import pathlib
import tempfile
import threading

from balsamloom_conversations import (
    database,
    group_commit,
    messages,
    replicas,
    turns,
    usage_entries,
)
from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    listeners,
    peer_calls,
    peers,
    stream_registry,
)
from balsamloom_storage import (
    replica_repair,
    service,
)

LIMITS = listeners.Limits(16, 16_384, 4_000_000, 2_000.0, 10_000.0)
COPIES = 2
LONGEST_RETENTION_MS = 600_000.0
# Longest time for which a test holds an answer back.
HOLD_TIMEOUT_S = 5.0


class StorageNode:
    """One storage host.

    :param name: name of the host; its first letter is its failure domain.
    :param cluster: cluster that the host belongs to.
    """

    def __init__(self, name: str, cluster: StorageCluster) -> None:
        self.name = name
        self._cluster = cluster
        self._directory = tempfile.TemporaryDirectory()
        self.listener: listeners.Listener | None = None
        self.start(is_first_start=True)

    def start(self, is_first_start: bool = False) -> None:
        """Start the host's process without changing its disk."""
        clock = clocks.Clock()
        path = pathlib.Path(self._directory.name)
        self.database = database.TurnDatabase(
            path, clock, is_first_start=is_first_start
        )
        self.host = replicas.StorageHost(
            self.name, "", self.name[0], self.database.disk_id
        )
        self.commits = group_commit.GroupCommit(self.database.add, clock)
        self.clients = self._cluster.clients(self.name)
        self.copies = replica_repair.ReplicaRepair(
            self.host,
            self._cluster.hosts,
            self.database,
            self.commits,
            self.clients,
            clock,
            COPIES,
            lambda since_ms: self._cluster.are_hosts_known,
            lambda: LONGEST_RETENTION_MS,
        )
        self.service = service.StorageService(
            self.database,
            self.commits,
            self.copies,
            stream_registry.StreamRegistry(clock, is_first_start),
            self.name,
        )
        address = self.name
        if self._cluster.is_networked:
            self.listener = listeners.Listener(
                "127.0.0.1:0", self.service.handle, LIMITS
            )
            address = self.listener.address
            self.listener.start()
        self.host = self.host._replace(address=address)
        self.copies._own = self.host
        self.is_up = True
        threading.Thread(target=self.commits.run, daemon=True).start()

    def stop(self) -> None:
        """Stop the process; its address then refuses connections."""
        if not self.is_up:
            return
        self.is_up = False
        if self.listener is not None:
            self.listener.stop_accepting()
            self.listener = None
        self.commits.stop()
        self.database.close()
        self.clients.keep_only(())

    def wipe(self) -> None:
        """Stop the process and erase the disk."""
        self.stop()
        self._directory.cleanup()
        self._directory = tempfile.TemporaryDirectory()

    def has(self, turn: turns.Turn) -> bool:
        """Return whether a turn is on the disk."""
        return not self.database.find_missing([turn.turn_id])

    def close(self) -> None:
        """Stop the process and remove the disk."""
        self.stop()
        self._directory.cleanup()


class DirectClients:
    """Clients that call storage hosts directly, without a network.

    :param cluster: hosts, whose addresses are their names.
    :param caller: name of the calling host; empty for an edge process.
    """

    def __init__(self, cluster: StorageCluster, caller: str = "") -> None:
        self._cluster = cluster
        self._caller = caller

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Call a host.

        :raises PeerUnavailableError: the host is down or refused the call.
        """
        node = self._cluster.node(address)
        is_cut = frozenset((self._caller, address)) in self._cluster.cuts
        if is_cut or not node.is_up:
            raise peers.PeerUnavailableError(f"{address} is down")
        handler = node.service.handlers.get(path)
        if handler is None:
            raise peers.PeerPathUnknownError(path)
        try:
            return handler(body)
        except (
            peer_calls.UnavailableError,
            database.DatabaseError,
            group_commit.RecordWriteError,
        ) as error:
            raise peers.PeerUnavailableError(str(error)) from error

    def keep_only(self, addresses: object) -> None:
        """Do nothing; there are no connections."""


class SlowClients(DirectClients):
    """Clients whose calls to some hosts time out, without waiting.

    :param cluster: hosts, whose addresses are their names.
    :param dark: names of the hosts that do not answer.
    """

    def __init__(self, cluster: StorageCluster, dark: set[str]) -> None:
        super().__init__(cluster)
        self._dark = dark
        self.waited_ms = 0.0
        self.longest_timeout_ms = 0.0

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Call a host, or record how long a caller would have waited."""
        self.longest_timeout_ms = max(self.longest_timeout_ms, timeout_ms)
        if address in self._dark:
            self.waited_ms += timeout_ms
            raise peers.PeerTimeoutError(address)
        return super().post(address, path, body, timeout_ms)


class HungClients(DirectClients):
    """Clients whose calls to some hosts last until their timeout.

    :param cluster: hosts, whose addresses are their names.
    :param dark: names of the hosts that do not answer.
    """

    def __init__(self, cluster: StorageCluster, dark: set[str]) -> None:
        super().__init__(cluster)
        self._dark = dark

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Call a host, or wait."""
        if address in self._dark:
            clocks.Clock().sleep(timeout_ms)
            raise peers.PeerTimeoutError(address)
        return super().post(address, path, body, timeout_ms)


class MeasuringClients(DirectClients):
    """Clients that record the size of the longest answer.

    :param cluster: hosts, whose addresses are their names.
    """

    def __init__(self, cluster: StorageCluster) -> None:
        super().__init__(cluster)
        self.longest_answer_bytes = 0

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Call a host."""
        answer = super().post(address, path, body, timeout_ms)
        self.longest_answer_bytes = max(self.longest_answer_bytes, len(answer))
        return answer


class CutClients(DirectClients):
    """Clients that receive only some answers with turns; counts the turns.

    :param cluster: hosts, whose addresses are their names.
    :param answers: answers that arrive; ``None``: all.
    """

    def __init__(self, cluster: StorageCluster, answers: int | None) -> None:
        super().__init__(cluster)
        self.answers_left = answers
        self.turns_read = 0

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Call a host."""
        if path != peers.READ_TURNS_PATH:
            return super().post(address, path, body, timeout_ms)
        if self.answers_left == 0:
            raise peers.PeerTimeoutError(address)
        if self.answers_left is not None:
            self.answers_left -= 1
        answer = super().post(address, path, body, timeout_ms)
        self.turns_read += len(messages.decode_batch(answer).turns)
        return answer


class HeldClients(DirectClients):
    """Clients that hold back answers with turns until they are released.

    :param cluster: hosts, whose addresses are their names.
    """

    def __init__(self, cluster: StorageCluster) -> None:
        super().__init__(cluster)
        self.is_reading = threading.Event()
        self.may_answer = threading.Event()

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Call a host."""
        if path == peers.READ_TURNS_PATH:
            self.is_reading.set()
            self.may_answer.wait(HOLD_TIMEOUT_S)
        return super().post(address, path, body, timeout_ms)


class FailingClients:
    """Clients whose calls all fail; counts the calls.

    :param error: raised by each call.
    """

    def __init__(self, error: peers.PeerUnavailableError) -> None:
        self._error = error
        self.calls = 0

    def post(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> bytes:
        """Raise the error."""
        self.calls += 1
        raise self._error


class StorageCluster:
    """Registered storage hosts.

    :param names: names of the hosts.
    :param is_networked: whether calls use network connections.
    """

    def __init__(self, names: str, is_networked: bool = False) -> None:
        self.is_networked = is_networked
        # Whether the hosts know all others that are registered.
        self.are_hosts_known = True
        # Pairs of hosts that do not reach each other.
        self.cuts: set[frozenset[str]] = set()
        self.nodes: list[StorageNode] = []
        for name in names.split():
            self.nodes.append(StorageNode(name, self))

    def clients(self, caller: str = "") -> peers.PeerClients | DirectClients:
        """Return clients of the hosts for one of them or an edge process."""
        if self.is_networked:
            return peers.PeerClients(clocks.Clock())
        return DirectClients(self, caller)

    def hosts(self) -> list[replicas.StorageHost]:
        """Return all registrations, including those of hosts that are down."""
        return [node.host for node in self.nodes]

    def node(self, name: str) -> StorageNode:
        """Return a host by its name."""
        return next(node for node in self.nodes if node.name == name)

    def add(self, name: str) -> StorageNode:
        """Add a host with an empty disk that begins late."""
        node = StorageNode(name, self)
        self.nodes.append(node)
        self.wipe(name)
        return node

    def kill(self, *names: str) -> None:
        """Stop hosts; their disks stay."""
        for name in names:
            self.node(name).stop()

    def start(self, *names: str) -> None:
        """Start hosts that are stopped."""
        for name in names:
            self.node(name).start()

    def wipe(self, *names: str) -> None:
        """Have hosts return with empty disks."""
        for name in names:
            self.node(name).wipe()
            self.node(name).start()

    def cut(self, name: str, other: str) -> None:
        """Cut two hosts off from each other."""
        self.cuts.add(frozenset((name, other)))

    def run_rounds(self, count: int = 1) -> None:
        """Run repair rounds on each host that is up."""
        for _ in range(count):
            for node in self.nodes:
                if node.is_up:
                    node.copies.run_round()

    def holders(self, turn: turns.Turn) -> list[str]:
        """Return the names of the running hosts that store a turn."""
        return [
            node.name for node in self.nodes if node.is_up and node.has(turn)
        ]

    def close(self) -> None:
        """Stop all hosts and remove their disks."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            list(pool.map(StorageNode.close, self.nodes))


def numbered_turns(count: int) -> list[turns.Turn]:
    """Build first turns of as many conversations."""
    return [
        turn(f"t{number}", group_id=f"g{number}") for number in range(count)
    ]


def large_turns(count: int, size_bytes: int) -> list[turns.Turn]:
    """Build first turns of as many conversations, with large inputs."""
    return [
        turn._replace(input=b"x" * size_bytes)
        for turn in numbered_turns(count)
    ]


def turn(
    turn_id: str, previous_id: str = "", group_id: str = "g"
) -> turns.Turn:
    """Build a turn."""
    return turns.Turn(
        turn_id,
        previous_id,
        group_id,
        f"<{turn_id}".encode(),
        f"{turn_id}>\n".encode(),
        60_000.0,
    )


def usage_entry(
    holder_id: str = "h", sequence: int = 1
) -> usage_entries.UsageEntry:
    """Build a usage entry of program ``p``."""
    running = (("r1", 90),)
    return usage_entries.UsageEntry("p", holder_id, running, 10, sequence)
