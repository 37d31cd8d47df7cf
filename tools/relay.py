"""Measure the overhead of relaying model responses through an entry process.

Reads streams of a stand-in engine directly and through an entry process, with
1, 50 and 400 concurrent streams.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import subprocess
import sys
import threading
import time
from typing import Any, NamedTuple

import psutil
import urllib3

from balsamloom_cli import client
from balsamloom_standins import deployments, fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "measurements" / "relay.json"
CLIENT_PROCESSES = 4
STREAM_MS = 8_000
IDLE_S = 5.0
READ_SIZE_BYTES = 65_536
# Keeps the total token rate below what the stand-in engine can send.
TOKEN_MS = {1: 10.0, 50: 20.0, 400: 100.0}


class StreamTimes(NamedTuple):
    """Time to the first token and delay of each chunk of one stream."""

    first_token_ms: float
    delays_ms: list[float]


def _model_name(streams: int) -> str:
    return f"model-{streams}"


class RelayDeployment(deployments.Deployment):
    """One entry process, and an engine for each number of streams."""

    def sections(self) -> dict[str, dict[str, Any]]:
        """Return configuration sections with one model for each engine."""
        sections = super().sections()
        sections[f"models/{self.shape.customer}"] = {
            _model_name(streams): {
                "servers": [
                    {
                        "id": f"engine-{streams}",
                        "address": engine.address,
                        "concurrency": 1_000,
                    }
                ]
            }
            for streams, engine in zip(TOKEN_MS, self.engines, strict=True)
        }
        # Policies would add to the relay overhead that is measured.
        sections["routing"] = {
            "limits": "none",
            "admission": "none",
            "health": "none",
        }
        return sections


def _read_stream(
    pool: urllib3.PoolManager, url: str, headers: dict[str, str], body: Any
) -> StreamTimes:
    start_ms = time.monotonic() * 1000
    response = pool.request(
        "POST", url, json=body, headers=headers, preload_content=False
    )
    first_token_ms = 0.0
    delays_ms = []
    pending = b""
    while raw := response.read1(READ_SIZE_BYTES):
        now_ms = time.monotonic() * 1000
        *lines, pending = (pending + raw).split(b"\n")
        for line in lines:
            if line.startswith(b"data: {") and b'"sent_ms"' in line:
                sent_ms = json.loads(line[6:])["sent_ms"]
                delays_ms.append(now_ms - sent_ms)
                first_token_ms = first_token_ms or now_ms - start_ms
    return StreamTimes(first_token_ms, delays_ms)


def run_client(task: dict[str, Any]) -> None:
    """Read streams in threads and print their times as JSON.

    :param task: ``url``, ``body``, and ``headers`` with an item per stream.
    """
    pool = urllib3.PoolManager(maxsize=len(task["headers"]), retries=False)
    times: list[StreamTimes] = []

    def read(headers: dict[str, str]) -> None:
        times.append(_read_stream(pool, task["url"], headers, task["body"]))

    threads = [
        threading.Thread(target=read, args=(headers,))
        for headers in task["headers"]
    ]
    for thread in threads:
        thread.start()
        # Stagger the starts over half of a stream's duration, like the calls
        # of many programs; in the second half all streams are active.
        time.sleep(STREAM_MS / 2 / 1000 / len(threads))
    for thread in threads:
        thread.join()
    print(json.dumps(times))


def _measure_streams(
    url: str, body: Any, headers: list[dict[str, str]]
) -> list[StreamTimes]:
    shares = [
        headers[start::CLIENT_PROCESSES] for start in range(CLIENT_PROCESSES)
    ]
    clients = []
    for share in filter(None, shares):
        task = json.dumps({"url": url, "body": body, "headers": share})
        running = subprocess.Popen(
            [sys.executable, __file__, "--client"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert running.stdin is not None
        running.stdin.write(task)
        running.stdin.close()
        clients.append(running)
    times = []
    for running in clients:
        assert running.stdout is not None
        times += [
            StreamTimes(*entry) for entry in json.loads(running.stdout.read())
        ]
        running.wait()
    return times


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(int(len(ordered) * share), len(ordered) - 1)], 2)


def _summarize(times: list[StreamTimes]) -> dict[str, float]:
    first_tokens_ms = [stream.first_token_ms for stream in times]
    delays = [delay for stream in times for delay in stream.delays_ms]
    return {
        "first_token_p50_ms": round(statistics.median(first_tokens_ms), 2),
        "first_token_p95_ms": _quantile(first_tokens_ms, 0.95),
        "chunk_delay_p50_ms": _quantile(delays, 0.5),
        "chunk_delay_p95_ms": _quantile(delays, 0.95),
        "chunk_delay_max_ms": _quantile(delays, 1.0),
        "chunks": len(delays),
    }


def _measure_relayed(
    deployment: RelayDeployment, streams: int, body: Any
) -> dict[str, float]:
    entry = deployment.entries[0]
    caller = client.Caller([entry.address], deployment.shape.customer)
    spec = {"customer": deployment.shape.customer}
    headers = [
        {"X-Program-Id": caller.start(spec), "Idempotency-Key": "c1"}
        for _ in range(streams)
    ]
    process = psutil.Process(entry.pid)
    before = process.cpu_times()
    url = f"http://{entry.address}/v1/chat/completions"
    summary = _summarize(_measure_streams(url, body, headers))
    after = process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    summary["entry_cpu_us_per_chunk"] = round(cpu_s * 1e6 / summary["chunks"])
    summary["entry_rss_mb"] = round(process.memory_info().rss / 1e6, 1)
    return summary


def _measure_idle(entry: fleet.Process) -> dict[str, float]:
    process = psutil.Process(entry.pid)
    before = process.cpu_times()
    time.sleep(IDLE_S)
    after = process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    return {
        "rss_mb": round(process.memory_info().rss / 1e6, 1),
        "cpu_percent": round(100 * cpu_s / IDLE_S, 2),
    }


def _build_shape() -> deployments.Shape:
    options = tuple(
        ("--token-ms", str(token_ms), "--slots", "1000", "--prefill-ms", "0")
        for token_ms in TOKEN_MS.values()
    )
    return deployments.RESTWELL._replace(
        entry_count=1, engine_options=options, tool_count=1
    )


def main() -> None:
    """Measure, write ``measurements/relay.json`` and print a table."""
    results: dict[str, Any] = {}
    settings = {
        "http_threads": 1_000,
        "commits_per_s": 100.0,
        "commit_burst": 100,
    }
    with fleet.Fleet() as running:
        deployment = RelayDeployment(running, _build_shape(), settings)
        deployment.start()
        for engine in deployment.engines:
            # Keeps the speed of a stream independent of their number.
            engine.request("POST", "/control", {"batch_growth": 0})
        results["idle"] = _measure_idle(deployment.entries[0])
        for (streams, token_ms), engine in zip(
            TOKEN_MS.items(), deployment.engines, strict=True
        ):
            body = {
                "model": _model_name(streams),
                "stream": True,
                "max_tokens": int(STREAM_MS / token_ms),
                "messages": [{"role": "user", "content": "go"}],
            }
            url = f"http://{engine.address}/v1/chat/completions"
            direct = _summarize(_measure_streams(url, body, [{}] * streams))
            relayed = _measure_relayed(deployment, streams, body)
            added_ms = (
                relayed["first_token_p50_ms"] - direct["first_token_p50_ms"]
            )
            results[str(streams)] = {
                "direct": direct,
                "relayed": relayed,
                "added_first_token_p50_ms": round(added_ms, 2),
            }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    if sys.argv[1:] == ["--client"]:
        run_client(json.load(sys.stdin))
    else:
        main()
