"""Handler of requests to a storage host."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from balsamloom_conversations import (
    database,
    group_commit,
    messages,
    turns,
    usage_entries,
)
from balsamloom_core import events
from balsamloom_gateway import (
    listeners,
    peer_calls,
    peers,
    stream_registry,
)
from balsamloom_storage import (
    replica_repair,
    turn_fetcher,
    usage_fetcher,
)

WRITE_TIMEOUT_MS = 1_500.0
MAX_FORMER_READ_TURNS = 100


class StorageService:
    """Handler of requests for the turns and usage of one storage host.

    :param store: turns of this host.
    :param commits: writes turns.
    :param repair: replica repair of this host.
    :param streams: versions at which streams began.
    :param name: name of this host.
    """

    def __init__(
        self,
        store: database.TurnDatabase,
        commits: group_commit.GroupCommit,
        repair: replica_repair.ReplicaRepair,
        streams: stream_registry.StreamRegistry,
        name: str,
    ) -> None:
        self._name = name
        self._streams = streams
        self._database = store
        self._commits = commits
        self._repair = repair
        self.handlers = {
            peers.KEEP_TURN_PATH: self._store_turn,
            peers.KEEP_SETTLED_TURN_PATH: self._store_settled_turn,
            peers.CHAIN_PATH: self._read_chain,
            peers.LIST_TURNS_PATH: self._list_turns,
            peers.READ_TURNS_PATH: self._read_batch,
            peers.FORMER_READ_TURNS_PATH: self._read_turns,
            peers.COPY_TURNS_PATH: self._copy_from,
            peers.WRITE_USAGE_PATH: self._write_usage,
            peers.READ_USAGE_PATH: self._read_usage,
            peers.LIST_USAGE_PATH: self._list_usage,
            peers.CLAIM_PATH: self._read_claim,
            peers.RECORD_STREAMS_PATH: self._record_streams,
            peers.FIND_STREAM_PATH: self._find_stream,
        }
        handlers = {
            path: _with_error_handling(path, handler)
            for path, handler in self.handlers.items()
        }
        self._handler = peer_calls.PeerCallHandler(
            handlers, peers.MESSAGE_PACK_TYPE
        )

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Answer one request."""
        self._handler.handle(request, response)

    def _store_turn(self, body: bytes) -> bytes:
        return self._store([messages.decode_turn(body)])

    def _store_settled_turn(self, body: bytes) -> bytes:
        return self._store(messages.decode_settled_turn(body))

    def _write_usage(self, body: bytes) -> bytes:
        """Store entries; return the hosts that do not count beside this."""
        if not self._database.fences.is_complete:
            raise peer_calls.UnavailableError("the fences are being fetched")
        self._store(
            [
                usage_entries.StoredEntry(entry, usage_entries.RETENTION_MS)
                for entry in messages.decode_usage_entries(body)
            ]
        )
        # Read after the entries are stored: a host that fences another one
        # later reads them.
        fenced = sorted(self._database.fences.hosts(self._name))
        return messages.encode_names(fenced) if fenced else b""

    def _store(self, records: Sequence[database.Record]) -> bytes:
        self._check_accepts_records()
        self._commits.write(records, WRITE_TIMEOUT_MS)
        # The other hosts may have copied all records while these were written.
        self._check_accepts_records()
        return b""

    def _read_usage(self, body: bytes) -> bytes:
        # Entries that are fetched meanwhile may miss in what is read.
        claim = self._database.claim
        usage = self._database.usage(_one_name(body))
        return messages.encode_usage(
            usage._replace(
                is_complete=usage.is_complete and claim.has_usage,
                replaced_hosts=tuple(sorted(claim.replaced_hosts)),
            )
        )

    def _list_usage(self, body: bytes) -> bytes:
        query = messages.decode_usage_query(body)
        limit = min(max(query.limit, 1), usage_fetcher.MAX_PAGE_ENTRIES)
        page = self._database.list_usage(query._replace(limit=limit))
        return messages.encode_usage_page(page)

    def _read_claim(self, body: bytes) -> bytes:
        query = messages.decode_claim_query(body)
        store = self._database
        self._repair.claims.fence(query.sender, query.fenced)
        said = messages.DiskClaim(store.disk_id, store.claim, store.fences)
        return messages.encode_claim(said)

    def _check_accepts_records(self) -> None:
        if self._repair.refuses_turns:
            raise peer_calls.UnavailableError("this host is being evacuated")

    def _read_chain(self, body: bytes) -> bytes:
        found = self._database.chain(_one_name(body))
        # Damaged turns and the claim vanish in one step, so a claim that is
        # read after the chain covers it.
        has_turns = self._database.claim.has_turns
        if isinstance(found, turns.Absent) and not has_turns:
            found = turns.Unsure("missing replicas are being fetched")
        return messages.encode_lookup(found)

    def _list_turns(self, body: bytes) -> bytes:
        query = messages.decode_query(body)
        limit = min(max(query.limit, 1), replica_repair.MAX_LIST_ENTRIES)
        entries = self._database.list_after(query.after, limit)
        listing = messages.Listing(
            self._database.disk_id,
            self._repair.is_leaving,
            len(entries) == limit,
            tuple(entries),
        )
        return messages.encode_listing(listing)

    def _read_batch(self, body: bytes) -> bytes:
        query = messages.decode_read_query(body)
        batch = self._database.read_batch(
            query.turn_ids,
            min(query.max_bytes, turn_fetcher.MAX_PART_BYTES),
            turn_fetcher.MAX_PART_TURNS,
        )
        return messages.encode_batch(batch)

    def _read_turns(self, body: bytes) -> bytes:
        names = messages.decode_names(body)[:MAX_FORMER_READ_TURNS]
        return messages.encode_turns(self._database.read(names))

    def _copy_from(self, body: bytes) -> bytes:
        name = _one_name(body)
        return messages.encode_names(self._repair.copy_from(name))

    def _record_streams(self, body: bytes) -> bytes:
        self._streams.record(stream_registry.decode_starts(body))
        return b""

    def _find_stream(self, body: bytes) -> bytes:
        found = self._streams.find(body.decode("latin-1"))
        return stream_registry.encode_lookup(found)


def _one_name(body: bytes) -> str:
    """Decode a single identifier or name.

    :raises InvalidMessageError: it is malformed.
    """
    names = messages.decode_names(body)
    if len(names) != 1:
        raise messages.InvalidMessageError("expected one name")
    return names[0]


def _with_error_handling(
    path: str, handler: Callable[[bytes], bytes]
) -> Callable[[bytes], bytes]:
    """Return a handler that logs disk errors and reports unavailability."""

    def run(body: bytes) -> bytes:
        try:
            return handler(body)
        except (
            database.DatabaseError,
            group_commit.RecordWriteError,
        ) as error:
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
