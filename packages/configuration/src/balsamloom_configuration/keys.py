"""Keys and values of the configuration in the key-value service."""

from __future__ import annotations

import json
import zlib
from typing import Any, NamedTuple

from balsamloom_configuration import document as documents
from balsamloom_core import errors, results, settings
from balsamloom_platform import store as stores

HEAD_KEY = "/balsamloom/config/head"
SECTIONS_PREFIX = "/balsamloom/config/sections/"
HISTORY_PREFIX = "/balsamloom/config/history/"


class Head(NamedTuple):
    """Latest document revision and the section that it changed.

    ``digest`` is the digest of the whole document at this revision.
    """

    revision: int
    section: str
    digest: str


class Change(NamedTuple):
    """Entry of the history.

    ``previous`` is the revision of the section's previous change, zero if
    there is none; ``content`` is ``None`` if the section was removed.
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
    """Document and the store revisions that a transaction compares."""

    document: documents.Document
    mod_revisions: dict[str, int]
    head_mod_revision: int


def section_key(name: str) -> str:
    """Return the key of a section.

    :param name: name of the section.
    """
    return SECTIONS_PREFIX + name


def history_key(revision: int) -> str:
    """Return the key of a history entry.

    :param revision: document revision.
    """
    return f"{HISTORY_PREFIX}{revision:010d}"


def encode(value: NamedTuple) -> bytes:
    """Encode a head or a section as a value for the store.

    The stored keys are the field names.

    :param value: head or section.
    """
    return json.dumps(value._asdict(), separators=(",", ":")).encode()


def encode_change(change: Change) -> bytes:
    """Encode a history entry as a compressed value for the store.

    :param change: entry to encode.
    """
    return zlib.compress(encode(change))


def decode_change(item: stores.Item) -> Change:
    """Decode a history entry.

    :param item: value read from the store.
    :raises BalsamloomError: if the value is damaged.
    """
    try:
        return Change(**settings.parse(zlib.decompress(item.value)))
    except (ValueError, TypeError, zlib.error) as error:
        raise _damaged(item, error) from error


def decode_head(item: stores.Item) -> Head:
    """Decode a head.

    :param item: value read from the store.
    :raises BalsamloomError: if the value is damaged.
    """
    try:
        return Head(**_parse_object(item))
    except TypeError as error:
        raise _damaged(item, error) from error


def decode_section(item: stores.Item) -> documents.Section:
    """Decode a section.

    :param item: value read from the store.
    :raises BalsamloomError: if the value is damaged.
    """
    try:
        return documents.Section(**_parse_object(item))
    except TypeError as error:
        raise _damaged(item, error) from error


def read(store: stores.Store, timeout_ms: int) -> Snapshot:
    """Read the whole document with one range request.

    A range is read at a single store revision, and every edit changes its
    section and the head in one transaction. The highest revision among the
    sections is therefore that of the head.

    :param store: key-value service.
    :param timeout_ms: maximum wait for the answer.
    :raises StoreUnavailable: if no answer comes in time.
    :raises BalsamloomError: if a value is damaged.
    """
    page = store.list_keys(SECTIONS_PREFIX, timeout_ms=timeout_ms)
    sections = {
        item.key.removeprefix(SECTIONS_PREFIX): decode_section(item)
        for item in page.items
    }
    mod_revisions = {
        item.key.removeprefix(SECTIONS_PREFIX): item.mod_revision
        for item in page.items
    }
    return Snapshot(
        documents.assemble(sections),
        mod_revisions,
        max(mod_revisions.values(), default=0),
    )


def _parse_object(item: stores.Item) -> dict[str, Any]:
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
