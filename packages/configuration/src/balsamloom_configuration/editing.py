"""Editing of the configuration in the store by compare-and-swap.

An edit names the section revision that its author has read. One transaction
writes the section, the head and a history entry, provided that neither the
section nor the head has changed since the document was read and checked.
"""

from __future__ import annotations

import dataclasses
import random
import secrets
from collections.abc import Iterator
from typing import Any, NamedTuple

from balsamloom_configuration import document as documents
from balsamloom_configuration import keys
from balsamloom_core import clock as clocks
from balsamloom_core import errors, results, settings
from balsamloom_platform import store as stores

# Limits the space of the history in the store. The transaction that adds an
# entry removes the oldest one.
MAX_HISTORY_ENTRIES = 2_000
STORE_TIMEOUT_MS = 2_000
MIN_RETRY_DELAY_MS = 20
MAX_RETRY_DELAY_MS = 1_000


class Edit(NamedTuple):
    """Request to replace one section.

    :param section: name of the section.
    :param content: new content, or ``None`` to remove the section.
    :param base_revision: revision of the section that the author has read,
        zero if there was none.
    :param author: author of the edit.
    :param comment: reason for the edit.
    :param edit_id: identifies the edit across retries.
    """

    section: str
    content: documents.Content | None
    base_revision: int
    author: str
    comment: str
    edit_id: str


class ConflictSide(NamedTuple):
    """Version of a section in a conflict."""

    revision: int
    content: documents.Content | None
    author: str
    comment: str


@dataclasses.dataclass(frozen=True)
class AppliedEdit:
    """Outcome of an edit that was applied at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Outcome of an edit whose section has changed since the author read it.

    Nothing was written. ``base`` is ``None`` if the history no longer holds
    the common base.
    """

    section: str
    base: ConflictSide | None
    theirs: ConflictSide
    yours: ConflictSide


@dataclasses.dataclass(frozen=True)
class InvalidEdit:
    """Outcome of an edit that fails the checks; nothing was written."""

    problems: list[settings.Problem]


@dataclasses.dataclass(frozen=True)
class UnresolvedEdit:
    """Outcome of an edit that may have been written before the store failed.

    Applying the same edit again, with its ``edit_id``, resolves this.
    """

    edit_id: str
    message: str


Outcome = AppliedEdit | Conflict | InvalidEdit | UnresolvedEdit


class Difference(NamedTuple):
    """Path at which two contents differ; an absent value is ``None``."""

    path: str
    old: Any
    new: Any


def new_edit_id() -> str:
    """Return an identifier for a new edit."""
    return secrets.token_hex(8)


