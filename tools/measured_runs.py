"""Runs of ``make measure``: real processes, load and faults."""

from __future__ import annotations

import concurrent.futures
import json
import os
import pathlib
import sys
import threading
import time
from typing import Any, NamedTuple

import measured_scenarios as scenarios
import psutil

from balsamloom_standins import deployments, fleet, load

# Program latency includes the wait for a journal commit. At the default of
# 3.5 commits/s per process, that wait would hide the effect of the policy.
COMMITS_PER_S = 15.0
COMMIT_BURST = 15
TOOL_CONCURRENCY = 64
# The host limits the number of threads. With the stand-in's default of 640,
# ten engines could not be started beside other work.
ENGINE_THREADS = 200
HTTP_THREADS = 96
WARM_UP_SEED = 1_000
SETTLE_S = 0.3


class Run(NamedTuple):
    """Results of one run; ``cpu`` is in shares of one core."""

    scenario: str
    variant: str
    seed: int
    figures: dict[str, float]
    latencies_ms: list[float]
    outcomes: dict[str, int]
    retries: int
    duration_s: float
    cpu: dict[str, float]
    trace: dict[str, Any]


class MeasuredDeployment(deployments.Deployment):
    """A deployment with ten engines that are set up for a scenario."""

    scenario: scenarios.Scenario
    _warmed = False

    @classmethod
    def create(
        cls, running: fleet.Fleet, scenario: scenarios.Scenario
    ) -> MeasuredDeployment:
        """Start all processes of a scenario."""
        options = (
            *("--history", str(running.path / "history")),
            *("--cache-tokens", str(scenario.cache_tokens)),
            *("--threads", str(ENGINE_THREADS)),
        )
        shape = deployments.RESTWELL._replace(
            entry_count=scenario.entry_count,
            engine_options=(options,) * len(scenarios.TOKEN_TIME_FACTORS),
        )
        settings = {
            "commits_per_s": COMMITS_PER_S,
            "commit_burst": COMMIT_BURST,
            "http_threads": HTTP_THREADS,
        }
        deployment = cls(running, shape, settings)
        deployment.scenario = scenario
        for name, content in deployment.sections().items():
            deployment.apply(name, content)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            numbers = range(scenario.entry_count)
            list(pool.map(deployment.add_entry, numbers))
        deployment.wait_ready()
        return deployment

    def sections(self) -> dict[str, dict[str, Any]]:
        """Return configuration sections with the servers' concurrency."""
        sections = super().sections()
        models = sections[f"models/{self.shape.customer}"]
        for server in models[self.shape.model]["servers"]:
            server["concurrency"] = self.scenario.slots
        services = sections[f"services/{self.shape.customer}"]
        for server in services[self.shape.service]["servers"]:
            server["concurrency"] = TOOL_CONCURRENCY
        return sections

    def reset_engines(self) -> None:
        """Set the engines to the speeds of the scenario, not slowed."""
        for engine, factor in zip(
            self.engines, scenarios.TOKEN_TIME_FACTORS, strict=True
        ):
            control = {
                "token_ms": self.scenario.token_ms * factor,
                "prefill_ms": self.scenario.prefill_ms,
                "slots": self.scenario.slots,
                "load_delay_ms": self.scenario.load_delay_ms,
                "slowdown": 1.0,
            }
            engine.request("POST", "/control", control)

    def set_routing(self, values: dict[str, str]) -> None:
        """Apply routing settings and wait until all entry processes do."""
        revision = self.apply("routing", values)
        self.wait_until(
            lambda: all(
                self.status(entry).get("configuration_revision", 0) >= revision
                for entry in self.live_entries()
            ),
            "all entry processes use the variant",
        )

    def replace_killed(self) -> None:
        """Start a new entry process for each that was killed."""
        killed = [entry for entry in self.entries if not entry.is_running]
        for entry in killed:
            self.entries.remove(entry)
            self.add_entry(len(self.fleet.processes))
        self.wait_ready()

    def sum_engine_counts(self) -> dict[str, int]:
        """Return each counter summed over all engines."""
        found = [engine.request("GET", "/stats") for engine in self.engines]
        return {name: sum(stats[name] for stats in found) for name in found[0]}


