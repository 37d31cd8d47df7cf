"""Editing the configuration in the store by compare-and-swap.

An edit names the section revision that its author has read. It is written
together with the head and a history entry in one transaction, on condition
that neither the section nor the head has changed since the document was read
and checked.
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

# Bounds the history's space in the store; older entries are removed by the
# transaction that adds a new one.
MAX_HISTORY_ENTRIES = 2_000
CALL_TIMEOUT_MS = 2_000
FIRST_PAUSE_MS = 20
LONGEST_PAUSE_MS = 1_000


class Edit(NamedTuple):
    """A wish to replace one section.

    :param section: name of the section.
    :param content: new content, or nothing to remove the section.
    :param base_revision: revision of the section that the author has read,
        zero if there was none.
    :param author: who edits.
    :param comment: why.
    :param edit_id: identifies the edit over repeated tries.
    """

    section: str
    content: documents.Content | None
    base_revision: int
    author: str
    comment: str
    edit_id: str


class Side(NamedTuple):
    """One side of a conflict."""

    revision: int
    content: documents.Content | None
    author: str
    comment: str


@dataclasses.dataclass(frozen=True)
class AppliedEdit:
    """The edit is part of the document from this revision on."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The section was changed since the author read it; nothing is written.

    ``base`` is absent if the history no longer holds the common base.
    """

    section: str
    base: Side | None
    theirs: Side
    yours: Side


@dataclasses.dataclass(frozen=True)
class InvalidEdit:
    """The document with this edit fails its checks; nothing is written."""

    problems: list[settings.Problem]


@dataclasses.dataclass(frozen=True)
class UnresolvedEdit:
    """The store stopped answering, and the edit may have been written.

    Applying the same edit again, with its ``edit_id``, tells which.
    """

    edit_id: str
    message: str


Outcome = AppliedEdit | Conflict | InvalidEdit | UnresolvedEdit


class Difference(NamedTuple):
    """A place where two contents differ; an absent value is ``None``."""

    path: str
    old: Any
    new: Any


def new_edit_id() -> str:
    """Return an identifier for a new edit."""
    return secrets.token_hex(8)


class Editor:
    """Reads and changes the configuration in the store.

    :param store: key-value service.
    :param clock: time for history entries, pauses and deadlines.
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
        """Read the whole document.

        :raises StoreUnavailable: if the store does not answer.
        """
        return keys.read(self._store, CALL_TIMEOUT_MS).document

    def check(self, edit: Edit) -> list[settings.Problem]:
        """Check the document as it would be with an edit.

        :param edit: edit to check; its base revision is not looked at.
        :return: what is not accepted.
        """
        return self._checked(self.get(), edit)

    def apply(self, edit: Edit, timeout_ms: int) -> Outcome:
        """Put an edit into the document.

        A failed or unanswered transaction is tried again with the same
        conditions. The edit is searched for in the history first, so it is
        neither written twice nor reported as lost.

        :param edit: edit to apply.
        :param timeout_ms: longest time for all tries.
        :raises BalsamloomError: for a section name that is not accepted.
        :raises StoreUnavailable: if the store does not answer and the edit
            was certainly not written.
        """
        documents.kind_of(edit.section)
        end_ms = self._clock.now_ms() + timeout_ms
        may_be_written = False
        pause_ms = FIRST_PAUSE_MS
        while True:
            try:
                outcome = self._try(edit)
                message = "the document keeps changing"
            except stores.StoreUnavailable as error:
                may_be_written = may_be_written or error.may_have_applied
                outcome, message = None, error.message
            if outcome is not None:
                return outcome
            if self._clock.now_ms() + pause_ms >= end_ms:
                if may_be_written:
                    return UnresolvedEdit(edit.edit_id, message)
                raise stores.StoreUnavailable(message, False)
            self._clock.sleep(random.uniform(0, pause_ms))
            pause_ms = min(2 * pause_ms, LONGEST_PAUSE_MS)

    def history(
        self, section: str | None = None, limit: int = 20
    ) -> list[keys.Change]:
        """Return the latest changes, newest first.

        :param section: section whose changes are wanted, all unless given.
        :param limit: largest number of changes.
        """
        if section is None:
            newest = self._revision()
            first = keys.history_key(max(newest - limit, 0) + 1)
            page = self._store.list_keys(keys.HISTORY, start=first)
            found = [keys.decode_change(item) for item in page.items]
            return found[::-1][:limit]
        documents.kind_of(section)
        current = self.get().sections.get(section)
        chain = self._chain(current.revision if current else 0)
        return [change for change, _ in zip(chain, range(limit), strict=False)]

    def change(self, revision: int) -> keys.Change | None:
        """Return one history entry, if it is still held.

        :param revision: document revision.
        """
        item = self._store.get(keys.history_key(revision))
        return keys.decode_change(item) if item else None

    def build_undo(self, revision: int, author: str, comment: str) -> Edit:
        """Return the edit that takes a change back as a new revision.

        Applying it gives a conflict if the section was changed again since.

        :param revision: document revision of the change.
        :param author: who undoes it.
        :param comment: why; a default text is used if empty.
        :raises BalsamloomError: if the history lacks the change or the
            content before it.
        """
        undone = self._held(revision)
        content = None
        if undone.previous:
            content = self._held(undone.previous).content
        return Edit(
            undone.section,
            content,
            revision,
            author,
            comment or f"undo of revision {revision}",
            new_edit_id(),
        )

    def _try(self, edit: Edit) -> Outcome | None:
        snapshot = keys.read(self._store, CALL_TIMEOUT_MS)
        current = snapshot.document.sections.get(edit.section)
        current_revision = current.revision if current else 0
        if current_revision < edit.base_revision:
            # The author has read a newer revision, so this read was stale.
            return None
        if current_revision > edit.base_revision:
            return self._overtaken(edit, current_revision)
        found = self._checked(snapshot.document, edit)
        if found:
            return InvalidEdit(found)
        revision = snapshot.document.revision + 1
        match self._store.commit(
            _comparisons(snapshot, edit.section),
            self._operations(edit, snapshot.document),
            timeout_ms=CALL_TIMEOUT_MS,
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
        head = keys.HeadValue(revision, edit.section, digest)
        operations: list[stores.Operation] = [
            stores.Put(keys.HEAD, keys.encode(head)),
            stores.Put(keys.section_key(edit.section), keys.encode(section)),
            stores.Put(keys.history_key(revision), keys.encode_change(change)),
        ]
        if revision > MAX_HISTORY_ENTRIES:
            oldest = keys.history_key(revision - MAX_HISTORY_ENTRIES)
            operations.append(stores.Delete(oldest))
        return operations

    def _overtaken(self, edit: Edit, revision: int) -> AppliedEdit | Conflict:
        newest: keys.Change | None = None
        for change in self._chain(revision):
            if change.revision <= edit.base_revision:
                break
            if change.edit_id == edit.edit_id:
                return AppliedEdit(change.revision)
            newest = newest or change
        base = self.change(edit.base_revision)
        return Conflict(
            edit.section,
            _side(base) if base else _nothing(edit.base_revision),
            _side(newest) if newest else self._current(edit.section),
            Side(edit.base_revision, edit.content, edit.author, edit.comment),
        )

    def _current(self, name: str) -> Side:
        section = self.get().sections[name]
        return Side(section.revision, section.content, "", "")

    def _chain(self, revision: int) -> Iterator[keys.Change]:
        while revision:
            change = self.change(revision)
            if change is None:
                return
            yield change
            revision = change.previous

    def _held(self, revision: int) -> keys.Change:
        change = self.change(revision)
        if change is None:
            raise errors.BalsamloomError(
                results.ResultCode.CONFIGURATION_INVALID,
                f"revision {revision} is not in the history; accepted: a "
                f"revision shown by history (the last {MAX_HISTORY_ENTRIES})",
            )
        return change

    def _revision(self) -> int:
        item = self._store.get(keys.HEAD)
        return keys.decode_head(item).revision if item else 0

    def _checked(
        self, document: documents.Document, edit: Edit
    ) -> list[settings.Problem]:
        wanted = documents.Section(edit.content, document.revision + 1)
        return documents.check(
            document.replace(edit.section, wanted), self._schemas
        )


def differences(old: Any, new: Any) -> list[Difference]:
    """Return where two contents differ.

    Lists of objects with an ``id`` are compared by it, so that a backend
    server added in front does not show every other one as changed.

    :param old: decoded JSON.
    :param new: decoded JSON.
    """
    return list(_differences("", _keyed(old), _keyed(new)))


def _differences(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new or type(old) is not type(new):
            yield Difference(path or settings.ROOT_PATH, old, new)
        return
    for name in sorted({*old, *new}):
        below = f"{path}.{name}" if path else name
        yield from _differences(
            below, _keyed(old.get(name)), _keyed(new.get(name))
        )


def _keyed(value: Any) -> Any:
    is_keyed = isinstance(value, list) and all(
        isinstance(entry, dict) and "id" in entry for entry in value
    )
    return {entry["id"]: entry for entry in value} if is_keyed else value


def _comparisons(
    snapshot: keys.Snapshot, section: str
) -> list[stores.Comparison]:
    wanted = {
        keys.HEAD: snapshot.head_mod_revision,
        keys.section_key(section): snapshot.mod_revisions.get(section, 0),
    }
    return [
        stores.RevisionIs(key, mod_revision)
        if mod_revision
        else stores.KeyAbsent(key)
        for key, mod_revision in wanted.items()
    ]


def _side(change: keys.Change) -> Side:
    return Side(change.revision, change.content, change.author, change.comment)


def _nothing(base_revision: int) -> Side | None:
    # An edit based on revision zero creates the section; its base is known.
    return None if base_revision else Side(0, None, "", "")