class Editor:
    """Reads and changes the configuration in the store.

    :param store: key-value service.
    :param clock: source of time for history entries, delays and deadlines.
    :param setting_schemas: schemas of ``routing`` and ``limits``.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        setting_schemas: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._schemas = setting_schemas

    def get(self) -> documents.Document:
        """Return the whole document.

        :raises StoreUnavailable: if the store does not answer.
        """
        return keys.read(self._store, STORE_TIMEOUT_MS).document

    def check(self, edit: Edit) -> list[settings.Problem]:
        """Check the document that an edit would produce.

        :param edit: edit to check; its base revision is ignored.
        :return: problems found.
        """
        return self._check_with(self.get(), edit)

    def apply(self, edit: Edit, timeout_ms: int) -> Outcome:
        """Apply an edit to the document.

        A failed or unanswered transaction is retried with the same base
        revision. A retry looks for the edit in the history first, so the edit
        is neither written twice nor reported as lost.

        :param edit: edit to apply.
        :param timeout_ms: maximum time for all attempts.
        :raises BalsamloomError: for a section name that is not accepted.
        :raises StoreUnavailable: if the store does not answer and the edit
            was definitely not written.
        """
        documents.kind_of(edit.section)
        end_ms = self._clock.now_ms() + timeout_ms
        may_be_written = False
        delay_ms = MIN_RETRY_DELAY_MS
        while True:
            try:
                outcome = self._attempt(edit)
                message = "the document keeps changing"
            except stores.StoreUnavailable as error:
                may_be_written = may_be_written or error.may_have_applied
                outcome, message = None, error.message
            if outcome is not None:
                return outcome
            if self._clock.now_ms() + delay_ms >= end_ms:
                if may_be_written:
                    return UnresolvedEdit(edit.edit_id, message)
                raise stores.StoreUnavailable(message, False)
            self._clock.sleep(random.uniform(0, delay_ms))
            delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)

    def history(
        self, section: str | None = None, limit: int = 20
    ) -> list[keys.Change]:
        """Return the latest changes, newest first.

        :param section: section whose changes to return, by default all.
        :param limit: maximum number of changes.
        """
        if section is None:
            newest = self._head_revision()
            first = keys.history_key(max(newest - limit, 0) + 1)
            page = self._store.list_keys(keys.HISTORY_PREFIX, start=first)
            found = [keys.decode_change(item) for item in page.items]
            return found[::-1][:limit]
        documents.kind_of(section)
        current = self.get().sections.get(section)
        chain = self._section_history(current.revision if current else 0)
        return [change for change, _ in zip(chain, range(limit), strict=False)]

    def change(self, revision: int) -> keys.Change | None:
        """Return one history entry, or ``None`` if it no longer exists.

        :param revision: document revision.
        """
        item = self._store.get(keys.history_key(revision))
        return keys.decode_change(item) if item else None

    def build_undo(self, revision: int, author: str, comment: str) -> Edit:
        """Return an edit that undoes a change as a new revision.

        Applying it results in a conflict if the section has changed since.

        :param revision: document revision of the change.
        :param author: author of the new edit.
        :param comment: reason for the edit; a default text is used if empty.
        :raises BalsamloomError: if the history lacks the change or the
            previous content.
        """
        target = self._require_change(revision)
        content = None
        if target.previous:
            content = self._require_change(target.previous).content
        return Edit(
            target.section,
            content,
            revision,
            author,
            comment or f"undo of revision {revision}",
            new_edit_id(),
        )

    def _attempt(self, edit: Edit) -> Outcome | None:
        snapshot = keys.read(self._store, STORE_TIMEOUT_MS)
        current = snapshot.document.sections.get(edit.section)
        current_revision = current.revision if current else 0
        if current_revision < edit.base_revision:
            # The author has read a newer revision, so this read is stale.
            return None
        if current_revision > edit.base_revision:
            return self._resolve_stale_base(edit, current_revision)
        found = self._check_with(snapshot.document, edit)
        if found:
            return InvalidEdit(found)
        revision = snapshot.document.revision + 1
        match self._store.commit(
            _comparisons(snapshot, edit.section),
            self._operations(edit, snapshot.document),
            timeout_ms=STORE_TIMEOUT_MS,
        ):
            case stores.Committed():
                return AppliedEdit(revision)
            case stores.Conflict():
                return None

    def _operations(
        self, edit: Edit, document: documents.Document
    ) -> list[stores.Operation]:
        revision = document.revision + 1
        change = keys.Change(
            revision,
            edit.section,
            edit.base_revision,
            edit.author,
            self._clock.wall_ms(),
            edit.comment,
            edit.edit_id,
            edit.content,
        )
        section = documents.Section(edit.content, revision, edit.edit_id)
        digest = documents.digest(document.replace(edit.section, section))
        head = keys.Head(revision, edit.section, digest)
        operations: list[stores.Operation] = [
            stores.Put(keys.HEAD_KEY, keys.encode(head)),
            stores.Put(keys.section_key(edit.section), keys.encode(section)),
            stores.Put(keys.history_key(revision), keys.encode_change(change)),
        ]
        if revision > MAX_HISTORY_ENTRIES:
            oldest = keys.history_key(revision - MAX_HISTORY_ENTRIES)
            operations.append(stores.Delete(oldest))
        return operations

    def _resolve_stale_base(
        self, edit: Edit, revision: int
    ) -> AppliedEdit | Conflict:
        newest: keys.Change | None = None
        for change in self._section_history(revision):
            if change.revision <= edit.base_revision:
                break
            if change.edit_id == edit.edit_id:
                return AppliedEdit(change.revision)
            newest = newest or change
        base = self.change(edit.base_revision)
        return Conflict(
            edit.section,
            _to_side(base) if base else _new_section_base(edit.base_revision),
            _to_side(newest) if newest else self._current_side(edit.section),
            ConflictSide(
                edit.base_revision, edit.content, edit.author, edit.comment
            ),
        )

    def _current_side(self, name: str) -> ConflictSide:
        section = self.get().sections[name]
        return ConflictSide(section.revision, section.content, "", "")

    def _section_history(self, revision: int) -> Iterator[keys.Change]:
        while revision:
            change = self.change(revision)
            if change is None:
                return
            yield change
            revision = change.previous

    def _require_change(self, revision: int) -> keys.Change:
        change = self.change(revision)
        if change is None:
            raise errors.BalsamloomError(
                results.ResultCode.CONFIGURATION_INVALID,
                f"revision {revision} is not in the history; accepted: a "
                f"revision shown by history (the last {MAX_HISTORY_ENTRIES})",
            )
        return change

    def _head_revision(self) -> int:
        item = self._store.get(keys.HEAD_KEY)
        return keys.decode_head(item).revision if item else 0

    def _check_with(
        self, document: documents.Document, edit: Edit
    ) -> list[settings.Problem]:
        wanted = documents.Section(edit.content, document.revision + 1)
        return documents.check(
            document.replace(edit.section, wanted), self._schemas
        )


def differences(old: Any, new: Any) -> list[Difference]:
    """Return the differences between two contents.

    Lists of objects with an ``id`` are compared by it, so that inserting a
    backend server does not report all following ones as changed.

    :param old: decoded JSON.
    :param new: decoded JSON.
    """
    return list(_differences("", _by_id(old), _by_id(new)))


def _differences(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new or type(old) is not type(new):
            yield Difference(path or settings.ROOT_PATH, old, new)
        return
    for name in sorted({*old, *new}):
        child_path = f"{path}.{name}" if path else name
        yield from _differences(
            child_path, _by_id(old.get(name)), _by_id(new.get(name))
        )


def _by_id(value: Any) -> Any:
    has_ids = isinstance(value, list) and all(
        isinstance(entry, dict) and "id" in entry for entry in value
    )
    return {entry["id"]: entry for entry in value} if has_ids else value


def _comparisons(
    snapshot: keys.Snapshot, section: str
) -> list[stores.Comparison]:
    wanted = {
        keys.HEAD_KEY: snapshot.head_mod_revision,
        keys.section_key(section): snapshot.mod_revisions.get(section, 0),
    }
    return [
        stores.RevisionIs(key, mod_revision)
        if mod_revision
        else stores.KeyAbsent(key)
        for key, mod_revision in wanted.items()
    ]


def _to_side(change: keys.Change) -> ConflictSide:
    return ConflictSide(
        change.revision, change.content, change.author, change.comment
    )


def _new_section_base(base_revision: int) -> ConflictSide | None:
    # Revision zero means that the section did not exist, so its base is empty.
    return None if base_revision else ConflictSide(0, None, "", "")
