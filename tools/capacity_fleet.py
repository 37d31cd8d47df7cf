"""Measure entry processes that run with stand-ins, and the store's load."""

from __future__ import annotations

import concurrent.futures
import datetime as dt
import itertools
import json
import statistics
import subprocess
import threading
import time
from typing import Any, NamedTuple

import capacity_fit
import psutil
import urllib3

from balsamloom_standins import deployments, fleet, load

fit = capacity_fit.fit

PROCESS_COUNTS = (2, 4, 8, 16, 24)
# Number of processes at which one is killed. Larger numbers may fail, because
# the host shares its threads and cores with other work.
KILL_PROCESS_COUNT = 16
IDLE_S = 5.0
EDITS = 4
LOOKUP_COUNT = 300
PROPAGATION_TIMEOUT_S = 9.0
IN_FORCE_EVENT = "configuration_in_force"
STABLE_MAP_S = 1.5
LOAD_ENTRIES = 8
LOAD_PROCESSES = 4
# Requests per second for each process, and the seconds of program arrivals.
REQUEST_RATES = {
    "grouped": {"low": (5, 8), "middle": (20, 8), "full": (60, 20)},
    "ungrouped": {"low": (5, 8)},
}
SAMPLE_INTERVAL_S = 0.5
# Mean requests per program in the load tool's mix for this customer: start,
# 2.9 model calls, as many tool calls, end.
REQUESTS_PER_PROGRAM = 7.875
WARMUP_S = 2
UNGROUPED_COMMITS = {"commits_per_s": 100.0, "commit_burst": 100}
GROWTH_SHAPE = deployments.RESTWELL._replace(
    engine_options=(("--token-ms", "2"),), tool_count=1, entry_count=2
)
LOAD_SHAPE = deployments.RESTWELL._replace(
    entry_count=LOAD_ENTRIES,
    engine_options=(("--token-ms", "2", "--slots", "200"),) * 4,
    tool_count=2,
)


class ResourceUsage(NamedTuple):
    """Mean CPU time and resident memory per process."""

    cpu_s: float
    rss_bytes: float


class LoadDeployment(deployments.Deployment):
    """Deployment whose servers accept enough concurrent calls for the load."""

    def sections(self) -> dict[str, dict[str, Any]]:
        """Return the sections with a higher concurrency of each server."""
        sections = super().sections()
        for name, section in sections.items():
            if name.startswith(("models/", "services/")):
                for pool in section.values():
                    for server in pool["servers"]:
                        server["concurrency"] = 200
        return sections


def _mean_usage(entries: list[fleet.Process]) -> ResourceUsage:
    cpu, rss = [], []
    for entry in entries:
        process = psutil.Process(entry.pid)
        times = process.cpu_times()
        cpu.append(times.user + times.system)
        rss.append(process.memory_info().rss)
    return ResourceUsage(statistics.fmean(cpu), statistics.fmean(rss))


def _store_calls(deployment: deployments.Deployment) -> dict[str, int]:
    found = deployment.store.request("GET", "/stats")
    return {kind: found[kind] for kind in ("reads", "writes", "watches")}


def _map_version(deployment: deployments.Deployment) -> int:
    status = deployment.status(deployment.live_entries()[0])
    return int(status["map_version"])


def _wait_for_stable_map(deployment: deployments.Deployment) -> None:
    """Wait until the map has not changed for ``STABLE_MAP_S``."""
    deployment.wait_ready()
    seen, since_s = -1, time.monotonic()
    while time.monotonic() - since_s < STABLE_MAP_S:
        version = _map_version(deployment)
        if version != seen:
            seen, since_s = version, time.monotonic()
        time.sleep(0.1)


def _add_entries(
    deployment: deployments.Deployment, count: int
) -> dict[str, float]:
    """Start processes up to a total count and return the cost of the joins."""
    existing = deployment.live_entries()
    before = _map_version(deployment) if existing else 0
    used = _mean_usage(existing) if existing else ResourceUsage(0, 0)
    calls = _store_calls(deployment)
    start_s = time.monotonic()
    numbers = range(len(existing), count)
    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        list(executor.map(deployment.add_entry, numbers))
    _wait_for_stable_map(deployment)
    spent_s = time.monotonic() - start_s - STABLE_MAP_S
    after = _store_calls(deployment)
    joins = len(numbers)
    map_changes = _map_version(deployment) - before
    cpu_s = _mean_usage(existing).cpu_s - used.cpu_s if existing else 0.0
    return {
        "joins": joins,
        "map_changes": map_changes,
        "map_changes_per_join": map_changes / joins,
        "store_writes_per_join": (after["writes"] - calls["writes"]) / joins,
        "store_reads_per_join": (after["reads"] - calls["reads"]) / joins,
        "former_cpu_ms": cpu_s * 1_000,
        "settle_s": spent_s,
    }


