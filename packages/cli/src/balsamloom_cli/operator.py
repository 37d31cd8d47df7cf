"""Command ``balsamloom`` for operators."""

from __future__ import annotations

import getpass
import pathlib
from typing import Any, NamedTuple

import click
import urllib3

from balsamloom_cli import (
    commands,
    entry_settings,
    operator_output,
    status,
    where,
)
from balsamloom_configuration import document as documents
from balsamloom_configuration import editing
from balsamloom_conversations import check as check_turns
from balsamloom_core import clock as clocks
from balsamloom_core import settings
from balsamloom_gateway import explain, log_audit
from balsamloom_platform import etcd_gateway, http_errors
from balsamloom_platform import store as stores
from balsamloom_quotas import report as quota_report
from balsamloom_state import partitions

DEFAULT_STORE = "127.0.0.1:2379"
DEFAULT_TIMEOUT_MS = 9_000

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "store": {"type": "string", "minLength": 1},
        "output": {"enum": ["text", "json"]},
        "author": {"type": "string", "minLength": 1},
    },
}
FILE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["section", "revision", "content"],
    "properties": {
        "section": {"type": "string"},
        "revision": {"type": "integer", "minimum": 0},
        "content": {"type": ["object", "null"]},
    },
}


class Session(NamedTuple):
    """Store and options that all subcommands share."""

    store: stores.Store
    is_json: bool
    author: str
    clock: clocks.Clock

    @property
    def editor(self) -> editing.Editor:
        """Return a configuration editor."""
        return editing.Editor(self.store, self.clock)


_FILE = click.argument(
    "file", type=click.Path(path_type=pathlib.Path), metavar="FILE"
)
_TIMEOUT = click.option(
    "--timeout-ms",
    type=click.IntRange(1, 600_000),
    default=DEFAULT_TIMEOUT_MS,
    show_default=True,
    help="Timeout, including retries.",
)
_COMMENT = click.option(
    "--comment", default="", show_default=True, help="Reason for the change."
)


@click.group(cls=commands.Group)
@commands.settings_option(SCHEMA)
@click.option(
    "--store",
    type=commands.ADDRESS,
    default=DEFAULT_STORE,
    show_default=True,
    help="host:port of the key-value service.",
)
@click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Output format.",
)
@click.option(
    "--author",
    default=getpass.getuser,
    show_default="name of the user",
    help="Author of changes in the configuration history.",
)
@click.version_option(package_name="balsamloom-cli")
@click.pass_context
def main(context: click.Context, store: str, output: str, author: str) -> None:
    """Operate balsamloom: configuration, members, dumps and settings."""
    context.obj = Session(
        etcd_gateway.EtcdGateway(store),
        output == "json",
        author,
        clocks.Clock(),
    )


@main.group("config")
def config() -> None:
    """Read and change the configuration."""


@config.command("get")
@click.argument("section", required=False)
@click.pass_obj
def get(session: Session, section: str | None) -> None:
    """Print SECTION as a file for apply, or list all sections.

    The file contains the section's revision, by which apply detects
    concurrent changes.
    """
    if section is not None:
        commands.print_json(_section_file(session.editor, section))
        return
    document = session.editor.get()
    if session.is_json:
        commands.print_json(
            {
                "revision": document.revision,
                "sections": {
                    name: entry._asdict()
                    for name, entry in sorted(document.sections.items())
                },
            }
        )
        return
    click.echo(f"revision {document.revision}")
    rows = [
        [name, entry.revision, len(entry.content or {})]
        for name, entry in sorted(document.sections.items())
        if entry.content is not None
    ]
    commands.print_table(["SECTION", "REVISION", "ENTRIES"], rows)


@config.command("diff")
@_FILE
@click.pass_obj
def diff(session: Session, file: pathlib.Path) -> None:
    """Print the differences between FILE and its section in the store."""
    edit = _read_edit(session, file)
    current = _section_file(session.editor, edit.section)
    changes = editing.differences(current["content"] or {}, edit.content or {})
    operator_output.print_differences(session.is_json, changes)


