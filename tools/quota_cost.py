"""Measure what identity and quota cost a request whose host holds tokens.

Run from the checkout::

    .venv/bin/python tools/quota_cost.py
"""

from __future__ import annotations

import logging
import time
from typing import Any

import click

from balsamloom_core import clock as clocks
from balsamloom_gateway import traffic
from balsamloom_quotas import evidence, limits, service, timing
from balsamloom_workspaces import credentials, identity, key_tables

BOUNDS = limits.Bounds(5_000.0, 0.1, 20.0)
# So high that the host is never short of tokens.
RATE_PER_S = 900_000.0
REQUESTS_PER_ROUND = 20_000
PROGRAM_ID = "workspace/3fa81c3fa81c3f"
# Part of the programs that is admitted where tokens are short.
SHORT_SHARE = 0.99
MICROSECONDS_PER_S = 1_000_000


class _Clock(clocks.SuspensionClock):
    """Clock that can be set forward, in place of waiting."""

    skipped_ms = 0.0

    def now_ms(self) -> float:
        return super().now_ms() + self.skipped_ms


def _refuse(name: str, body: dict[str, Any], timeout_ms: float) -> Any:
    raise service.UnreachableError(name)


def build(workspaces: int) -> tuple[service.Quotas, list[str]]:
    """Build the quotas of a lone host that grants and holds tokens."""
    names = [f"workspace-{number}" for number in range(workspaces)]
    clock = _Clock()
    quotas = service.Quotas("h", "run", BOUNDS, clock, _refuse)
    rate_limit = limits.RateLimit(RATE_PER_S, RATE_PER_S)
    quotas.read_limits = lambda: dict.fromkeys(names, rate_limit)
    quotas.read_view = lambda: evidence.View(
        frozenset(["h"]), ("h",), clock.now_ms()
    )
    until_ms = clock.now_ms() + timing.HOLD_MS + clocks.MS_PER_S
    while clock.now_ms() < until_ms:
        quotas.run_once()
        clock.skipped_ms += timing.MAX_LAPSE_MS / 2
    return quotas, names


def tell_share(quotas: service.Quotas, names: list[str]) -> None:
    """Let a granter tell that not all programs are admitted."""
    shares = dict.fromkeys(names, SHORT_SHARE)
    quotas._stocks.apply_shares("granter", shares, quotas._clock.now_ms())


def key_of(number: int) -> bytes:
    """Return the key of a workspace."""
    return f"key-of-workspace-{number}".encode()


def key_table(names: list[str]) -> key_tables.KeyTable[traffic.Workspace]:
    """Build the table of all workspaces' keys."""
    return key_tables.KeyTable(
        [
            traffic.Workspace(name, (credentials.digest_key(key_of(number)),))
            for number, name in enumerate(names)
        ]
    )


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--workspaces", default=84, show_default=True)
@click.option("--short", is_flag=True, help="Draw lots of programs.")
def main(rounds: int, workspaces: int, short: bool) -> None:
    """Print the time of a request's identity and quota, for each round."""
    logging.getLogger("balsamloom").setLevel(logging.CRITICAL)
    quotas, names = build(workspaces)
    table = key_table(names)
    fields = [b"Bearer " + key_of(number) for number in range(workspaces)]
    for _ in range(rounds):
        if short:
            tell_share(quotas, names)
        refused = 0
        started_s = time.perf_counter()
        for number in range(REQUESTS_PER_ROUND):
            presented = credentials.from_field(fields[number % workspaces])
            caller = identity.decide(presented, table, False)
            if isinstance(caller, identity.Identified):
                decision = quotas.admit(caller.workspace.name, PROGRAM_ID)
                refused += isinstance(decision, service.Refused)
        duration_s = time.perf_counter() - started_s
        each_us = duration_s / REQUESTS_PER_ROUND * MICROSECONDS_PER_S
        click.echo(f"{each_us:.2f} us a request, {refused} refused")
        quotas.run_once()


if __name__ == "__main__":
    main()
