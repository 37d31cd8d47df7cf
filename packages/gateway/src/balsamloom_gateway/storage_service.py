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
from balsamloom_gateway import copies, listeners, peers

WRITE_TIMEOUT_MS = 1_500.0
_FIELDS = ((b"Content-Type", peers.MESSAGE_PACK_TYPE),)


class UnavailableError(Exception):
    """The host cannot serve a call now; another one may."""


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
        self._calls: dict[str, Callable[[bytes], bytes]] = {
            peers.KEEP_TURN_PATH: self._keep,
            peers.CHAIN_PATH: self._chain,
            peers.LIST_TURNS_PATH: self._list,
            peers.READ_TURNS_PATH: self._read,
            peers.COPY_TURNS_PATH: self._copy,
        }

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one call."""
        call = self._calls.get(request.path)
        if call is None:
            reply.send(404, ())
            return
        try:
            reply.send(200, _FIELDS, call(request.read_body()))
        except (
            messages.InvalidMessageError,
            listeners.MalformedBodyError,
            listeners.BodyTooLargeError,
        ) as error:
            events.log(
                events.Event.PEER_MESSAGE_DAMAGED,
                logging.WARNING,
                path=request.path,
                reason=repr(error),
            )
            reply.close_after()
            reply.send(400, ())
        except (
            UnavailableError,
            database.DatabaseError,
            group_commit.NotKeptError,
            peers.PeerUnavailableError,
        ) as error:
            events.log(
                events.Event.DISK_FAILED,
                logging.WARNING,
                path=request.path,
                reason=str(error),
            )
            reply.send(503, ())

    def _keep(self, body: bytes) -> bytes:
        if self._copies.is_leaving:
            raise UnavailableError("this host is being emptied")
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