@config.command("check")
@_FILE
@click.pass_obj
def check(session: Session, file: pathlib.Path) -> None:
    """Validate the configuration as it would be with FILE applied."""
    problems = session.editor.check(_read_edit(session, file))
    if problems:
        operator_output.fail_invalid(session.is_json, problems)
    operator_output.print_result(session.is_json, {"valid": True}, "valid")


@config.command("apply")
@_FILE
@_COMMENT
@_TIMEOUT
@click.option(
    "--edit-id",
    default=None,
    show_default="a new one",
    help="Identifier of an earlier apply whose outcome is unknown.",
)
@click.pass_obj
def apply(
    session: Session,
    file: pathlib.Path,
    comment: str,
    timeout_ms: int,
    edit_id: str | None,
) -> None:
    """Apply FILE to the configuration as a new revision."""
    edit = _read_edit(session, file)._replace(comment=comment)
    if edit_id is not None:
        edit = edit._replace(edit_id=edit_id)
    _apply(session, edit, timeout_ms)


@config.command("history")
@click.argument("section", required=False)
@click.option(
    "--limit",
    type=click.IntRange(1, editing.MAX_HISTORY_ENTRIES),
    default=20,
    show_default=True,
    help="Maximum number of changes.",
)
@click.pass_obj
def history(session: Session, section: str | None, limit: int) -> None:
    """Print the latest changes of SECTION or of all, newest first."""
    changes = session.editor.history(section, limit)
    if session.is_json:
        commands.print_json([change._asdict() for change in changes])
        return
    rows = [
        [
            change.revision,
            operator_output.format_time(change.wall_ms),
            change.author,
            change.section,
            change.comment,
        ]
        for change in changes
    ]
    headings = ["REVISION", "TIME", "AUTHOR", "SECTION", "COMMENT"]
    commands.print_table(headings, rows)


@config.command("undo")
@click.argument("revision", type=click.IntRange(1))
@_COMMENT
@_TIMEOUT
@click.pass_obj
def undo(
    session: Session, revision: int, comment: str, timeout_ms: int
) -> None:
    """Revert the change of REVISION in a new revision."""
    edit = session.editor.build_undo(revision, session.author, comment)
    _apply(session, edit, timeout_ms)


@config.command("status")
@click.option(
    "--wait",
    "wait_revision",
    type=click.IntRange(1),
    default=None,
    show_default="no wait",
    help="Wait until this revision is in force at every live member.",
)
@click.option(
    "--member",
    "addresses",
    type=commands.ADDRESS,
    multiple=True,
    show_default="the members of the partition map",
    help="host:port of a member to query, without use of the store.",
)
@_TIMEOUT
@click.pass_obj
def show_status(
    session: Session,
    wait_revision: int | None,
    addresses: tuple[str, ...],
    timeout_ms: int,
) -> None:
    """Print the revision in force at each member."""
    targets = [_member_at(address) for address in addresses]
    reader = status.StatusReader(session.clock)
    deadline_ms = session.clock.now_ms() + timeout_ms
    while True:
        targets = targets if addresses else _members(session, targets)
        statuses = reader.read(targets)
        behind = _members_behind(statuses, wait_revision or 0)
        is_timed_out = session.clock.now_ms() >= deadline_ms
        if wait_revision is None or not behind or is_timed_out:
            break
        session.clock.sleep(status.POLL_INTERVAL_MS)
    operator_output.print_status(session.is_json, statuses)
    if wait_revision is not None and behind:
        raise click.ClickException(
            f"revision {wait_revision} is not in force after {timeout_ms} ms "
            f"at {', '.join(behind)}"
        )


