"""Measure slopes within one process: programs, servers, members, sections."""

from __future__ import annotations

import os
import random
import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import capacity_fit
import urllib3

from balsamloom_configuration import distribution
from balsamloom_configuration import document as documents
from balsamloom_core import clock as clocks
from balsamloom_core import outcomes
from balsamloom_entry import catalogue, pools
from balsamloom_membership import addresses, backends
from balsamloom_peers import client as peer_clients
from balsamloom_peers import links, messages, server
from balsamloom_platform import engine_client
from balsamloom_platform import store as stores
from balsamloom_policy import calls as policy_calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import settings as policy_settings
from balsamloom_policy import tickets
from balsamloom_standins import fleet
from balsamloom_state import budgets, local, owner, partitions

fit = capacity_fit.fit
cpu_us = capacity_fit.cpu_us
held_bytes = capacity_fit.held_bytes

POOL_COUNT = 26
DOMAIN_COUNT = 29
DIGEST = b"d" * 16
TIMEOUT_MS = 5_000
SERVER_COUNTS = (260, 520, 1_040, 2_080)
MEMBER_COUNTS = (8, 32, 128, 350)
PARTITION_COUNTS = (256, 1_024, 4_096)
PROGRAM_COUNTS = (100, 200, 400, 800)
HEARTBEAT_COUNT = 200


