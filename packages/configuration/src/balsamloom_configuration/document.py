"""Configuration document: its sections, validation and encoding.

A document is the set of sections at one revision. Each section has the
document revision of its last change, so the document's revision is the highest
one among its sections.
"""

from __future__ import annotations

import hashlib
import json
import re
import zlib
from collections.abc import Iterator
from typing import Any, NamedTuple

from balsamloom_configuration import schemas
from balsamloom_core import errors, results, settings

TEAM_KINDS = frozenset({"models", "services", "customers"})
# An edit writes the section and its history entry in one transaction, and the
# key-value service limits a transaction to 1.5 MB.
MAX_SECTION_BYTES = 500_000
_TEAM_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_DIGEST_BYTES = 16

Content = dict[str, Any]
_Path = tuple[str, ...]


class Section(NamedTuple):
    """Section; ``content`` is ``None`` once the section was removed."""

    content: Content | None
    revision: int
    edit_id: str = ""


class Document(NamedTuple):
    """All sections at one revision."""

    revision: int
    sections: dict[str, Section]

    def content(self, name: str) -> Content:
        """Return a section's content, empty if the section does not exist.

        :param name: name of the section.
        """
        section = self.sections.get(name)
        return (section.content if section else None) or {}

    def merged(self, kind: str) -> Content:
        """Return the entries of all sections of a kind, with defaults.

        :param kind: ``models``, ``services`` or another kind.
        """
        result: Content = {}
        for name in sorted(self.sections):
            if kind_of(name) == kind:
                result.update(self.content(name))
        return settings.with_defaults(result, schemas.SECTIONS[kind])

    def replace(self, name: str, section: Section) -> Document:
        """Return a copy of the document with one section replaced.

        :param name: name of the section.
        :param section: its new state.
        """
        return assemble({**self.sections, name: section})


EMPTY = Document(0, {})


def assemble(sections: dict[str, Section]) -> Document:
    """Return the document with these sections.

    :param sections: sections by name.
    """
    revisions = [section.revision for section in sections.values()]
    return Document(max(revisions, default=0), sections)


def kind_of(name: str) -> str:
    """Return the kind of a section.

    :param name: a kind, or ``kind/team`` for a team's own section.
    :raises BalsamloomError: if the name is not accepted.
    """
    kind, separator, team = name.partition("/")
    if not separator and kind in schemas.SECTIONS:
        return kind
    if kind in TEAM_KINDS and _TEAM_PATTERN.fullmatch(team):
        return kind
    kinds = ", ".join(schemas.SECTIONS)
    teams = ", ".join(f"{own}/<team>" for own in sorted(TEAM_KINDS))
    raise errors.BalsamloomError(
        results.ResultCode.UNKNOWN_SECTION,
        f"section {name!r}; accepted: {kinds}, {teams}",
    )


def check_section(
    name: str,
    content: Any,
    setting_schemas: dict[str, dict[str, Any]] | None = None,
) -> list[settings.Problem]:
    """Check one section without reference to others.

    :param name: name of the section.
    :param content: decoded JSON.
    :param setting_schemas: schemas of ``routing`` and ``limits`` that replace
        the permissive ones.
    :return: problems found, with paths that start with the section name.
    """
    kind = kind_of(name)
    schema = {**schemas.SECTIONS, **(setting_schemas or {})}[kind]
    problems = [
        problem._replace(path=_join_path(name, problem.path))
        for problem in settings.problems(content, schema)
    ]
    size_bytes = len(json.dumps(content))
    if size_bytes > MAX_SECTION_BYTES:
        accepted = f"at most {MAX_SECTION_BYTES} bytes; split it by team"
        problems.append(
            settings.Problem(name, f"{size_bytes} bytes", accepted)
        )
    return problems


def check(
    document: Document,
    setting_schemas: dict[str, dict[str, Any]] | None = None,
    known: Document = EMPTY,
) -> list[settings.Problem]:
    """Check all sections and the references between them.

    :param document: document to check.
    :param setting_schemas: as for :func:`check_section`.
    :param known: document that passed with the same schemas. Sections equal
        to its own skip schema validation, which takes most of the time.
    :return: problems found.
    """
    problems: list[settings.Problem] = []
    for name, section in sorted(document.sections.items()):
        is_known = section == known.sections.get(name)
        if section.content is not None and not is_known:
            problems.extend(
                check_section(name, section.content, setting_schemas)
            )
    if problems:
        return problems
    problems.extend(_duplicate_names(document))
    problems.extend(_duplicate_servers(document))
    problems.extend(_unresolved_references(document))
    return problems


