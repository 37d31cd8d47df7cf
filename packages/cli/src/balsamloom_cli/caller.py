"""Command ``balsamloom-call`` for callers."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from typing import Any, NamedTuple

import click

from balsamloom_cli import client, commands, responses
from balsamloom_core import results, settings

DEFAULT_ADDRESS = "127.0.0.1:8080"

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "addresses": {
            "type": "array",
            "items": {"type": "string", "minLength": 1},
            "minItems": 1,
        },
        "customer": {"type": "string"},
        "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 86_400_000},
        "output": {"enum": ["text", "json"]},
    },
}


class Session(NamedTuple):
    """Client and options that all subcommands share."""

    caller: client.Caller
    customer: str
    is_json: bool


_PROGRAM = click.argument("program_id")
_KEY = click.option(
    "--key",
    default=client.new_key,
    show_default="a new one",
    help="Idempotency key; reuse the key of a failed call to retry it.",
)


@click.group(cls=commands.Group)
@commands.settings_option(SCHEMA)
@click.option(
    "--address",
    "addresses",
    type=commands.ADDRESS,
    multiple=True,
    default=[DEFAULT_ADDRESS],
    show_default=True,
    help="host:port of an entry process; may be repeated.",
)
@click.option(
    "--customer", default="", show_default=True, help="Name of the customer."
)
@click.option(
    "--timeout-ms",
    type=click.IntRange(1, 86_400_000),
    default=client.DEFAULT_TIMEOUT_MS,
    show_default=True,
    help="Timeout of a call, including its retries.",
)
@click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Output format.",
)
@click.version_option(package_name="balsamloom-cli")
@click.pass_context
def main(
    context: click.Context,
    addresses: tuple[str, ...],
    customer: str,
    timeout_ms: int,
    output: str,
) -> None:
    """Call balsamloom as an agent program does."""
    context.obj = Session(
        client.Caller(addresses, customer, timeout_ms=timeout_ms),
        customer,
        output == "json",
    )


@main.command("address")
@click.option(
    "--program-id",
    default="",
    show_default=True,
    help="Program whose owner to look up.",
)
@click.pass_obj
def address(session: Session, program_id: str) -> None:
    """Print the address of the entry process to use."""
    addresses = session.caller.address(program_id)
    if session.is_json:
        commands.print_json(addresses._asdict())
    else:
        click.echo(addresses.address)


@main.command("start")
@click.option(
    "--workspace", default="", show_default=True, help="Name of a workspace."
)
@click.option(
    "--budget",
    default="{}",
    show_default=True,
    help="JSON object with generated_tokens, calls and wall_ms.",
)
@click.option(
    "--urgent/--not-urgent",
    default=False,
    show_default=True,
    help="Whether a user is waiting for the response.",
)
@click.option(
    "--parent-id",
    default="",
    show_default=True,
    help="Parent program, if this one is a sub-agent.",
)
@click.pass_obj
def start(
    session: Session,
    workspace: str,
    budget: str,
    urgent: bool,
    parent_id: str,
) -> None:
    """Start a program and print its identifier."""
    if not session.customer:
        raise click.UsageError(
            "option --customer: '' is not accepted; accepted: the name of a "
            "customer"
        )
    specification: dict[str, Any] = {
        "customer": session.customer,
        "workspace": workspace,
        "urgent": urgent,
    }
    limits = _parse_object(budget, "--budget")
    if limits:
        specification["budget"] = limits
    if parent_id:
        specification["parent_id"] = parent_id
    program_id = session.caller.start(specification)
    _print(session, {"program_id": program_id}, program_id)


@main.command("chat")
@_PROGRAM
@click.option("--model", required=True, help="Name of the model.")
@click.option("--message", required=True, help="New message of the user.")
@click.option(
    "--max-tokens",
    type=click.IntRange(1),
    default=256,
    show_default=True,
    help="Maximum number of tokens to generate.",
)
@_KEY
@click.pass_obj
def chat(
    session: Session,
    program_id: str,
    model: str,
    message: str,
    max_tokens: int,
    key: str,
) -> None:
    """Run a model call and print the response as it is streamed."""
    body = {
        "model": model,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": message}],
    }
    has_text = False
    with _add_key_to_errors(key):
        for event in session.caller.chat(program_id, body, key):
            if session.is_json:
                click.echo(json.dumps(event._asdict(), ensure_ascii=False))
            else:
                _print_event(event, has_text)
            has_text = event.name == "message" or (
                has_text and event.name != "restart"
            )


@main.command("tool")
@_PROGRAM
@click.argument("service")
@click.argument("operation")
@click.option(
    "--body", default="{}", show_default=True, help="JSON object to send."
)
@_KEY
@click.pass_obj
def tool(
    session: Session,
    program_id: str,
    service: str,
    operation: str,
    body: str,
    key: str,
) -> None:
    """Run a tool call and print its response."""
    request = _parse_object(body, "--body")
    with _add_key_to_errors(key):
        response = session.caller.tool(
            program_id, service, operation, request, key
        )
    commands.print_json(response)


@main.command("show")
@_PROGRAM
@click.pass_obj
def show(session: Session, program_id: str) -> None:
    """Print the state of a program."""
    commands.print_json(session.caller.show(program_id))


@main.command("result")
@_PROGRAM
@click.argument("key")
@click.pass_obj
def result(session: Session, program_id: str, key: str) -> None:
    """Print the result of an earlier call."""
    commands.print_json(session.caller.result(program_id, key))


@main.command("end")
@_PROGRAM
@click.pass_obj
def end(session: Session, program_id: str) -> None:
    """End a program."""
    commands.print_json(session.caller.end(program_id))


@contextlib.contextmanager
def _add_key_to_errors(key: str) -> Iterator[None]:
    """Add the key to the error of a call that may have run, for a retry."""
    try:
        yield
    except responses.CallError as error:
        if error.not_run:
            raise
        raise responses.CallError(
            error.code, f"{error.message} (--key {key})", False
        ) from error


def _parse_object(text: str, option: str) -> dict[str, Any]:
    try:
        value = settings.parse(text)
    except ValueError as error:
        value = error
    if not isinstance(value, dict):
        raise click.BadParameter(
            f"{text!r}; accepted: a JSON object", param_hint=option
        )
    return value


def _print(session: Session, value: Any, text: str) -> None:
    if session.is_json:
        commands.print_json(value)
    else:
        click.echo(text)


def _print_event(event: responses.StreamEvent, has_text: bool) -> None:
    match event.name:
        case "done":
            # A recorded result is sent in full in the final event.
            recorded = event.body.get("message") or {}
            click.echo("" if has_text else recorded.get("content", ""))
            code = results.ResultCode(event.body["code"])
            click.echo(f"done: {code.name.lower()} ({int(code)})", err=True)
        case "message":
            click.echo(_content(event.body), nl=False)
        case _:
            detail = json.dumps(event.body, ensure_ascii=False)
            click.echo(f"{event.name}: {detail}", err=True)


def _content(body: dict[str, Any]) -> str:
    choices = body.get("choices") or [{}]
    return str(choices[0].get("delta", {}).get("content") or "")