class MemoryStore:
    """Key-value service in the memory of this process, without faults."""

    def __init__(self) -> None:
        self._items: dict[str, stores.Item] = {}
        self._revision = 0

    def get(
        self, key: str, timeout_ms: int = stores.DEFAULT_TIMEOUT_MS
    ) -> stores.Item | None:
        """Read one key."""
        return self._items.get(key)

    def list_keys(
        self,
        prefix: str,
        limit: int = 0,
        start: str = "",
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Page:
        """Read keys with a prefix."""
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key >= start
        ]
        chosen = found[:limit] if limit else found
        return stores.Page(chosen, len(chosen) < len(found), self._revision)

    def commit(
        self,
        comparisons: Sequence[stores.Comparison],
        operations: Sequence[stores.Operation],
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Committed | stores.Conflict:
        """Apply the operations if the comparisons hold."""
        if not all(self._holds(comparison) for comparison in comparisons):
            current = {
                comparison.key: self._items[comparison.key]
                for comparison in comparisons
                if comparison.key in self._items
            }
            return stores.Conflict(self._revision, current)
        self._revision += 1
        for operation in operations:
            match operation:
                case stores.Put(key=key, value=value):
                    self._items[key] = stores.Item(
                        key, value, self._revision, self._revision
                    )
                case stores.Delete(key=key):
                    self._items.pop(key, None)
        return stores.Committed(self._revision)

    def watch(
        self, prefix: str, from_revision: int, timeout_ms: int
    ) -> Iterator[list[stores.Change]]:
        """Yield nothing."""
        return iter(())

    def grant_lease(self, ttl_ms: int) -> int:
        """Return a fixed lease identifier; leases have no effect."""
        return 1

    def renew_lease(self, lease_id: int) -> bool:
        """Report that the lease is valid."""
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Do nothing."""

    def size_bytes(self) -> int:
        """Return the bytes of all values."""
        return sum(len(item.value) for item in self._items.values())

    def _holds(self, comparison: stores.Comparison) -> bool:
        item = self._items.get(comparison.key)
        match comparison:
            case stores.KeyAbsent():
                return item is None
            case stores.RevisionIs(mod_revision=revision):
                return item is not None and item.mod_revision == revision


class RefusingTransfer:
    """Transfer that always refuses, since there are no other members."""

    def transfer(self, *arguments: Any) -> bool:
        """Return that the transfer was refused."""
        return False


def _program_owner(store: MemoryStore) -> owner.ProgramOwner:
    member = partitions.Member("m-1", "127.0.0.1:1", "127.0.0.1:2", "d0")
    settings = local.OwnerSettings(
        commits_per_s=1e6, commit_burst=1_000_000, writes_in_background=False
    )
    built = owner.ProgramOwner(
        store,
        member,
        clocks.Clock(),
        settings,
        RefusingTransfer(),  # type: ignore[arg-type]
    )
    built.join()
    return built


def _start_programs(built: owner.ProgramOwner, count: int) -> list[Any]:
    spec = owner.StartSpec(
        "customer", "workspace", budget=budgets.Limits(1_000_000, 10_000)
    )
    return [built.start_program(spec, TIMEOUT_MS) for _ in range(count)]


def _run_call(
    built: owner.ProgramOwner, program: Any, number: int, size_bytes: int
) -> None:
    key = f"{program.program_id}-s{number}"
    built.begin_call(program, key, DIGEST, budgets.MaxUse(10), TIMEOUT_MS)
    text = os.urandom(size_bytes // 2).hex()
    answer = {"role": "assistant", "content": text[: size_bytes // 2]}
    question = {"role": "user", "content": text[size_bytes // 2 :]}
    outcome = outcomes.Completed({"message": answer}, 10)
    built.finish(
        program, key, DIGEST, outcome, [question, answer], 1.0, TIMEOUT_MS
    )


def program_slopes() -> list[capacity_fit.Slope]:
    """Measure programs, their calls and the journal."""

    def build(count: int) -> Any:
        built = _program_owner(MemoryStore())
        return built, _start_programs(built, count)

    memory = [(n, held_bytes(build, n)) for n in PROGRAM_COUNTS]
    maintain = []
    for count in PROGRAM_COUNTS:
        built, _ = build(count)
        maintain.append((count, cpu_us(built.maintain, rounds=10)))
    turns_memory, turns_journal = [], []
    for turns in (5, 10, 20, 40):
        store = MemoryStore()
        built = _program_owner(store)
        program = _start_programs(built, 1)[0]

        before = store.size_bytes()
        held = held_bytes(_run_turns, built, program, turns)
        # In production the store is another process: leave its values out.
        held -= store.size_bytes() - before
        turns_memory.append((turns, held))
        turns_journal.append((turns, store.size_bytes() - before))
    call_cpu = []
    for count in PROGRAM_COUNTS:
        built = _program_owner(MemoryStore())
        found = _start_programs(built, count)
        call_cpu.append((count, cpu_us(_run_call_each, built, found)))
    history = []
    for size_bytes in (1_000, 4_000, 16_000, 64_000):
        built = _program_owner(MemoryStore())
        program = _start_programs(built, 1)[0]
        history.append(
            (size_bytes, cpu_us(_run_turns, built, program, 5, size_bytes) / 5)
        )
    return [
        fit("program_memory", "programs", "bytes held", memory),
        fit("maintain_cpu", "programs", "us of CPU a round", maintain),
        fit("turn_memory", "turns of 1,000 B", "bytes held", turns_memory),
        fit("turn_journal", "turns of 1,000 B", "bytes", turns_journal),
        fit("call_state_cpu", "calls, one a program", "us", call_cpu),
        fit("turn_size_cpu", "bytes of a turn", "us of CPU a turn", history),
    ]


def _run_turns(
    built: owner.ProgramOwner,
    program: Any,
    turns: int,
    size_bytes: int = 1_000,
) -> None:
    for _ in range(turns):
        _run_call(built, program, len(program.calls), size_bytes)


def _run_call_each(built: owner.ProgramOwner, found: list[Any]) -> None:
    for program in found:
        _run_call(built, program, len(program.calls), 1_000)


def _servers_by_pool(count: int) -> dict[str, list[policy_calls.Server]]:
    found: dict[str, list[policy_calls.Server]] = {}
    for number in range(count):
        pool = f"model-{number % POOL_COUNT}"
        found.setdefault(pool, []).append(
            policy_calls.Server(
                f"server-{number}", f"10.0.{number}:80", pool, 8
            )
        )
    return found


def _build_scheduler(count: int, members: int = 350) -> schedulers.Scheduler:
    built = schedulers.Scheduler(
        clocks.Clock(), policy_settings.PolicySettings(), 1
    )
    built.set_member_count(members)
    for pool, found in _servers_by_pool(count).items():
        built.update_servers(pool, found)
    return built


def _run_calls(built: schedulers.Scheduler, count: int) -> None:
    for number in range(count):
        profile = policy_calls.CallProfile(
            f"p000-{number}",
            "customer",
            f"model-{number % POOL_COUNT}",
            is_idempotent=True,
            prompt_tokens=500,
        )
        ticket = built.submit(profile)
        assert isinstance(ticket, tickets.Ticket)
        ticket.wait(0)
        ticket.record_first_token()
        ticket.finish(policy_calls.Observation(True, False, 10, 500))


def scheduler_slopes() -> list[capacity_fit.Slope]:
    """Measure the scheduler against the number of servers."""
    memory, call, peer_cpu, shares = [], [], [], []
    for count in SERVER_COUNTS:
        memory.append((count, held_bytes(_build_scheduler, count)))
        built = _build_scheduler(count)
        call.append((count, cpu_us(_run_calls, built, 260) / 260))
        reported = [
            policy_calls.ServerShare(f"server-{number}", 1, 4.0)
            for number in range(16)
        ]
        built.update_peer_shares("peer", reported)
        peer_cpu.append(
            (
                count,
                cpu_us(built.update_peer_shares, "peer", reported, rounds=10),
            )
        )
        shares.append((count, cpu_us(built.shares, rounds=10)))
    return [
        fit("scheduler_memory", "servers", "bytes held", memory),
        fit("scheduler_call_cpu", "servers", "us of CPU a call", call),
        fit(
            "peer_shares_cpu",
            "servers",
            "us of CPU a heartbeat",
            peer_cpu,
        ),
        fit("own_shares_cpu", "servers", "us of CPU a heartbeat", shares),
    ]


def _backend_table(servers: int) -> backends.BackendTable:
    built = backends.BackendTable("m-0", clocks.Clock())
    built.set_servers(
        backends.Server(f"server-{number}", "pool", "10.0.0.1:80")
        for number in range(servers)
    )
    return built


def _build_map(members: int, count: int) -> partitions.PartitionMap:
    found = {
        f"host-{number:04d}-a1b2c3d4": partitions.Member(
            f"host-{number:04d}-a1b2c3d4",
            f"10.20.{number % 250}.{number // 250}:8080",
            f"10.20.{number % 250}.{number // 250}:9090",
            f"region-{number % 8}-domain-{number % DOMAIN_COUNT}",
        )
        for number in range(members)
    }
    names = list(found)
    owners = {
        number: partitions.Ownership(names[number % members], number % 50 + 1)
        for number in range(count)
    }
    return partitions.PartitionMap(1_000, count, found, owners, ())


def _build_lookups(found: partitions.PartitionMap) -> Callable[[], None]:
    resolver = addresses.AddressResolver(
        lambda: found, next(iter(found.members.values())), clocks.Clock()
    )

    def look_up() -> None:
        for number in range(50):
            resolver.for_program(f"p{number:03x}-{number:016x}")

    return look_up


def _change_members(table: backends.BackendTable, names: list[str]) -> None:
    # One member leaves and joins again: two changes.
    table.set_members(names[1:])
    table.set_members(names)


def membership_slopes() -> list[capacity_fit.Slope]:
    """Measure server states, the partition map and address lookups."""
    set_members, states, sizes, decode, address = [], [], [], [], []
    held = []
    for servers in SERVER_COUNTS[:3]:
        for members in MEMBER_COUNTS[:3]:
            table = _backend_table(servers)
            names = [f"m-{number}" for number in range(members)]
            cpu = cpu_us(_change_members, table, names) / 2
            set_members.append((servers * members, cpu))
    set_members.sort()
    for servers in SERVER_COUNTS:
        table = _backend_table(servers)
        for number in range(servers):
            table.observe(
                backends.Origin.HOST_LIST,
                f"server-{number}",
                False,
                number + 1,
            )
        states.append((servers, cpu_us(table.states_for_heartbeat, rounds=20)))
    for count in PARTITION_COUNTS:
        found = _build_map(350, count)
        raw = partitions.encode(found)
        sizes.append((count, float(len(raw))))
        held.append((count, held_bytes(partitions.decode, raw)))
        decode.append((count, cpu_us(partitions.decode, raw)))
    for members in MEMBER_COUNTS:
        address.append(
            (members, cpu_us(_build_lookups(_build_map(members, 4_096))) / 50)
        )
    return [
        fit(
            "follow_cpu",
            "servers x members",
            "us of CPU a change",
            set_members,
        ),
        fit("states_cpu", "servers", "us of CPU a heartbeat", states),
        fit("map_bytes", "partitions, 350 members", "bytes", sizes),
        fit("map_decode_cpu", "partitions, 350 members", "us", decode),
        fit("map_memory", "partitions, 350 members", "bytes held", held),
        fit("address_cpu", "members", "us of CPU an answer", address),
    ]


def _build_document(servers: int, sections: int) -> documents.Document:
    found: dict[str, documents.Section] = {
        "routing": documents.Section({}, 1),
        "limits": documents.Section({}, 1),
        "customers": documents.Section({"customer": {}}, 1),
    }
    for number in range(sections):
        entries = [
            {
                "id": f"server-{server}",
                "address": f"10.20.30.40:{server % 60_000 + 1}",
                "concurrency": 8,
            }
            for server in range(number, servers, sections)
        ]
        found[f"models/team-{number}"] = documents.Section(
            {f"model-{number}": {"servers": entries}}, 1
        )
    return documents.assemble(found)


def _activate(
    document: documents.Document,
) -> distribution.ActiveConfiguration:
    clock = clocks.Clock()
    table = backends.BackendTable("m-0", clock)
    scheduler = schedulers.Scheduler(
        clock, policy_settings.PolicySettings(), 1
    )
    server_pools = pools.ServerPools(scheduler, table)
    built = distribution.ActiveConfiguration(
        MemoryStore(),
        clock,
        lambda: False,
        setting_schemas=catalogue.SETTING_SCHEMAS,
    )
    built.on_change(server_pools.apply_document)
    if not built.activate(document, "measurement"):
        raise RuntimeError(f"revision {document.revision} was not activated")
    return built


def configuration_slopes() -> list[capacity_fit.Slope]:
    """Measure the activation of a change to one section."""
    memory, activation, whole, step, digest = [], [], [], [], []
    for servers in SERVER_COUNTS:
        document = _build_document(servers, POOL_COUNT)
        memory.append((servers, held_bytes(_activate, document)))
        built = _activate(document)

        def change(built: Any = built) -> None:
            known = built.document
            section = documents.Section(
                {"customer": {}}, known.revision + 1, "edit"
            )
            changed = known.replace("customers", section)
            if not built.activate(changed, "measurement"):
                raise RuntimeError(
                    f"revision {changed.revision} not activated"
                )

        activation.append((servers, cpu_us(change)))
        whole.append((servers, float(len(documents.encode(document)))))
        newest = built.document
        since = newest.revision - 1
        step.append((servers, float(len(documents.encode(newest, since)))))
        digest.append((servers, cpu_us(documents.digest, document)))
    return [
        fit("document_memory", "servers", "bytes held", memory),
        fit("change_cpu", "servers", "us of CPU a change", activation),
        fit("document_bytes", "servers", "bytes sent", whole),
        fit("step_bytes", "servers", "bytes sent a change", step),
        fit("digest_cpu", "servers", "us of CPU", digest),
    ]


class CountingProxy:
    """TCP proxy that counts the bytes of both directions.

    :param target: ``host:port`` to which connections are forwarded.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                inner, _ = self._listener.accept()
            except OSError:
                return
            outer = socket.create_connection(self._target)
            for pair in ((inner, outer), (outer, inner)):
                threading.Thread(
                    target=self._copy, args=pair, daemon=True
                ).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while raw := source.recv(65_536):
                self.count += len(raw)
                target.sendall(raw)
        except OSError:
            return
        finally:
            target.close()


class EchoHandlers:
    """Handlers that answer a heartbeat with one of the same size."""

    def heartbeat(self, content: messages.Heartbeat) -> messages.Heartbeat:
        """Return the content with the member identifier replaced."""
        return content._replace(member_id="host-0002-a1b2c3d4")


def heartbeat_slopes() -> list[capacity_fit.Slope]:
    """Measure bytes and CPU of a heartbeat and its response."""
    sizes, cpu = [], []
    running = server.PeerServer(
        "127.0.0.1:0",
        EchoHandlers(),  # type: ignore[arg-type]
        links.BlockedLinks(),
    )
    running.start()
    proxy = CountingProxy(running.address)
    pool = peer_clients.PeerPool(
        "host-0001-a1b2c3d4", "127.0.0.1:1", links.BlockedLinks()
    )
    peer = pool.client(proxy.address)
    source = random.Random(1)
    for entries in (0, 4, 8, 16):
        content = messages.Heartbeat(
            "host-0001-a1b2c3d4",
            100_000,
            50_000,
            60,
            tuple(
                messages.ServerState(
                    f"model-{source.randrange(26)}-{number}", 100, False, 2
                )
                for number in range(entries)
            ),
        )

        def send_heartbeats(content: messages.Heartbeat = content) -> None:
            for _ in range(HEARTBEAT_COUNT):
                peer.heartbeat(content, 5_000, "host-0002-a1b2c3d4")

        send_heartbeats()
        before = proxy.count
        send_heartbeats()
        sizes.append((entries, (proxy.count - before) / HEARTBEAT_COUNT))
        cpu.append((entries, cpu_us(send_heartbeats) / HEARTBEAT_COUNT))
    pool.close()
    running.stop(0)
    proxy.close()
    return [
        fit("heartbeat_bytes", "entries each way", "bytes both ways", sizes),
        fit("heartbeat_cpu", "entries each way", "us, both ends", cpu),
    ]


def report_slopes() -> list[capacity_fit.Slope]:
    """Measure bytes and CPU of reading load reports."""
    sizes, cpu = [], []
    with fleet.Fleet() as running:
        proxy = CountingProxy(running.standin("engine").address)
        engine = engine_client.Engine(proxy.address, urllib3.PoolManager())
        engine.load(2_000)
        for count in (50, 100, 200):
            before = proxy.count
            cpu.append((count, cpu_us(_read_loads, engine, count)))
            reads = count * capacity_fit.REPEATS
            sizes.append((count, (proxy.count - before) * count / reads))
        proxy.close()
    return [
        fit("report_cpu", "load reports read", "us of CPU", cpu),
        fit("report_bytes", "load reports read", "bytes both ways", sizes),
    ]


def _read_loads(engine: engine_client.Engine, count: int) -> None:
    for _ in range(count):
        engine.load(2_000)


def measure() -> list[capacity_fit.Slope]:
    """Measure all slopes within one process."""
    return [
        *program_slopes(),
        *scheduler_slopes(),
        *membership_slopes(),
        *configuration_slopes(),
        *heartbeat_slopes(),
        *report_slopes(),
    ]


if __name__ == "__main__":
    for found in measure():
        print(found)