def encode(document: Document, since: int = 0) -> bytes:
    """Encode a document, or the changes in it, for a peer.

    :param document: document to send.
    :param since: revision that the receiver holds; sections unchanged since
        then are omitted.
    :return: digest and compressed JSON.
    """
    body = {
        "revision": document.revision,
        "since": since,
        "digest": digest(document),
        "sections": {
            name: section
            for name, section in document.sections.items()
            if section.revision > since
        },
    }
    raw = zlib.compress(json.dumps(body, separators=(",", ":")).encode())
    return _digest(raw) + raw


def decode(value: bytes, known: Document) -> Document:
    """Decode a document sent by a peer.

    :param value: bytes from :func:`encode`.
    :param known: document held when the request was sent.
    :raises BalsamloomError: if the message is damaged, or its changes do not
        apply to the known document.
    """
    raw = value[_DIGEST_BYTES:]
    if value[:_DIGEST_BYTES] != _digest(raw):
        raise errors.BalsamloomError(
            results.ResultCode.DAMAGED_MESSAGE,
            "checksum mismatch in a configuration from a peer",
        )
    body = settings.parse(zlib.decompress(raw))
    sections = {
        name: Section(*fields) for name, fields in body["sections"].items()
    }
    if body["since"]:
        sections = {**known.sections, **sections}
    document = assemble(sections)
    if digest(document) != body["digest"]:
        raise errors.BalsamloomError(
            results.ResultCode.DAMAGED_MESSAGE,
            f"changes since revision {body['since']} do not turn the known "
            f"revision {known.revision} into revision {body['revision']}",
        )
    return document


def digest(document: Document) -> str:
    """Return a digest of all sections with their revisions.

    :param document: document to digest.
    """
    raw = json.dumps(document.sections, sort_keys=True)
    return _digest(raw.encode()).hex()


def _digest(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()


def _join_path(name: str, path: str) -> str:
    if path == settings.ROOT_PATH:
        return name
    return f"{name}{path}" if path.startswith("[") else f"{name}.{path}"


def _entries(document: Document, *kinds: str) -> Iterator[tuple[_Path, Any]]:
    for name in sorted(document.sections):
        if kind_of(name) in kinds:
            for entry, value in document.content(name).items():
                yield (name, entry), value


def _duplicate_names(document: Document) -> Iterator[settings.Problem]:
    # A pool is named after a model or a service, so both share a namespace.
    for kinds in (("models", "services"), ("customers",)):
        first: dict[str, str] = {}
        for (section, name), _ in _entries(document, *kinds):
            if name in first:
                yield settings.Problem(
                    f"{section}.{name}",
                    f"name {name!r} is also in section {first[name]}",
                    "a name that no other section has",
                )
            first.setdefault(name, section)


def _servers(document: Document) -> Iterator[tuple[str, dict[str, Any]]]:
    for (section, name), pool in _entries(document, "models", "services"):
        for number, server in enumerate(pool["servers"]):
            yield f"{section}.{name}.servers[{number}]", server


def _duplicate_servers(document: Document) -> Iterator[settings.Problem]:
    first: dict[str, str] = {}
    for path, server in _servers(document):
        server_id = server["id"]
        if server_id in first:
            yield settings.Problem(
                f"{path}.id",
                f"backend server {server_id!r} is also at {first[server_id]}",
                "an id that no other backend server has",
            )
        first.setdefault(server_id, path)


def _unresolved_references(document: Document) -> Iterator[settings.Problem]:
    models = {name: pool for (_, name), pool in _entries(document, "models")}
    servers = {
        server["id"] for pool in models.values() for server in pool["servers"]
    }
    for (section, engine_id), engine in _entries(document, "engines"):
        if engine_id not in servers:
            yield settings.Problem(
                f"{section}.{engine_id}",
                f"engine {engine_id!r} is not a backend server of any model",
                "the id of a backend server in a models section",
            )
        if engine["model"] not in models:
            yield settings.Problem(
                f"{section}.{engine_id}.model",
                f"model {engine['model']!r} is not in any models section",
                "one of " + (", ".join(sorted(models)) or "no models yet"),
            )