def _heartbeats_sent(entry: fleet.Process) -> int:
    dump = entry.request("GET", "/v1/dump")
    counts = dump["session"]["liveness"]["messages"]
    return int(counts.get("heartbeats", 0))


def _measure_idle(deployment: deployments.Deployment) -> dict[str, float]:
    entries = deployment.live_entries()
    sent_before = [_heartbeats_sent(entry) for entry in entries]
    calls, used = _store_calls(deployment), _mean_usage(entries)
    start_s = time.monotonic()
    time.sleep(IDLE_S)
    spent_s = time.monotonic() - start_s
    now, used_now = _store_calls(deployment), _mean_usage(entries)
    sent = [
        _heartbeats_sent(entry) - before
        for entry, before in zip(entries, sent_before, strict=True)
    ]
    return {
        "cpu_percent": 100 * (used_now.cpu_s - used.cpu_s) / spent_s,
        "rss_mb": used_now.rss_bytes / 1e6,
        "heartbeats_per_s": statistics.fmean(sent) / spent_s,
        **{
            f"store_{kind}_per_s": (now[kind] - calls[kind]) / spent_s
            for kind in now
        },
    }


def _lookup_us(entry: fleet.Process) -> float:
    """Return the CPU time of an entry process per address lookup."""
    used = _mean_usage([entry])
    with urllib3.PoolManager(retries=False) as pool:
        for _ in range(LOOKUP_COUNT):
            pool.request(
                "GET",
                f"http://{entry.address}/v1/address",
                fields={"customer": GROWTH_SHAPE.customer},
            )
    return 1e6 * (_mean_usage([entry]).cpu_s - used.cpu_s) / LOOKUP_COUNT


def _in_force_since_s(entry: fleet.Process, revision: int) -> float | None:
    """Return when a process logged that a revision or a later one applies."""
    with entry.log_path.open(encoding="utf-8") as log:
        for line in log:
            if IN_FORCE_EVENT not in line:
                continue
            event = json.loads(line)
            if event["revision"] >= revision:
                at = dt.datetime.strptime(
                    event["asctime"], "%Y-%m-%d %H:%M:%S,%f"
                )
                return at.timestamp()
    return None


def _measure_edits(
    deployment: deployments.Deployment,
) -> dict[str, float]:
    """Apply edits and measure how long until all processes use them."""
    entries = deployment.live_entries()
    calls = _store_calls(deployment)
    slowest, apply_ms = [], []
    for number in range(EDITS):
        start_s = time.time()
        content: dict[str, Any] = {f"spread-{len(entries)}-{number}": {}}
        revision = deployment.apply("customers/spread", content)
        applied_s = time.time()
        apply_ms.append((applied_s - start_s) * 1_000)
        end_s = applied_s + PROPAGATION_TIMEOUT_S
        while True:
            found = [_in_force_since_s(entry, revision) for entry in entries]
            known = [at_s for at_s in found if at_s is not None]
            if len(known) == len(entries):
                break
            if time.time() > end_s:
                raise RuntimeError(
                    f"revision {revision} is in force in {len(known)} of "
                    f"{len(entries)} processes after {PROPAGATION_TIMEOUT_S} s"
                )
            time.sleep(0.05)
        slowest.append((max(known) - applied_s) * 1_000)
    after = _store_calls(deployment)
    return {
        "apply_ms": statistics.median(apply_ms),
        "spread_median_ms": statistics.median(slowest),
        "spread_max_ms": max(slowest),
        "store_writes_per_edit": (after["writes"] - calls["writes"]) / EDITS,
    }


def _measure_loss(
    deployment: deployments.Deployment,
) -> dict[str, float]:
    """Kill a process and measure the takeover of its partitions."""
    before, calls = _map_version(deployment), _store_calls(deployment)
    lost = deployment.live_entries()[-1]
    left = len(deployment.live_entries()) - 1
    lost.kill()
    entries = deployment.live_entries()

    def is_taken_over() -> bool:
        found = [deployment.status(entry) for entry in entries]
        return (
            all(status.get("members") == left for status in found)
            and sum(status.get("partitions", 0) for status in found) == 256
        )

    spent_ms = deployment.wait_until(is_taken_over, "partitions are served")
    _wait_for_stable_map(deployment)
    after = _store_calls(deployment)
    return {
        "members": left + 1,
        "takeover_ms": spent_ms,
        "map_changes": _map_version(deployment) - before,
        "store_writes": after["writes"] - calls["writes"],
    }


