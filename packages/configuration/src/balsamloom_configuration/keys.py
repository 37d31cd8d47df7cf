"""Keys and values of the configuration in the key-value service."""

from __future__ import annotations

import json
import zlib
from typing import Any, NamedTuple

from balsamloom_configuration import document as documents
from balsamloom_core import errors, results, settings
from balsamloom_platform import store as stores

HEAD = "/balsamloom/config/head"
SECTIONS = "/balsamloom/config/sections/"
HISTORY = "/balsamloom/config/history/"


class HeadValue(NamedTuple):
    """Document revision, the section that it changed, and a digest.

    The digest is that of the whole document at this revision.
    """

    revision: int
    section: str
    digest: str


class Change(NamedTuple):
    """One entry of the history.

    ``previous`` is the revision at which the section was changed before,
    zero if never; ``content`` is absent if the section was removed.
    """

    revision: int
    section: str
    previous: int
    author: str
    wall_ms: int
    comment: str
    edit_id: str
    content: documents.Content | None


class Snapshot(NamedTuple):
    """The document with the store revisions that a transaction compares."""

    document: documents.Document
    mod_revisions: dict[str, int]
    head_mod_revision: int


def section_key(name: str) -> str:
    """Return the key of a section.

    :param name: name of the section.
    """
    return SECTIONS + name


def history_key(revision: int) -> str:
    """Return the key of a history entry.

    :param revision: document revision.
    """
    return f"{HISTORY}{revision:010d}"


def encode(value: NamedTuple) -> bytes:
    """Return a head or a section as a value of the store.

    :param value: head or section.
    """
    return json.dumps(value._asdict(), separators=(",", ":")).encode()


def encode_change(change: Change) -> bytes:
    """Return a history entry as a compressed value of the store.

    :param change: entry to encode.
    """
    return zlib.compress(encode(change))


def decode_change(item: stores.Item) -> Change:
    """Return the history entry in a value.

    :param item: value read from the store.
    :raises BalsamloomError: if the value is damaged.
    """
    try:
        return Change(**settings.parse(zlib.decompress(item.value)))
    except (ValueError, TypeError, zlib.error) as error:
        raise _damaged(item, error) from error


def decode_head(item: stores.Item) -> HeadValue:
    """Return the head in a value.

    :param item: value read from the store.
    :raises BalsamloomError: if the value is damaged.
    """
    try:
        return HeadValue(**_object(item))
    except TypeError as error:
        raise _damaged(item, error) from error


def decode_section(item: stores.Item) -> documents.Section:
    """Return the section in a value.

    :param item: value read from the store.
    :raises BalsamloomError: if the value is damaged.
    """
    try:
        return documents.Section(**_object(item))
    except TypeError as error:
        raise _damaged(item, error) from error


def read(store: stores.Store, timeout_ms: int) -> Snapshot:
    """Read the whole document with one call.

    One range is taken at one revision of the store, and every edit changes
    its section and the head in one transaction. The highest revision among
    the sections is therefore the head's.

    :param store: key-value service.
    :param timeout_ms: longest wait for the answer.
    :raises StoreUnavailable: if no answer comes in time.
    :raises BalsamloomError: if a value is damaged.
    """
    page = store.list_keys(SECTIONS, timeout_ms=timeout_ms)
    sections = {
        item.key.removeprefix(SECTIONS): decode_section(item)
        for item in page.items
    }
    mod_revisions = {
        item.key.removeprefix(SECTIONS): item.mod_revision
        for item in page.items
    }
    return Snapshot(
        documents.assemble(sections),
        mod_revisions,
        max(mod_revisions.values(), default=0),
    )


def _object(item: stores.Item) -> dict[str, Any]:
    try:
        found = settings.parse(item.value)
    except ValueError as error:
        raise _damaged(item, error) from error
    if not isinstance(found, dict):
        raise _damaged(item, TypeError("not an object"))
    return found


def _damaged(item: stores.Item, error: Exception) -> errors.BalsamloomError:
    return errors.BalsamloomError(
        results.ResultCode.DAMAGED_MESSAGE,
        f"value of {item.key} cannot be read: {error}",
    )