@main.command("members")
@click.pass_obj
def members(session: Session) -> None:
    """Print the members of the partition map."""
    current, _ = partitions.load(session.store)
    listed = [
        {
            **member._asdict(),
            "partitions": len(current.partitions_of(member.member_id)),
        }
        for member in current.members.values()
    ]
    if session.is_json:
        commands.print_json({"version": current.version, "members": listed})
        return
    click.echo(f"map version {current.version}")
    rows = [
        [
            member["member_id"],
            member["http_address"],
            member["failure_domain"],
            "leaving" if member["is_leaving"] else "live",
            member["partitions"],
        ]
        for member in listed
    ]
    headings = ["MEMBER", "ADDRESS", "DOMAIN", "STATE", "PARTITIONS"]
    commands.print_table(headings, rows)


@main.command("dump")
@click.argument("address", type=commands.ADDRESS)
def dump(address: str) -> None:
    """Print the state dump of the entry process at ADDRESS."""
    pool = urllib3.PoolManager(retries=False)
    try:
        commands.print_json(status.fetch(pool, address, "/v1/dump"))
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise click.ClickException(
            f"{address}: {http_errors.describe(error)}"
        ) from error


main.add_command(explain.main, "explain")
main.add_command(quota_report.main, "quotas")
main.add_command(log_audit.main, "audit")
main.add_command(where.main, "where")


@main.group("data")
def data() -> None:
    """Check the data directories of storage hosts."""


data.add_command(check_turns.main, "check")


@main.group("settings")
def settings_group() -> None:
    """Check and show settings files of the entry process."""


@settings_group.command("check")
@_FILE
@click.pass_obj
def check_settings(session: Session, file: pathlib.Path) -> None:
    """Validate FILE without starting an entry process."""
    settings.load(file, entry_settings.schema())
    operator_output.print_result(session.is_json, {"valid": True}, "valid")


@settings_group.command("show")
@_FILE
def show_settings(file: pathlib.Path) -> None:
    """Print the settings in FILE, completed with the defaults."""
    commands.print_json(settings.load(file, entry_settings.schema()))


def _section_file(editor: editing.Editor, name: str) -> dict[str, Any]:
    documents.kind_of(name)
    section = editor.get().sections.get(name)
    return {
        "section": name,
        "revision": section.revision if section else 0,
        "content": section.content if section else None,
    }


def _read_edit(session: Session, file: pathlib.Path) -> editing.Edit:
    document = commands.read_json(file, "FILE")
    problems = settings.problems(document, FILE_SCHEMA)
    if problems:
        raise click.BadParameter(str(problems[0]), param_hint="FILE")
    documents.kind_of(document["section"])
    return editing.Edit(
        document["section"],
        document["content"],
        document["revision"],
        session.author,
        "",
        editing.new_edit_id(),
    )


def _apply(session: Session, edit: editing.Edit, timeout_ms: int) -> None:
    match session.editor.apply(edit, timeout_ms):
        case editing.AppliedEdit(revision):
            operator_output.print_result(
                session.is_json,
                {"revision": revision},
                f"applied as {revision}",
            )
        case editing.InvalidEdit(problems):
            operator_output.fail_invalid(session.is_json, problems)
        case editing.Conflict() as conflict:
            operator_output.fail_conflict(session.is_json, conflict)
        case editing.UnresolvedEdit(edit_id, message):
            raise click.ClickException(
                f"the outcome is unknown, since the store is unavailable "
                f"({message}); run the same apply again with --edit-id "
                f"{edit_id}"
            )


def _member_at(address: str) -> partitions.Member:
    return partitions.Member("", address, "", "")


def _members(
    session: Session, known: list[partitions.Member]
) -> list[partitions.Member]:
    try:
        current, _ = partitions.load(session.store)
    except stores.StoreUnavailable:
        # Without the store, go on with the members read before.
        if known:
            return known
        raise
    return list(current.members.values())


def _members_behind(
    statuses: list[status.MemberStatus], revision: int
) -> list[str]:
    live = [member for member in statuses if not member.is_leaving]
    if not live:
        return ["any member, since none is live"]
    return [
        member.member_id or member.address
        for member in live
        if not member.has_revision(revision)
    ]