def measure_growth() -> dict[str, Any]:
    """Measure a growing fleet: joins, idle load, edits and one loss."""
    found: dict[str, Any] = {"stages": [], "not_reached": ""}
    with fleet.Fleet() as running:
        shape = GROWTH_SHAPE._replace(entry_count=0)
        deployment = deployments.Deployment(running, shape)
        for name, content in deployment.sections().items():
            deployment.apply(name, content)
        for count in PROCESS_COUNTS:
            try:
                found["stages"].append(_measure_stage(deployment, count))
            except (RuntimeError, TimeoutError, urllib3.exceptions.HTTPError):
                if count <= KILL_PROCESS_COUNT:
                    raise
                found["not_reached"] = f"{count} processes"
            if count == KILL_PROCESS_COUNT:
                found["loss"] = _measure_loss(deployment)
    return found


def _measure_stage(
    deployment: deployments.Deployment, count: int
) -> dict[str, Any]:
    return {
        "processes": count,
        "join": _add_entries(deployment, count),
        "idle": _measure_idle(deployment),
        "edit": _measure_edits(deployment),
        "lookup": {"cpu_us": _lookup_us(deployment.entries[0])},
    }


def growth_slopes(stages: list[dict[str, Any]]) -> list[capacity_fit.Slope]:
    """Fit each quantity of the stages against the number of processes.

    :param stages: stages returned by :func:`measure_growth`.
    """
    quantities = (
        ("idle_cpu", "idle", "cpu_percent", "% of a core, each"),
        ("idle_rss", "idle", "rss_mb", "MB resident, each"),
        ("idle_heartbeats", "idle", "heartbeats_per_s", "sent a s, each"),
        ("idle_reads", "idle", "store_reads_per_s", "reads a s, all"),
        ("idle_writes", "idle", "store_writes_per_s", "writes a s, all"),
        ("idle_watches", "idle", "store_watches_per_s", "watches a s, all"),
        ("edit_spread", "edit", "spread_median_ms", "ms until all have it"),
        ("edit_writes", "edit", "store_writes_per_edit", "writes an edit"),
        ("lookup_cpu", "lookup", "cpu_us", "us of CPU an answer"),
        ("join_versions", "join", "map_changes_per_join", "map changes"),
        ("join_writes", "join", "store_writes_per_join", "writes a join"),
        ("join_reads", "join", "store_reads_per_join", "reads a join"),
    )
    return [
        fit(
            name,
            "entry processes",
            unit,
            [(stage["processes"], stage[part][key]) for stage in stages],
        )
        for name, part, key, unit in quantities
    ]


