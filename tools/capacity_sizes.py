"""Two-year size, and what the measured slopes come to at it."""

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
CHANGES_PER_DAY = 22_000
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
CPU_LIMIT_PERCENT = 2.1
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT_KB_S = 7.0
# "Several hundred" is taken as 300, the lowest reading of it.
STORE_WRITES_LIMIT = 300.0
STORE_READS_LIMIT = 2_000.0

WATCHED = 4
HEARTBEATS_PER_S = 2 * WATCHED
# A member sends as many as it gets, and each has an answer.
MESSAGES_PER_S = 2 * HEARTBEATS_PER_S
CONTENT_BYTES_PER_S = 2_000
TICKS_PER_S = 5
REBALANCE_CHANGES = 3
FOLLOWED = 64
MAP_READS_PER_S = 0.2
COMMITS_PER_S = 3.5
COMMITTER_PER_S = 10
WATCHERS = 2 * DOMAINS
WATCH_PER_S = 0.25
BYTES_PER_TOKEN = 4
ADDRESS_VALID_S = 5
PROGRAM_VALID_S = 30
SUBSET = 64

REGION_NODES = math.ceil(NODES / REGIONS)
REGION_SERVERS = math.ceil(SERVERS / REGIONS)
REGION_PARTITIONS = PARTITIONS // REGIONS
PROGRAMS_PER_NODE = PROGRAMS / NODES
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
EVENTS_PER_S = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S


class Term(NamedTuple):
    """One load of a node, as the code is and after a change of design.

    CPU in percent of a core, bytes in KB/s sent and received, memory in MB.
    """

    name: str
    mechanism: str
    cpu: float
    bytes: float
    memory: float
    change: str
    cpu_after: float
    bytes_after: float
    memory_after: float


class Row(NamedTuple):
    """Calls a second at the key-value service."""

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
    """Return the changes of a map: each partition moves by itself.

    A restart moves the node's partitions away and back; entering, leaving
    and the state between are three more changes.
    """
    moved = 2 * partitions / nodes + REBALANCE_CHANGES
    return moved * events


def node_terms(found: Slopes) -> list[Term]:
    """Return the control loads of a node."""
    whole = map_changes_per_s(NODES, PARTITIONS, EVENTS_PER_S)
    region = map_changes_per_s(
        REGION_NODES, REGION_PARTITIONS, EVENTS_PER_S / REGIONS
    )
    map_kb = found["map_bytes"].at(PARTITIONS) / 1e3
    step_kb = 0.2
    follow = found["follow_cpu"]
    beats = found["heartbeat_cpu"].start
    beat_kb = found["heartbeat_bytes"].start / 1e3
    change = found["change_cpu"]
    report_us = found["report_cpu"].slope
    report_kb = found["report_bytes"].slope / 1e3
    member_changes = 2 * EVENTS_PER_S
    return [
        Term(
            "heartbeats",
            "membership: 4 watched peers, every 500 ms, in gRPC",
            _percent(beats, HEARTBEATS_PER_S),
            beat_kb * MESSAGES_PER_S + 2 * CONTENT_BYTES_PER_S / 1e3,
            0.0,
            "one process a node sends them, to 3 peers; 500 B/s of states",
            _percent(beats, HEARTBEATS_PER_S * 3 / 4),
            beat_kb * MESSAGES_PER_S * 3 / 4 + 2 * 0.5,
            0.0,
        ),
        Term(
            "server states and shares in heartbeats",
            "policy.update_peer_shares and shares, "
            "membership.states_for_heartbeat",
            _percent(
                found["peer_shares_cpu"].at(SERVERS)
                + found["own_shares_cpu"].at(SERVERS)
                + found["states_cpu"].at(SERVERS),
                MESSAGES_PER_S,
            ),
            0.0,
            0.0,
            f"a node knows a subset of {SUBSET} servers; a heartbeat updates "
            "the servers that it names, once a second",
            _percent(
                found["own_shares_cpu"].at(SUBSET)
                + found["states_cpu"].at(SUBSET)
                + found["peer_shares_cpu"].slope * 16,
                2.0,
            ),
            0.0,
            0.0,
        ),
        Term(
            "load reports",
            f"membership.load_watch: {FOLLOWED} servers read every 1 s",
            _percent(report_us, FOLLOWED),
            report_kb * FOLLOWED,
            0.0,
            "one follower a server in place of three, and a read each 4 s "
            "(within the 5 s of R8)",
            _percent(report_us, SERVERS / NODES / 4),
            report_kb * SERVERS / NODES / 4,
            0.0,
        ),
        Term(
            "changes of the partition map",
            "GetMap: each version whole, to every member",
            _percent(found["map_decode_cpu"].at(PARTITIONS), whole),
            map_kb * whole,
            found["map_memory"].at(PARTITIONS) / 1e6,
            "one map a region, partitions moved together, steps of about "
            "200 B in place of the whole map",
            _percent(found["map_decode_cpu"].at(REGION_PARTITIONS), region),
            step_kb * region,
            found["map_memory"].at(REGION_PARTITIONS) / 1e6,
        ),
        Term(
            "sharing servers out among members",
            "membership.set_members: a hash for each server and member, at "
            "each change of members",
            _percent(follow.at(SERVERS * NODES), member_changes),
            0.0,
            0.0,
            "servers and members of one region",
            _percent(
                follow.at(REGION_SERVERS * REGION_NODES),
                member_changes / REGIONS,
            ),
            0.0,
            0.0,
        ),
        Term(
            "configuration changes",
            "configuration.take and ServerPools.apply_document: all servers "
            "at each change",
            _percent(change.at(SERVERS), CHANGES_PER_S),
            found["step_bytes"].at(SERVERS) * 5 / 1e3 * CHANGES_PER_S,
            found["document_memory"].at(SERVERS) / 1e6,
            "changes in batches of 2 s; a pool is taken over only if its "
            "section changed, and in the regions that it serves",
            _percent(
                found["digest_cpu"].at(REGION_SERVERS)
                + change.slope * SERVERS / MODELS / REGIONS,
                CHANGES_PER_S,
            ),
            found["step_bytes"].at(SERVERS) * 5 / 1e3 * CHANGES_PER_S,
            found["document_memory"].at(REGION_SERVERS) / 1e6,
        ),
        Term(
            "upkeep of programs",
            "state.maintain: all programs, 5 times a second",
            _percent(found["maintain_cpu"].at(PROGRAMS_PER_NODE), TICKS_PER_S),
            0.0,
            found["program_memory"].slope * PROGRAMS_PER_NODE / 1e6,
            "once a second, and a heap of end times in place of a scan",
            _percent(found["maintain_cpu"].at(PROGRAMS_PER_NODE), 1),
            0.0,
            found["program_memory"].slope * PROGRAMS_PER_NODE / 1e6,
        ),
    ]


