"""Fetches usage entries from another storage host."""

from __future__ import annotations

from balsamloom_conversations import (
    group_commit,
    messages,
    replicas,
    usage_entries,
)
from balsamloom_gateway import peers

# Small enough that neither host's other requests wait long for its disk.
MAX_PAGE_ENTRIES = 500
CALL_TIMEOUT_MS = 1_000.0
WRITE_TIMEOUT_MS = 2_000.0


class UsageFetcher:
    """Copies the usage entries of other hosts to this one.

    All are copied, as they are few and small, and a host of which a reader
    gets an answer then makes up for any that is silent.

    :param clients: calls to other hosts.
    :param commits: writes entries.
    """

    def __init__(
        self, clients: peers.PeerClients, commits: group_commit.GroupCommit
    ) -> None:
        self._clients = clients
        self._commits = commits

    def fetch(self, host: replicas.StorageHost) -> None:
        """Copy the entries of a host, in pages.

        :raises PeerUnavailableError: the host did not answer.
        :raises InvalidMessageError: its answer is malformed.
        :raises RecordWriteError: a page could not be written.
        """
        query = usage_entries.ListQuery("", "", MAX_PAGE_ENTRIES)
        while True:
            page = self._request_page(host, query)
            if not page:
                return
            self._commits.write(page, WRITE_TIMEOUT_MS)
            last = page[-1].entry
            query = query._replace(
                program_id=last.program_id, holder_id=last.holder_id
            )

    def _request_page(
        self, host: replicas.StorageHost, query: usage_entries.ListQuery
    ) -> list[usage_entries.StoredEntry]:
        body = messages.encode_usage_query(query)
        try:
            answer = self._clients.post(
                host.address, peers.LIST_USAGE_PATH, body, CALL_TIMEOUT_MS
            )
        except peers.PeerPathUnknownError:
            # A host of a former release stores no entries.
            return []
        return messages.decode_usage_page(answer)
