"""Command that starts one stand-in."""

from __future__ import annotations

import json
import pathlib

import click

from balsamloom_cli import commands
from balsamloom_standins import _serving, engine, hosts, load, store, tools

# In programs a second; each program runs in its own thread.
MAX_PROGRAMS_PER_S = 10_000
_POSITIVE = click.FloatRange(0, min_open=True)
_NON_NEGATIVE = click.FloatRange(0)
_ADDRESS = click.option(
    "--address",
    type=commands.ADDRESS,
    default="127.0.0.1:0",
    show_default=True,
    help="Address to listen on.",
)


@click.group()
@click.version_option(package_name="balsamloom-standins")
def main() -> None:
    """Start a stand-in for a service of the platform. For tests only."""


@main.command("store")
@_ADDRESS
def run_store(address: str) -> None:
    """Serve the key-value service."""
    server = _serving.serve(store.StoreStandin(), address, store.THREADS)
    _serving.run_until_signal(server)


@main.command("engine")
@_ADDRESS
@click.option(
    "--token-ms",
    type=_POSITIVE,
    default=5.0,
    show_default=True,
    help="Time per token.",
)
@click.option(
    "--slots",
    type=click.IntRange(1),
    default=8,
    show_default=True,
    help="Maximum number of running requests.",
)
@click.option(
    "--prefill-ms",
    type=_NON_NEGATIVE,
    default=20.0,
    show_default=True,
    help="Time for 1,000 prompt tokens.",
)
@click.option(
    "--cache-tokens",
    type=click.IntRange(0),
    default=200_000,
    show_default=True,
    help="Size of the prefix cache.",
)
@click.option(
    "--hold-ttl-ms",
    type=_NON_NEGATIVE,
    default=600_000.0,
    show_default=True,
    help="Time for which ended requests hold their memory.",
)
@click.option(
    "--history",
    type=click.Path(path_type=pathlib.Path),
    show_default="none",
    help="File shared by engines to count recomputed tokens.",
)
@click.option(
    "--threads",
    default=engine.DEFAULT_THREADS,
    show_default=True,
    help="Connections served at a time.",
)
@click.option(
    "--ignore-fence/--enforce-fence",
    default=False,
    show_default=True,
    help="Whether orders with an old fence are applied.",
)
def run_engine(
    address: str,
    token_ms: float,
    slots: int,
    prefill_ms: float,
    cache_tokens: int,
    hold_ttl_ms: float,
    history: pathlib.Path | None,
    threads: int,
    ignore_fence: bool,
) -> None:
    """Serve a model engine."""
    settings = engine.EngineSettings(
        token_ms=token_ms,
        slots=slots,
        prefill_ms=prefill_ms,
        enforces_fence=not ignore_fence,
    )
    root = engine.EngineStandin(
        settings, cache_tokens, hold_ttl_ms, history_path=history
    )
    _serving.run_until_signal(_serving.serve(root, address, threads))


@main.command("tools")
@_ADDRESS
@click.option(
    "--duration-ms",
    type=_NON_NEGATIVE,
    default=5.0,
    show_default=True,
    help="Duration of an operation.",
)
def run_tools(address: str, duration_ms: float) -> None:
    """Serve a tool service."""
    root = tools.ToolStandin(duration_ms)
    _serving.run_until_signal(_serving.serve(root, address, tools.THREADS))


@main.command("hosts")
@_ADDRESS
@click.option(
    "--lag-ms",
    type=_NON_NEGATIVE,
    default=0.0,
    show_default=True,
    help="Age of the host list.",
)
@click.option(
    "--fetches-per-s",
    type=_POSITIVE,
    default=1.0,
    show_default=True,
    help="Rate limit of the weight store.",
)
@click.option(
    "--burst",
    type=click.FloatRange(1),
    default=2.0,
    show_default=True,
    help="Maximum burst of fetches.",
)
def run_hosts(
    address: str, lag_ms: float, fetches_per_s: float, burst: float
) -> None:
    """Serve the host list and the weight store."""
    root = hosts.HostsStandin(lag_ms, fetches_per_s, burst)
    _serving.run_until_signal(_serving.serve(root, address))


@main.command("load")
@click.option(
    "--entry",
    "entries",
    type=commands.ADDRESS,
    multiple=True,
    required=True,
    help="Address of an entry process; may be repeated.",
)
@click.option(
    "--rate",
    "rates",
    multiple=True,
    default=("5x10",),
    show_default=True,
    help="Programs a second x seconds; may be repeated, one after another.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of arrivals and steps."
)
@click.option(
    "--stragglers",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Share of programs that run 20 to 50 times longer.",
)
@click.option(
    "--customer",
    "customers",
    multiple=True,
    type=click.Choice(["restwell", "wasserreigen"]),
    show_default="all",
    help="Customer whose programs are run; may be repeated.",
)
@click.option(
    "--pause-ms",
    type=_NON_NEGATIVE,
    default=0.0,
    show_default=True,
    help="Mean time between a program's turns.",
)
def run_load(
    entries: tuple[str, ...],
    rates: tuple[str, ...],
    seed: int,
    stragglers: float,
    customers: tuple[str, ...],
    pause_ms: float,
) -> None:
    """Run programs against entry processes and print a JSON summary."""
    steps = [_parse_rate(rate) for rate in rates]
    programs = load.make_plans(seed, steps, stragglers, customers, pause_ms)
    summary = load.LoadRun(list(entries), programs).run()
    print(json.dumps({"seed": seed, **summary}))


def _parse_rate(text: str) -> load.RateStep:
    rate, _, duration_s = text.partition("x")
    try:
        step = load.RateStep(float(rate), float(duration_s) * 1000)
    except ValueError:
        step = load.RateStep(-1, -1)
    if not (
        0 <= step.programs_per_s <= MAX_PROGRAMS_PER_S
        and step.duration_ms >= 0
    ):
        raise click.BadParameter(
            f"{text!r}; accepted: programs a second x seconds, as 5x10, with"
            f" at most {MAX_PROGRAMS_PER_S} programs a second",
            param_hint="--rate",
        )
    return step