def _run_load(
    deployment: LoadDeployment,
    requests_per_s: float,
    duration_s: int,
) -> list[dict[str, Any]]:
    """Run the load processes in parallel and return their summaries."""
    entries = deployment.live_entries()
    addresses = [
        part for entry in entries for part in ("--entry", entry.address)
    ]
    total = requests_per_s * len(entries) / REQUESTS_PER_PROGRAM
    rate = f"{total / LOAD_PROCESSES:.3f}x{duration_s}"
    command = str(fleet.COMMANDS / "balsamloom-standin")
    started = [
        subprocess.Popen(
            [command, "load", *addresses, "--rate", rate]
            + ["--customer", deployment.shape.customer, "--seed", str(seed)],
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in range(1, LOAD_PROCESSES + 1)
    ]
    found = []
    for process in started:
        output, _ = process.communicate()
        found.append(json.loads(output.splitlines()[-1]))
    return found


class StoreSampler:
    """Samples the store's call counts while a load runs.

    :param store: store stand-in.
    """

    def __init__(self, store: fleet.Process) -> None:
        self._store = store
        self._ended = threading.Event()
        self._samples: list[tuple[float, dict[str, int]]] = []
        self.failures = 0
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling."""
        self._ended.set()
        self._thread.join()

    def rates(self, from_s: float, to_s: float) -> dict[str, Any]:
        """Return the mean and maximum calls per second of each kind.

        :param from_s: start of the evaluated period, on the monotonic clock.
        :param to_s: end of that period.
        """
        found = [
            sample for sample in self._samples if from_s <= sample[0] <= to_s
        ]
        rates: dict[str, Any] = {}
        for kind in ("reads", "writes", "watches"):
            steps = [
                (later[kind] - before[kind]) / (later_s - before_s)
                for (before_s, before), (later_s, later) in itertools.pairwise(
                    found
                )
            ]
            count = found[-1][1][kind] - found[0][1][kind]
            mean = count / (found[-1][0] - found[0][0])
            rates[kind] = {"mean": mean, "max": max(steps)}
        return rates

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            try:
                found = self._store.request("GET", "/stats")
            except urllib3.exceptions.HTTPError:
                self.failures += 1
                continue
            self._samples.append((time.monotonic(), found))


def _measure_level(
    deployment: LoadDeployment,
    requests_per_s: float,
    duration_s: int,
) -> dict[str, Any]:
    entries = deployment.live_entries()
    used, start_s = _mean_usage(entries), time.monotonic()
    busy = psutil.cpu_times()
    sampler = StoreSampler(deployment.store)
    try:
        found = _run_load(deployment, requests_per_s, duration_s)
    finally:
        sampler.stop()
    spent_s = time.monotonic() - start_s
    now, busy_now = _mean_usage(entries), psutil.cpu_times()
    programs = sum(summary["programs"] for summary in found)
    completed = sum(summary["completed"] for summary in found)
    calls = completed * _calls_per_program(
        deployment, requests_per_s, duration_s
    )
    requests = calls + 2 * completed
    idle_s = busy_now.idle - busy.idle
    outcomes: dict[str, int] = {}
    for summary in found:
        for name, count in summary["outcomes"].items():
            outcomes[name] = outcomes.get(name, 0) + count
    return {
        "asked_requests_per_s": requests_per_s * len(entries),
        "arriving_s": duration_s,
        "arriving_requests_per_s": requests / duration_s,
        "made_requests_per_s": requests / spent_s,
        "calls_per_s": calls / spent_s,
        "programs": programs,
        "completed": completed,
        "outcomes": outcomes,
        "retries": sum(summary["retries"] for summary in found),
        "program_p50_ms": statistics.fmean(
            summary["latency_ms"]["p50"] for summary in found
        ),
        "program_p95_ms": statistics.fmean(
            summary["latency_ms"]["p95"] for summary in found
        ),
        "first_token_p50_ms": statistics.fmean(
            summary["first_token_ms"]["p50"] for summary in found
        ),
        "entry_cpu_percent": 100 * (now.cpu_s - used.cpu_s) / spent_s,
        "entry_cpu_ms_per_request": 1_000
        * (now.cpu_s - used.cpu_s)
        * len(entries)
        / requests,
        "entry_rss_mb": now.rss_bytes / 1e6,
        "machine_busy_percent": 100
        * (1 - idle_s / spent_s / (psutil.cpu_count() or 1)),
        "store_unanswered": sampler.failures,
        "store": sampler.rates(start_s + WARMUP_S, start_s + duration_s),
    }


def _calls_per_program(
    deployment: LoadDeployment,
    requests_per_s: float,
    duration_s: int,
) -> float:
    """Return the mean number of calls per program of the load."""
    total = requests_per_s * LOAD_ENTRIES / REQUESTS_PER_PROGRAM
    steps = [load.RateStep(total / LOAD_PROCESSES, duration_s * 1_000)]
    found = [
        len(plan.steps)
        for seed in range(1, LOAD_PROCESSES + 1)
        for plan in load.make_plans(
            seed, steps, customers=(deployment.shape.customer,)
        )
    ]
    return statistics.fmean(found)


def measure_load() -> dict[str, Any]:
    """Measure the store's load and the latency that commit grouping adds."""
    found: dict[str, Any] = {}
    cases: dict[str, dict[str, Any]] = {
        "grouped": {},
        "ungrouped": UNGROUPED_COMMITS,
    }
    for name, settings in cases.items():
        with fleet.Fleet() as running:
            deployment = LoadDeployment(running, LOAD_SHAPE, settings)
            deployment.start()
            _wait_for_stable_map(deployment)
            found[name] = {
                level: _measure_level(deployment, rate, duration_s)
                for level, (rate, duration_s) in REQUEST_RATES[name].items()
            }
    return found


if __name__ == "__main__":
    print(json.dumps(measure_growth(), indent=1))
    print(json.dumps(measure_load(), indent=1))
