"""Target size in two years, and the load that the slopes predict for it."""

from __future__ import annotations

import json
import math
import pathlib
from typing import Any, NamedTuple

import capacity_fit

ROOT = pathlib.Path(__file__).resolve().parent.parent
RELAY = ROOT / "measurements" / "relay.json"

NODES = 350
SERVERS = 7_700
REQUESTS_PER_S = 21_000
TOKENS_PER_S = 7_000_000
PROGRAMS = 270_000
TURNS = 100
HISTORY_TOKENS = 130_000
MODELS = 26
REGIONS = 8
DOMAINS = 29
EDITS_PER_DAY = 22_000
FAILURES_PER_DAY = 120
RESTARTS_PER_DAY = 2_600
PARTITIONS = 4_096
DAY_S = 86_400
SIZES = (
    ("nodes", "350"),
    ("backend servers", "7,700"),
    ("accelerators", "31,000"),
    ("requests at the peak", "21,000 requests/s"),
    ("generated tokens at the peak", "7 million tokens/s"),
    ("programs under way", "270,000"),
    ("turns of a program", "up to 100"),
    ("history of a program", "up to 130,000 tokens"),
    ("workspaces", "4,500"),
    ("models", "26"),
    ("regions", "8"),
    ("failure domains", "29"),
    ("configuration changes", "22,000 a day"),
    ("a change is in force everywhere within", "9 s"),
    ("host failures", "120 a day"),
    ("hosts restarted or replaced", "2,600 a day"),
    ("a rack or switch fails", "every week"),
    ("a failure domain fails", "a few times a year"),
    ("regions cut off from each other", "for minutes, several times a year"),
)
MAX_CPU_PERCENT = 2.1
MAX_MEMORY_MB = 32.0
MAX_TRAFFIC_KB_PER_S = 7.0
# The limit is "several hundred" writes; 300 is the strictest reading.
MAX_STORE_WRITES_PER_S = 300.0
MAX_STORE_READS_PER_S = 2_000.0

WATCHED_PEERS = 4
HEARTBEATS_PER_S = 2 * WATCHED_PEERS
# A member receives as many heartbeats as it sends, and each has a response.
MESSAGES_PER_S = 2 * HEARTBEATS_PER_S
HEARTBEAT_BYTES_PER_S = 2_000
MAINTAIN_ROUNDS_PER_S = 5
STATE_CHANGES_PER_EVENT = 3
FOLLOWED_SERVERS = 64
MAP_READS_PER_S = 0.2
COMMITS_PER_S = 3.5
COMMITTER_COMMITS_PER_S = 10
WATCHERS = 2 * DOMAINS
WATCHES_PER_S = 0.25
BYTES_PER_TOKEN = 4
ADDRESS_TTL_S = 5
PROGRAM_ADDRESS_TTL_S = 30
SUBSET_SIZE = 64

REGION_NODES = math.ceil(NODES / REGIONS)
REGION_SERVERS = math.ceil(SERVERS / REGIONS)
REGION_PARTITIONS = PARTITIONS // REGIONS
PROGRAMS_PER_NODE = PROGRAMS / NODES
EDITS_PER_S = EDITS_PER_DAY / DAY_S
MEMBER_EVENTS_PER_S = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S


class NodeLoad(NamedTuple):
    """Load of one mechanism on a node, now and after a design change.

    CPU is in percent of one core; traffic is the sum of both directions.
    """

    name: str
    mechanism: str
    cpu_percent: float
    traffic_kb_per_s: float
    memory_mb: float
    change: str
    cpu_percent_after: float
    traffic_kb_per_s_after: float
    memory_mb_after: float


class StoreLoad(NamedTuple):
    """Calls per second to the key-value service, now and after a change."""

    name: str
    writes: float
    reads: float
    change: str
    writes_after: float
    reads_after: float


Slopes = dict[str, capacity_fit.Slope]


def _percent(us: float, per_s: float) -> float:
    return us * per_s / 1e4


def map_changes_per_s(nodes: int, partitions: int, events: float) -> float:
    """Return the map changes per second if each partition moves separately.

    A restart moves the node's partitions away and back. Joining, leaving and
    the state in between add three changes.
    """
    moved = 2 * partitions / nodes + STATE_CHANGES_PER_EVENT
    return moved * events


