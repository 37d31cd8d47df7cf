"""Measure slopes within one process: servers, members and sections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import capacity_fit
import capacity_messages
import capacity_programs

from balsamloom_configuration import distribution
from balsamloom_configuration import document as documents
from balsamloom_core import clock as clocks
from balsamloom_entry import catalogue, pools
from balsamloom_membership import addresses, backends
from balsamloom_policy import calls as policy_calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import settings as policy_settings
from balsamloom_policy import tickets
from balsamloom_state import partitions

fit = capacity_fit.fit
cpu_us = capacity_fit.cpu_us
held_bytes = capacity_fit.held_bytes

POOL_COUNT = 26
DOMAIN_COUNT = 29
SERVER_COUNTS = (260, 520, 1_040, 2_080)
MEMBER_COUNTS = (8, 32, 128, 350)
PARTITION_COUNTS = (256, 1_024, 4_096)


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
        capacity_programs.MemoryStore(),
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


def measure() -> list[capacity_fit.Slope]:
    """Measure all slopes within one process."""
    return [
        *capacity_programs.program_slopes(),
        *scheduler_slopes(),
        *membership_slopes(),
        *configuration_slopes(),
        *capacity_messages.heartbeat_slopes(),
        *capacity_messages.report_slopes(),
    ]


if __name__ == "__main__":
    for found in measure():
        print(found)
