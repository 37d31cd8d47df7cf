"""Fetches turns from another storage host, in parts of bounded size."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from balsamloom_conversations import (
    group_commit,
    messages,
    replicas,
    turns,
)
from balsamloom_gateway import peers

# Small enough that neither host's other requests wait long for its disk.
MAX_PART_TURNS = 100
MAX_PART_BYTES = 1_000_000
# A part may be a single turn of several MB.
READ_TIMEOUT_MS = 2_000.0
WRITE_TIMEOUT_MS = 4_000.0


class _Part(NamedTuple):
    """Turns of one call, turns still to ask for, and their size if known."""

    turns: Sequence[turns.Turn]
    rest: Sequence[str]
    left_bytes: int


class TurnFetcher:
    """Copies turns of other hosts to this one.

    :param clients: calls to other hosts.
    :param commits: writes turns.
    """

    def __init__(
        self, clients: peers.PeerClients, commits: group_commit.GroupCommit
    ) -> None:
        self._clients = clients
        self._commits = commits

    def fetch(
        self,
        host: replicas.StorageHost,
        turn_ids: Sequence[str],
        on_progress: Callable[[int], None],
    ) -> int:
        """Copy turns and return their number.

        Each part is on the disk before the next is requested.
        Turns that the host does not store are passed over.

        :param host: host that lists the turns.
        :param turn_ids: turns to copy.
        :param on_progress: called with the bytes that are still missing after
            each part.
        :raises PeerUnavailableError: the host did not answer.
        :raises InvalidMessageError: its answer is malformed.
        :raises RecordWriteError: a part could not be written.
        """
        rest = turn_ids
        copied = 0
        while rest:
            part = self._request_part(host, rest)
            self._commits.write(part.turns, WRITE_TIMEOUT_MS)
            copied += len(part.turns)
            rest = part.rest
            on_progress(part.left_bytes)
        return copied

    def _request_part(
        self, host: replicas.StorageHost, turn_ids: Sequence[str]
    ) -> _Part:
        query = messages.ReadQuery(tuple(turn_ids), MAX_PART_BYTES)
        try:
            answer = self._clients.post(
                host.address,
                peers.READ_TURNS_PATH,
                messages.encode_read_query(query),
                READ_TIMEOUT_MS,
            )
        except peers.PeerPathUnknownError:
            return self._request_of_former_release(host, turn_ids)
        batch = messages.decode_batch(answer)
        return _Part(
            batch.turns, _after_last(turn_ids, batch.turns), batch.left_bytes
        )

    def _request_of_former_release(
        self, host: replicas.StorageHost, turn_ids: Sequence[str]
    ) -> _Part:
        """Request one turn, since such a host doesn't bound its answers."""
        answer = self._clients.post(
            host.address,
            peers.FORMER_READ_TURNS_PATH,
            messages.encode_names(turn_ids[:1]),
            READ_TIMEOUT_MS,
        )
        return _Part(messages.decode_turns(answer), turn_ids[1:], 0)


def _after_last(
    turn_ids: Sequence[str], found: Sequence[turns.Turn]
) -> Sequence[str]:
    """Return the identifiers that follow the last turn found.

    Without any, the host stores none of them.

    :raises InvalidMessageError: the turn was not asked for.
    """
    if not found:
        return ()
    last = found[-1].turn_id
    if last not in turn_ids:
        raise messages.InvalidMessageError(f"turn {last} was not requested")
    return turn_ids[turn_ids.index(last) + 1 :]