def node_loads(slopes: Slopes) -> list[NodeLoad]:
    """Return the control-plane loads of a node."""
    map_changes = map_changes_per_s(NODES, PARTITIONS, MEMBER_EVENTS_PER_S)
    region_changes = map_changes_per_s(
        REGION_NODES, REGION_PARTITIONS, MEMBER_EVENTS_PER_S / REGIONS
    )
    map_kb = slopes["map_bytes"].at(PARTITIONS) / 1e3
    map_step_kb = 0.2
    set_members_cpu = slopes["follow_cpu"]
    heartbeat_us = slopes["heartbeat_cpu"].start
    heartbeat_kb = slopes["heartbeat_bytes"].start / 1e3
    change_cpu = slopes["change_cpu"]
    report_us = slopes["report_cpu"].slope
    report_kb = slopes["report_bytes"].slope / 1e3
    member_changes = 2 * MEMBER_EVENTS_PER_S
    return [
        NodeLoad(
            "heartbeats",
            "membership: 4 watched peers, every 500 ms, in gRPC",
            _percent(heartbeat_us, HEARTBEATS_PER_S),
            heartbeat_kb * MESSAGES_PER_S + 2 * HEARTBEAT_BYTES_PER_S / 1e3,
            0.0,
            "one process a node sends them, to 3 peers; 500 B/s of states",
            _percent(heartbeat_us, HEARTBEATS_PER_S * 3 / 4),
            heartbeat_kb * MESSAGES_PER_S * 3 / 4 + 2 * 0.5,
            0.0,
        ),
        NodeLoad(
            "server states and shares in heartbeats",
            "policy.update_peer_shares and shares, "
            "membership.states_for_heartbeat",
            _percent(
                slopes["peer_shares_cpu"].at(SERVERS)
                + slopes["own_shares_cpu"].at(SERVERS)
                + slopes["states_cpu"].at(SERVERS),
                MESSAGES_PER_S,
            ),
            0.0,
            0.0,
            f"a node knows a subset of {SUBSET_SIZE} servers; a heartbeat "
            "updates the servers that it names, once a second",
            _percent(
                slopes["own_shares_cpu"].at(SUBSET_SIZE)
                + slopes["states_cpu"].at(SUBSET_SIZE)
                + slopes["peer_shares_cpu"].slope * 16,
                2.0,
            ),
            0.0,
            0.0,
        ),
        NodeLoad(
            "load reports",
            f"membership.load_watch: {FOLLOWED_SERVERS} servers read "
            "every 1 s",
            _percent(report_us, FOLLOWED_SERVERS),
            report_kb * FOLLOWED_SERVERS,
            0.0,
            "one follower a server in place of three, and a read each 4 s "
            "(within the 5 s of R8)",
            _percent(report_us, SERVERS / NODES / 4),
            report_kb * SERVERS / NODES / 4,
            0.0,
        ),
        NodeLoad(
            "changes of the partition map",
            "GetMap: each version whole, to every member",
            _percent(slopes["map_decode_cpu"].at(PARTITIONS), map_changes),
            map_kb * map_changes,
            slopes["map_memory"].at(PARTITIONS) / 1e6,
            "one map a region, partitions moved together, steps of about "
            "200 B in place of the whole map",
            _percent(
                slopes["map_decode_cpu"].at(REGION_PARTITIONS),
                region_changes,
            ),
            map_step_kb * region_changes,
            slopes["map_memory"].at(REGION_PARTITIONS) / 1e6,
        ),
        NodeLoad(
            "sharing servers out among members",
            "membership.set_members: a hash for each server and member, at "
            "each change of members",
            _percent(set_members_cpu.at(SERVERS * NODES), member_changes),
            0.0,
            0.0,
            "servers and members of one region",
            _percent(
                set_members_cpu.at(REGION_SERVERS * REGION_NODES),
                member_changes / REGIONS,
            ),
            0.0,
            0.0,
        ),
        NodeLoad(
            "configuration changes",
            "configuration.take and ServerPools.apply_document: all servers "
            "at each change",
            _percent(change_cpu.at(SERVERS), EDITS_PER_S),
            slopes["step_bytes"].at(SERVERS) * 5 / 1e3 * EDITS_PER_S,
            slopes["document_memory"].at(SERVERS) / 1e6,
            "changes in batches of 2 s; a pool is taken over only if its "
            "section changed, and in the regions that it serves",
            _percent(
                slopes["digest_cpu"].at(REGION_SERVERS)
                + change_cpu.slope * SERVERS / MODELS / REGIONS,
                EDITS_PER_S,
            ),
            slopes["step_bytes"].at(SERVERS) * 5 / 1e3 * EDITS_PER_S,
            slopes["document_memory"].at(REGION_SERVERS) / 1e6,
        ),
        NodeLoad(
            "upkeep of programs",
            "state.maintain: all programs, 5 times a second",
            _percent(
                slopes["maintain_cpu"].at(PROGRAMS_PER_NODE),
                MAINTAIN_ROUNDS_PER_S,
            ),
            0.0,
            slopes["program_memory"].slope * PROGRAMS_PER_NODE / 1e6,
            "once a second, and a heap of end times in place of a scan",
            _percent(slopes["maintain_cpu"].at(PROGRAMS_PER_NODE), 1),
            0.0,
            slopes["program_memory"].slope * PROGRAMS_PER_NODE / 1e6,
        ),
    ]


