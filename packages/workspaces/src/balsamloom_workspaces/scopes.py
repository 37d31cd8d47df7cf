"""Identifiers that belong to a workspace.

What is stored under a scoped identifier does not exist for the callers of
other workspaces, who cannot name it.
"""

from __future__ import annotations

import urllib.parse
from typing import NamedTuple

SEPARATOR = "/"


class Scope(NamedTuple):
    """Owner of identifiers.

    ``workspace_name`` is empty for callers without a workspace, and ``None``
    while the configuration has no workspaces at all: then identifiers stay as
    callers send them.
    """

    workspace_name: str | None = None

    def identifier(self, sent: str) -> str:
        """Return the identifier to store under; empty ones stay empty.

        :param sent: identifier that a caller sent.
        """
        if self.workspace_name is None or not sent:
            return sent
        owner = urllib.parse.quote(self.workspace_name, safe="")
        return owner + SEPARATOR + sent


UNSCOPED = Scope()
