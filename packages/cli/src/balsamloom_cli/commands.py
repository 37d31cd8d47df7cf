"""Shared parts of the commands for operators and for callers."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

import click

from balsamloom_core import errors, results, settings

MAX_PORT = 65_535
_USAGE_CODES = frozenset(
    {
        results.ResultCode.UNKNOWN_SECTION,
        results.ResultCode.MALFORMED_REQUEST,
    }
)


class Address(click.ParamType[str]):
    """Parameter type of ``host:port`` addresses."""

    name = "host:port"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Return the value, or fail if it is not an address."""
        host, _, port = value.rpartition(":")
        is_port = port.isdecimal() and int(port) <= MAX_PORT
        if not host or not is_port or set(value) & set(" /?#@"):
            self.fail(f"{value!r}; accepted: host:port", param, ctx)
        return value


ADDRESS = Address()


class Group(click.Group):
    """Command group that reports errors without a traceback."""

    def invoke(self, context: click.Context) -> Any:
        """Run the command; convert errors to a message and an exit status."""
        try:
            return super().invoke(context)
        except errors.BalsamloomError as error:
            text = f"{error.code.name.lower()} ({int(error.code)}): "
            if error.code in _USAGE_CODES:
                raise click.UsageError(text + error.message) from error
            raise click.ClickException(text + error.message) from error
        except (click.ClickException, click.exceptions.Exit, click.Abort):
            raise
        except BrokenPipeError:
            # The reader of the output has exited and can see no message.
            raise click.exceptions.Exit(1) from None
        except Exception as error:
            text = f"unexpected {type(error).__name__}: {error}"
            raise click.ClickException(text) from error


def settings_option(schema: dict[str, Any]) -> Any:
    """Return the ``--settings`` option, a JSON file with defaults.

    :param schema: JSON Schema of the file; its keys are names of options.
    """

    def read(
        context: click.Context, _: click.Parameter, path: pathlib.Path | None
    ) -> None:
        if path is None:
            return
        try:
            document = settings.load(path, schema)
        except settings.SettingsError as error:
            raise click.BadParameter(error.message) from error
        context.default_map = document

    return click.option(
        "--settings",
        "settings_path",
        type=click.Path(path_type=pathlib.Path),
        is_eager=True,
        expose_value=False,
        callback=read,
        help="JSON file with defaults for the options of this command.",
    )


def read_json(path: pathlib.Path, option: str) -> Any:
    """Read a JSON file named on the command line.

    :param path: file, or ``-`` for standard input.
    :param option: name of the parameter, for the error message.
    :raises click.BadParameter: if the file cannot be read or parsed.
    """
    try:
        if str(path) == "-":
            return settings.parse(sys.stdin.read())
        return settings.parse(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        cause = getattr(error, "strerror", None) or error
        raise click.BadParameter(
            f"{str(path)!r}: {cause}; accepted: a JSON file",
            param_hint=option,
        ) from error


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(headings: list[str], rows: list[list[Any]]) -> None:
    """Print aligned columns.

    :param headings: names of the columns.
    :param rows: cells by row.
    """
    lines = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())