class FaultInjector(threading.Thread):
    """Slows engines and kills an entry process at set times of a run.

    :param deployment: deployment under test.
    :param seed: seed of the run.
    :param kill_ms: time of the kill, or None for no kill.
    """

    def __init__(
        self, deployment: MeasuredDeployment, seed: int, kill_ms: float | None
    ) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._actions: list[tuple[float, int, float]] = []
        for slowdown in deployment.scenario.slowdowns(seed):
            start = (slowdown.start_ms, slowdown.engine, slowdown.factor)
            self._actions += [start, (slowdown.end_ms, slowdown.engine, 1.0)]
        if kill_ms is not None:
            self._actions.append((kill_ms, -1, 0.0))
        self._actions.sort()

    def run(self) -> None:
        """Inject each fault at its time."""
        start_s = time.monotonic()
        for at_ms, engine, factor in self._actions:
            time.sleep(max(start_s + at_ms / 1000 - time.monotonic(), 0))
            if engine < 0:
                self._deployment.live_entries()[0].kill()
                continue
            self._deployment.engines[engine].request(
                "POST", "/control", {"slowdown": factor}
            )


class CpuUsage:
    """CPU use of the processes since the object was created."""

    def __init__(self, deployment: MeasuredDeployment) -> None:
        groups = {
            "entry": deployment.live_entries(),
            "engine": deployment.engines,
            "store": [deployment.store],
        }
        self._groups = {
            name: [psutil.Process(running.pid) for running in group]
            for name, group in groups.items()
        }
        self._groups["load_tool"] = [psutil.Process(os.getpid())]
        self._start_s = time.monotonic()
        self._start_cpu_s = self._read_cpu_s()
        psutil.cpu_percent()

    def shares(self) -> dict[str, float]:
        """Return the maximum and sum per group, in shares of a core."""
        duration_s = time.monotonic() - self._start_s
        after = self._read_cpu_s()
        found = {"machine": psutil.cpu_percent() / 100}
        for name in self._groups:
            spent = [
                after[name][pid] - before_s
                for pid, before_s in self._start_cpu_s[name].items()
                if pid in after[name]
            ]
            found[f"{name}_max"] = max(spent) / duration_s
            found[f"{name}_sum"] = sum(spent) / duration_s
        return {name: round(value, 3) for name, value in found.items()}

    def _read_cpu_s(self) -> dict[str, dict[int, float]]:
        found: dict[str, dict[int, float]] = {}
        for name, processes in self._groups.items():
            found[name] = {}
            for process in processes:
                try:
                    times = process.cpu_times()
                except psutil.NoSuchProcess:
                    continue
                found[name][process.pid] = times.user + times.system
        return found


def run_scenario(
    scenario: scenarios.Scenario, seeds: list[int], path: pathlib.Path
) -> None:
    """Run both variants of a scenario on each seed.

    :param scenario: load, engines and faults.
    :param seeds: seeds of the runs.
    :param path: JSON file that is rewritten with all runs after each one.
    """
    runs = []
    with fleet.Fleet() as running:
        deployment = MeasuredDeployment.create(running, scenario)
        deployment.reset_engines()
        _warm_up(deployment)
        for index, seed in enumerate(seeds):
            variants = ["policy", "baseline"]
            # Alternate the order, so that a drift of the host's speed favours
            # neither variant.
            for variant in variants if index % 2 == 0 else variants[::-1]:
                run = _run(deployment, variant, seed)
                runs.append(run._asdict())
                path.write_text(json.dumps(runs), encoding="utf-8")


def _warm_up(deployment: MeasuredDeployment) -> None:
    """Run load so that entry processes learn the engines' speeds."""
    scenario = deployment.scenario
    rate = scenario.rate_steps[0].programs_per_s
    steps = (load.RateStep(rate, scenario.warm_up_ms),)
    plans = scenario._replace(rate_steps=steps).plans(WARM_UP_SEED)
    addresses = [entry.address for entry in deployment.entries]
    summary = load.LoadRun(addresses, plans).run()
    print(
        "warm-up:", summary["duration_s"], summary["outcomes"], file=sys.stderr
    )


