"""Command that tells where a request would go now, without sending it."""

from __future__ import annotations

import json
from typing import Any

import click
import urllib3

from balsamloom_cli import commands
from balsamloom_gateway import placement_query
from balsamloom_platform import http_errors

TIMEOUT_S = 5.0
EXIT_UNREACHABLE = 3
_BAD_REQUEST = 400
_COST_HEADINGS = {
    "total_ms": "COST",
    "time_ms": "TIME",
    "prefill_ms": "PREFILL",
    "delay_to_others_ms": "OTHERS",
    "risk_ms": "RISK",
    "domain_penalty_ms": "DOMAIN",
}


class UnreachableError(click.ClickException):
    """The process gave no answer to the question."""

    exit_code = EXIT_UNREACHABLE


class _Part(click.ParamType[list[Any]]):
    """Parameter type of the parts of a prompt."""

    name = "id:tokens"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> list[Any]:
        """Return identifier and tokens, or fail if it is no such part."""
        part_id, _, tokens = str(value).rpartition(":")
        if not part_id or not tokens.isdecimal():
            self.fail(f"{value!r}; accepted: ID:TOKENS", param, ctx)
        return [part_id, int(tokens)]


@click.command()
@click.argument("address", type=commands.ADDRESS)
@click.argument("host")
@click.argument("path")
@click.option(
    "--program",
    default="",
    show_default="none",
    help="Program of the request.",
)
@click.option(
    "--workspace",
    default="",
    show_default="none",
    help="Workspace of the caller.",
)
@click.option(
    "--part",
    "prompt",
    type=_Part(),
    multiple=True,
    show_default="none",
    help="Part of the prompt, in order; may be repeated.",
)
@click.option(
    "--output-tokens",
    type=click.IntRange(0, placement_query.MAX_TOKENS),
    default=0,
    show_default=True,
    help="Tokens that the answer is expected to have.",
)
@click.option(
    "--has-budget",
    is_flag=True,
    show_default=True,
    help="The program has a token budget, so its holder places the turn.",
)
@click.option(
    "--recent-server",
    "recent_servers",
    multiple=True,
    show_default="none",
    help="Server of one of the program's last turns; may be repeated.",
)
@click.option(
    "--version",
    default="",
    show_default="any",
    help="Version that must run it.",
)
@click.option(
    "--json",
    "is_json",
    is_flag=True,
    show_default=True,
    help="Print JSON.",
)
@click.pass_obj
def main(session: Any, /, address: str, is_json: bool, **query: Any) -> None:
    """Tell where a request to HOST and PATH would go now, and why.

    ADDRESS is the metrics address of an edge process. Nothing is sent to a
    server and nothing is changed. The exit status is 3 if the process gives
    no answer.
    """
    answer = _ask(address, query)
    if is_json or session.is_json:
        commands.print_json(answer)
    else:
        _print(answer)


def _ask(address: str, query: dict[str, Any]) -> dict[str, Any]:
    pool = urllib3.PoolManager(retries=False)
    try:
        response = pool.request(
            "POST",
            f"http://{address}{placement_query.PATH}",
            body=json.dumps(query),
            headers={"Content-Type": "application/json"},
            timeout=TIMEOUT_S,
        )
        answer = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise UnreachableError(
            f"{address}: {http_errors.describe(error)}"
        ) from error
    if not isinstance(answer, dict):
        raise UnreachableError(f"{address}: not an answer of an edge process")
    if response.status == _BAD_REQUEST:
        raise click.UsageError(str(answer.get("error")))
    if "servers" not in answer:
        raise UnreachableError(f"{address}: status {response.status}")
    return answer


def _print(answer: dict[str, Any]) -> None:
    click.echo(
        f"route {answer['route']}, service {answer['service']}, "
        f"priority {answer['priority']}, "
        f"configuration {answer['configuration_version']}"
    )
    if answer["workspace"]:
        limit = answer["rate_limit_per_s"] or "no limit"
        click.echo(f"workspace {answer['workspace']}, requests/s: {limit}")
    if answer["decided_by"] != answer["member"]:
        click.echo(
            f"{answer['decided_by']} holds the program and decides; this is "
            f"how {answer['member']} sees the servers"
        )
    if answer["refusal"]:
        click.echo(f"refused: {answer['refusal']}")
    headings = ["", "SERVER", *_COST_HEADINGS.values(), "LOAD", "WHY"]
    rows = [
        [
            "->" if server["is_chosen"] else "",
            server["server_id"],
            *(server["cost"][name] for name in _COST_HEADINGS),
            f"{server['load']}/{server['slots']}",
            _reason(server),
        ]
        for server in answer["servers"]
    ]
    commands.print_table(headings, rows)


def _reason(server: dict[str, Any]) -> str:
    """Return what keeps a request from a server, or limits it there."""
    reasons = []
    if server["obstacle"]:
        reasons.append(server["obstacle"])
    if server["denied_for_ms"]:
        reasons.append(f"rate limit for {server['denied_for_ms']} ms")
    if server["limit_per_s"] is not None:
        reasons.append(f"{server['limit_per_s']} requests/s")
    if server["ejected_for_ms"]:
        reasons.append(f"ejected for {server['ejected_for_ms']} ms")
    if server["pace"]:
        reasons.append(
            f"pace {server['pace']['reason']}, allowance "
            f"{server['pace']['allowance']}"
        )
    return "; ".join(reasons) or "cost"
