"""Handler of calls to a storage host."""

from __future__ import annotations

import logging
from collections.abc import Callable

from balsamloom_conversations import (
    database,
    group_commit,
    messages,
    turns,
)
from balsamloom_core import events
from balsamloom_gateway import copies, listeners, peer_calls, peers

WRITE_TIMEOUT_MS = 1_500.0


class StorageService:
    """Serves the turns of one storage host.

    :param store: turns of this host.
    :param commits: writes turns.
    :param kept: copies of other hosts' turns.
    """

    def __init__(
        self,
        store: database.TurnDatabase,
        commits: group_commit.GroupCommit,
        kept: copies.Copies,
    ) -> None:
        self._store = store
        self._commits = commits
        self._copies = kept
        self.calls = {
            peers.KEEP_TURN_PATH: self._keep,
            peers.CHAIN_PATH: self._chain,
            peers.LIST_TURNS_PATH: self._list,
            peers.READ_TURNS_PATH: self._read,
            peers.COPY_TURNS_PATH: self._copy,
        }
        reporting = {
            path: _reporting(path, call) for path, call in self.calls.items()
        }
        self._handler = peer_calls.PeerCalls(
            reporting, peers.MESSAGE_PACK_TYPE
        )

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one call."""
        self._handler.handle(request, reply)

    def _keep(self, body: bytes) -> bytes:
        if self._copies.is_leaving:
            raise peer_calls.UnavailableError("this host is being emptied")
        turn = messages.decode_turn(body)
        self._commits.write([turn], WRITE_TIMEOUT_MS)
        return b""

    def _chain(self, body: bytes) -> bytes:
        names = messages.decode_names(body)
        if len(names) != 1:
            raise messages.InvalidMessageError("one turn is asked for")
        found = self._store.chain(names[0])
        if isinstance(found, turns.Absent) and not self._copies.is_whole:
            found = turns.Unsure("copies are being fetched")
        return messages.encode_lookup(found)

    def _list(self, body: bytes) -> bytes:
        query = messages.decode_query(body)
        limit = min(max(query.limit, 1), copies.LIST_ENTRIES)
        entries = self._store.list_after(query.after, limit)
        listing = messages.Listing(
            self._store.disk_id,
            self._copies.is_leaving,
            len(entries) == limit,
            tuple(entries),
        )
        return messages.encode_listing(listing)

    def _read(self, body: bytes) -> bytes:
        names = messages.decode_names(body)[: copies.READ_TURNS]
        return messages.encode_turns(self._store.read(names))

    def _copy(self, body: bytes) -> bytes:
        names = messages.decode_names(body)
        if len(names) != 1:
            raise messages.InvalidMessageError("one host leaves")
        return messages.encode_names(self._copies.copy_from(names[0]))


def _reporting(
    path: str, call: Callable[[bytes], bytes]
) -> Callable[[bytes], bytes]:
    """Return a call that reports what its disk or another host refused."""

    def run(body: bytes) -> bytes:
        try:
            return call(body)
        except (database.DatabaseError, group_commit.TurnWriteError) as error:
            events.log(
                events.Event.DISK_FAILED,
                logging.WARNING,
                path=path,
                reason=str(error),
            )
            raise peer_calls.UnavailableError(str(error)) from error
        except peers.PeerUnavailableError as error:
            raise peer_calls.UnavailableError(str(error)) from error

    return run