def _run(deployment: MeasuredDeployment, variant: str, seed: int) -> Run:
    scenario = deployment.scenario
    deployment.replace_killed()
    deployment.reset_engines()
    kill_ms = scenario.kill_ms if variant == "policy" else None
    if scenario.kill_ms is None:
        is_policy = variant == "policy"
        deployment.set_routing(
            scenarios.POLICY if is_policy else scenarios.BASELINE
        )
    time.sleep(SETTLE_S)
    before = deployment.sum_engine_counts()
    addresses = [entry.address for entry in deployment.live_entries()]
    load_run = load.LoadRun(addresses, scenario.plans(seed))
    usage = CpuUsage(deployment)
    faults = FaultInjector(deployment, seed, kill_ms)
    sampler = _StateSampler(deployment)
    faults.start()
    sampler.start()
    summary = load_run.run()
    cpu = usage.shares()
    faults.join()
    sampler.stop()
    after = deployment.sum_engine_counts()
    counts = {name: after[name] - before[name] for name in after}
    window = scenario.window
    results = [
        result
        for result in load_run.results
        if window.start_ms <= result.plan.arrival_ms < window.end_ms
    ]
    figures = {
        figure.name: figure.compute(results, counts["recomputed"])
        for figure in scenario.figures
    }
    return Run(
        scenario.name,
        variant,
        seed,
        figures,
        sorted(map(round, scenarios.latencies_ms(results))),
        dict(summary["outcomes"]),
        summary["retries"],
        round(summary["duration_s"], 1),
        cpu,
        {"engines": counts, **sampler.trace(), **_summarize_programs(results)},
    )


def _summarize_programs(results: list[load.ProgramResult]) -> dict[str, Any]:
    """Return the slowest programs, and late ones by kind and outcome."""
    slowest = sorted(results, key=lambda result: result.latency_ms)[-5:]
    late: dict[str, int] = {}
    for result in results:
        if not result.is_in_time:
            name = f"{result.plan.kind}: {result.outcome}"
            late[name] = late.get(name, 0) + 1
    return {
        "programs": len(results),
        "late": late,
        "slowest": [
            {
                "kind": result.plan.kind,
                "arrival_ms": round(result.plan.arrival_ms),
                "latency_ms": round(result.latency_ms),
                "first_token_ms": [round(v) for v in result.first_token_ms],
                "retries": result.retries,
            }
            for result in slowest
        ],
    }


class _StateSampler(threading.Thread):
    """Samples scheduler state of the entry processes during a run."""

    INTERVAL_S = 1.0

    def __init__(self, deployment: MeasuredDeployment) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._ended = threading.Event()
        self._samples: list[dict[str, Any]] = []

    def run(self) -> None:
        """Take samples until stopped."""
        start_s = time.monotonic()
        while not self._ended.wait(self.INTERVAL_S):
            sample = self._sample()
            sample["at_ms"] = round((time.monotonic() - start_s) * 1000)
            self._samples.append(sample)

    def stop(self) -> None:
        """Stop sampling and wait for the thread."""
        self._ended.set()
        self.join()

    def trace(self) -> dict[str, Any]:
        """Return the samples as part of the trace of a run."""
        return {"samples": self._samples}

    def _sample(self) -> dict[str, Any]:
        ejected: dict[str, int] = {}
        waiting = 0
        in_flight: dict[str, int] = {}
        for entry in self._deployment.live_entries():
            try:
                dump = entry.request("GET", "/v1/dump")
            except Exception:  # noqa: BLE001 - a killed process has no dump
                continue
            pools = _scheduler_state(dump)["pools"]
            pool = pools.get(self._deployment.shape.model, {})
            waiting += pool.get("waiting", 0)
            for server_id, state in pool.get("servers", {}).items():
                in_flight[server_id] = (
                    in_flight.get(server_id, 0) + state["in_flight"]
                )
                if state["is_ejected"]:
                    ejected[server_id] = ejected.get(server_id, 0) + 1
        return {"waiting": waiting, "in_flight": in_flight, "ejected": ejected}


def _scheduler_state(dump: dict[str, Any]) -> dict[str, Any]:
    state: dict[str, Any] = dump["scheduler"]
    return state