def store_loads(slopes: Slopes) -> list[StoreLoad]:
    """Return the loads on the key-value service."""
    map_changes = map_changes_per_s(NODES, PARTITIONS, MEMBER_EVENTS_PER_S)
    reads_per_watcher = 2 * WATCHES_PER_S
    return [
        StoreLoad(
            "journal commits",
            COMMITS_PER_S * NODES,
            0.0,
            "one committer a failure domain, 10 commits/s",
            float(COMMITTER_COMMITS_PER_S * DOMAINS),
            0.0,
        ),
        StoreLoad(
            "partition maps",
            map_changes,
            MAP_READS_PER_S * NODES + map_changes,
            "one map a region; partitions moved together; two readers a "
            "failure domain, the others ask peers",
            4 * MEMBER_EVENTS_PER_S,
            MAP_READS_PER_S * WATCHERS + 4 * MEMBER_EVENTS_PER_S,
        ),
        StoreLoad(
            "configuration",
            EDITS_PER_S,
            WATCHERS * (reads_per_watcher + EDITS_PER_S) + EDITS_PER_S * 3,
            "as it is: two watchers a failure domain",
            EDITS_PER_S,
            WATCHERS * (reads_per_watcher + EDITS_PER_S) + EDITS_PER_S * 3,
        ),
        StoreLoad(
            "joins as measured, with map and journal",
            slopes["join_writes"].points[-1][1] * MEMBER_EVENTS_PER_S,
            slopes["join_reads"].points[-1][1] * MEMBER_EVENTS_PER_S,
            "a node joins through its committer",
            2 * MEMBER_EVENTS_PER_S,
            5 * MEMBER_EVENTS_PER_S,
        ),
    ]


def role_rows(slopes: Slopes, work: dict[str, Any]) -> list[list[str]]:
    """Return a table row per role: state, messages, CPU time and memory."""
    relay = json.loads(RELAY.read_text(encoding="utf-8"))
    chunk_us = relay["50"]["relayed"]["entry_cpu_us_per_chunk"]
    chunks = TOKENS_PER_S / NODES
    request_ms = work["grouped"]["middle"]["entry_cpu_ms_per_request"]
    requests = REQUESTS_PER_S / NODES
    relay_cores = chunks * chunk_us / 1e6
    request_cores = requests * request_ms / 1e3
    history_bytes = HISTORY_TOKENS * BYTES_PER_TOKEN
    turn_bytes_held = slopes["turn_memory"].slope - 1_000
    program_mb = (history_bytes + TURNS * turn_bytes_held) / 1e6
    node_gb = program_mb * PROGRAMS_PER_NODE / 1e3
    turn_bytes = history_bytes / TURNS
    history_gb = history_bytes * PROGRAMS / 1e9
    body_mb_s = turn_bytes * REQUESTS_PER_S / 1e6
    rows = store_loads(slopes)
    writes = sum(row.writes_after for row in rows)
    reads = sum(row.reads_after for row in rows)
    lookups = PROGRAMS / ADDRESS_TTL_S / NODES
    lookups_long_ttl = PROGRAMS / PROGRAM_ADDRESS_TTL_S / NODES
    lookup_us = slopes["lookup_cpu"].start + slopes["address_cpu"].at(NODES)
    message_us = slopes["heartbeat_cpu"].start / 2
    copies = 2
    body_writes = REQUESTS_PER_S * copies / DOMAINS
    return [
        [
            "entry process (a node)",
            f"{PROGRAMS_PER_NODE:.0f} programs, map, servers",
            f"{requests:.0f} requests/s, {chunks:,.0f} chunks/s at one token "
            "a chunk",
            f"{request_cores:.2f} cores for requests, {relay_cores:.1f} cores "
            f"for chunks at {chunk_us} us",
            f"{node_gb:.2f} GB of programs with whole histories",
        ],
        [
            "operator command",
            "none",
            f"{EDITS_PER_S:.2f} edits/s",
            f"{slopes['change_cpu'].at(SERVERS) / 1e3:.0f} ms an edit at "
            "most (check of the document)",
            f"{slopes['document_memory'].at(SERVERS) / 1e6:.0f} MB of "
            "document",
        ],
        [
            "caller's lookup",
            "one address a program",
            f"{lookups:.0f} answers/s a node at 5 s of validity; "
            f"{lookups_long_ttl:.0f} at 30 s",
            f"{_percent(lookup_us, lookups):.1f}% of a core; "
            f"{_percent(lookup_us, lookups_long_ttl):.1f}% at 30 s",
            "none kept",
        ],
        [
            "key-value service",
            f"{history_gb:.0f} GB with message bodies; without, records only",
            f"{writes:.0f} writes/s, {reads:.0f} reads/s after the changes",
            "the platform's, not measured",
            "the platform's, not measured",
        ],
        [
            "data host",
            f"{history_gb * copies / DOMAINS:.1f} GB on each of {DOMAINS}, "
            "two copies",
            f"{body_writes:.0f} bodies/s, "
            f"{body_mb_s * copies / DOMAINS:.1f} MB/s each",
            f"{body_writes * message_us / 1e6:.2f} cores for messages alone",
            "index of digests: about "
            f"{PROGRAMS * TURNS * copies / DOMAINS * 100 / 1e6:.0f} MB at "
            "100 B an entry",
        ],
    ]