def store_rows(found: Slopes) -> list[Row]:
    """Return the loads of the key-value service."""
    whole = map_changes_per_s(NODES, PARTITIONS, EVENTS_PER_S)
    reads_each_watch = 2 * WATCH_PER_S
    return [
        Row(
            "journal commits",
            COMMITS_PER_S * NODES,
            0.0,
            "one committer a failure domain, 10 commits/s",
            float(COMMITTER_PER_S * DOMAINS),
            0.0,
        ),
        Row(
            "partition maps",
            whole,
            MAP_READS_PER_S * NODES + whole,
            "one map a region; partitions moved together; two readers a "
            "failure domain, the others ask peers",
            4 * EVENTS_PER_S,
            MAP_READS_PER_S * WATCHERS + 4 * EVENTS_PER_S,
        ),
        Row(
            "configuration",
            CHANGES_PER_S,
            WATCHERS * (reads_each_watch + CHANGES_PER_S) + CHANGES_PER_S * 3,
            "as it is: two watchers a failure domain",
            CHANGES_PER_S,
            WATCHERS * (reads_each_watch + CHANGES_PER_S) + CHANGES_PER_S * 3,
        ),
        Row(
            "joins as measured, with map and journal",
            found["join_writes"].points[-1][1] * EVENTS_PER_S,
            found["join_reads"].points[-1][1] * EVENTS_PER_S,
            "a node joins through its committer",
            2 * EVENTS_PER_S,
            5 * EVENTS_PER_S,
        ),
    ]


def roles(found: Slopes, work: dict[str, Any]) -> list[list[str]]:
    """Return state, messages, CPU and memory of each role."""
    relay = json.loads(RELAY.read_text(encoding="utf-8"))
    chunk_us = relay["50"]["relayed"]["entry_cpu_us_per_chunk"]
    chunks = TOKENS_PER_S / NODES
    request_ms = work["grouped"]["middle"]["entry_cpu_ms_per_request"]
    requests = REQUESTS_PER_S / NODES
    relay_cores = chunks * chunk_us / 1e6
    request_cores = requests * request_ms / 1e3
    history_bytes = HISTORY_TOKENS * BYTES_PER_TOKEN
    per_turn = found["turn_memory"].slope - 1_000
    program_mb = (history_bytes + TURNS * per_turn) / 1e6
    node_gb = program_mb * PROGRAMS_PER_NODE / 1e3
    turn_bytes = history_bytes / TURNS
    live_gb = history_bytes * PROGRAMS / 1e9
    body_mb_s = turn_bytes * REQUESTS_PER_S / 1e6
    rows = store_rows(found)
    writes = sum(row.writes_after for row in rows)
    reads = sum(row.reads_after for row in rows)
    lookups = PROGRAMS / ADDRESS_VALID_S / NODES
    later = PROGRAMS / PROGRAM_VALID_S / NODES
    lookup_us = found["lookup_cpu"].start + found["address_cpu"].at(NODES)
    message_us = found["heartbeat_cpu"].start / 2
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
            f"{CHANGES_PER_S:.2f} edits/s",
            f"{found['change_cpu'].at(SERVERS) / 1e3:.0f} ms an edit at most "
            "(check of the document)",
            f"{found['document_memory'].at(SERVERS) / 1e6:.0f} MB of document",
        ],
        [
            "caller's lookup",
            "one address a program",
            f"{lookups:.0f} answers/s a node at 5 s of validity; "
            f"{later:.0f} at 30 s",
            f"{_percent(lookup_us, lookups):.1f}% of a core; "
            f"{_percent(lookup_us, later):.1f}% at 30 s",
            "none kept",
        ],
        [
            "key-value service",
            f"{live_gb:.0f} GB with message bodies; without, records only",
            f"{writes:.0f} writes/s, {reads:.0f} reads/s after the changes",
            "the platform's, not measured",
            "the platform's, not measured",
        ],
        [
            "data host",
            f"{live_gb * copies / DOMAINS:.1f} GB on each of {DOMAINS}, two "
            "copies",
            f"{body_writes:.0f} bodies/s, "
            f"{body_mb_s * copies / DOMAINS:.1f} MB/s each",
            f"{body_writes * message_us / 1e6:.2f} cores for messages alone",
            "index of digests: about "
            f"{PROGRAMS * TURNS * copies / DOMAINS * 100 / 1e6:.0f} MB at "
            "100 B an entry",
        ],
    ]
