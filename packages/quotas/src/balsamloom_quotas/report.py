"""Summary of the quotas over several hosts, for operators."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import click

from balsamloom_quotas import service

TIMEOUT_S = 5.0


class WorkspaceUse(NamedTuple):
    """One workspace over the hosts that answered.

    ``admitted`` and ``refused`` are the requests of the last window, by host.
    ``held`` are tokens at hosts, ``leased`` and ``free`` those of granters.
    """

    limit: Mapping[str, float]
    admitted: dict[str, int]
    refused: dict[str, int]
    held: int
    leased: int
    free: float


class UnreadablePageError(Exception):
    """A host returned no usable page."""


_PAGE_FIELDS = frozenset({"host", "limits", "workspaces", "granted"})


def read_page(address: str) -> dict[str, Any]:
    """Read the page of one host.

    :param address: ``host:port`` of its metrics.
    :raises UnreadablePageError: it cannot be read.
    """
    url = f"http://{address}{service.PAGE_PATH}"
    try:
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
            page = json.load(response)
    except (urllib.error.URLError, OSError, ValueError) as error:
        raise UnreadablePageError(f"{address}: {error}") from error
    if not isinstance(page, dict) or not set(page) >= _PAGE_FIELDS:
        raise UnreadablePageError(f"{address}: not a page of quotas")
    return page


def summarize(pages: Sequence[Mapping[str, Any]]) -> dict[str, WorkspaceUse]:
    """Add up what the pages of several hosts tell of each workspace."""
    names = sorted({name for page in pages for name in page["limits"]})
    return {name: _use(name, pages) for name in names}


def _use(name: str, pages: Sequence[Mapping[str, Any]]) -> WorkspaceUse:
    seen = {
        page["host"]: page["workspaces"][name]
        for page in pages
        if name in page["workspaces"]
    }
    granted = [
        page["granted"][name]
        for page in pages
        if page["is_granter"] and name in page["granted"]
    ]
    limits = [page["limits"][name] for page in pages if name in page["limits"]]
    return WorkspaceUse(
        limits[-1],
        {host: state["recent"]["admitted"] for host, state in seen.items()},
        {host: state["recent"]["refused"] for host, state in seen.items()},
        sum(state["tokens"] for state in seen.values()),
        sum(sum(state["leases"].values()) for state in granted),
        round(sum(state["free_tokens"] for state in granted), 1),
    )


def format_use(name: str, use: WorkspaceUse) -> list[str]:
    """Return readable lines about one workspace."""
    limit = ", ".join(f"{key} {value:g}" for key, value in use.limit.items())
    lines = [
        f"{name}: {limit}",
        f"  last window: admitted {sum(use.admitted.values())},"
        f" refused {sum(use.refused.values())}",
        f"  tokens: held {use.held}, leased {use.leased}, free {use.free:g}",
    ]
    for host, admitted in sorted(use.admitted.items()):
        refused = use.refused[host]
        if admitted or refused:
            lines.append(f"  {host}: admitted {admitted}, refused {refused}")
    return lines


@click.command()
@click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS...")
@click.option(
    "--workspace",
    default="",
    show_default="all",
    help="Show only this workspace.",
)
def main(addresses: tuple[str, ...], workspace: str) -> None:
    """Show rate quotas: limits, use by host, leases and refusals.

    ADDRESS is the host:port at which an edge process serves its metrics. Name
    all hosts to see the whole use.
    """
    pages = []
    for address in addresses:
        try:
            pages.append(read_page(address))
        except UnreadablePageError as error:
            click.echo(str(error), err=True)
    for name, use in summarize(pages).items():
        if workspace in ("", name):
            click.echo("\n".join(format_use(name, use)))
    if len(pages) < len(addresses):
        raise SystemExit(1)
