"""Decision whose request it is that a caller sends.

Taken for each request, so it costs one look-up and needs no other process.
"""

from __future__ import annotations

import dataclasses
from typing import Generic

from balsamloom_workspaces import credentials, key_tables


@dataclasses.dataclass(frozen=True)
class Identified(Generic[key_tables.H]):
    """The request belongs to a workspace."""

    workspace: key_tables.H


@dataclasses.dataclass(frozen=True)
class Anonymous:
    """The request needs no key and belongs to no workspace."""


@dataclasses.dataclass(frozen=True)
class Unauthorized:
    """The request carries no key that this host knows.

    With ``may_be_newer`` a configuration that this host lacks may have it.
    """

    reason: str
    may_be_newer: bool = False


@dataclasses.dataclass(frozen=True)
class Unsure:
    """The key may have been revoked without this host's knowledge."""

    reason: str


Decision = Identified[key_tables.H] | Anonymous | Unauthorized | Unsure


def decide(
    credential: credentials.Credential,
    table: key_tables.KeyTable[key_tables.H] | None,
    is_public: bool,
    may_be_revoked: bool = False,
) -> Decision[key_tables.H]:
    """Decide whose request it is.

    :param table: keys of the configuration in force, ``None`` if that asks
        for no keys.
    :param is_public: whether the request's route needs no key.
    :param may_be_revoked: whether this host may lack revocations that it must
        know.
    """
    if table is None or is_public:
        return Anonymous()
    match credential:
        case credentials.MissingKey():
            return Unauthorized("the request carries no key")
        case credentials.MalformedKey(reason):
            return Unauthorized(reason)
        case credentials.KeyDigest() if may_be_revoked:
            return Unsure("this host may lack revocations of keys")
        case credentials.KeyDigest(digest):
            workspace = table.find(digest)
    if workspace is None:
        reason = "the key belongs to no workspace"
        return Unauthorized(reason, may_be_newer=True)
    return Identified(workspace)
