"""Keeps the copies of turns complete at one storage host.

Each host fetches what it should have and lacks from the others: after it
comes back, after another one ends, and from time to time, for writes that it
missed. Nothing is deleted before its retention is over.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence

from balsamloom_conversations import (
    database,
    group_commit,
    messages,
    replicas,
)
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import peers

LIST_ENTRIES = 2_000
# Turns fetched in one call, so that a long repair leaves room for service.
READ_TURNS = 100
CALL_TIMEOUT_MS = 400.0
WRITE_TIMEOUT_MS = 4_000.0
# Rounds that a host must miss before others take over its turns.
MISSED_ROUNDS = 2


class _Source:
    """What is known of another host's turns."""

    def __init__(self, disk_id: str) -> None:
        self.disk_id = disk_id
        # Number of the last turn that was looked at.
        self.cursor = 0
        self.is_leaving = False
        self.missed_rounds = 0

    @property
    def is_up(self) -> bool:
        """Return whether the host can be expected to keep turns."""
        return self.missed_rounds < MISSED_ROUNDS


class Copies:
    """Fetches the turns that this host should have.

    :param own: this host.
    :param hosts: returns the registered storage hosts.
    :param store: turns of this host.
    :param commits: writes turns.
    :param clients: calls to other processes.
    :param clock: time source.
    :param copies: disks that must hold a turn.
    :param is_whole: whether this host misses nothing that was written to it.
    """

    def __init__(
        self,
        own: replicas.StorageHost,
        hosts: Callable[[], list[replicas.StorageHost]],
        store: database.TurnDatabase,
        commits: group_commit.GroupCommit,
        clients: peers.PeerClients,
        clock: clocks.Clock,
        copies: int,
        is_whole: bool,
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._store = store
        self._commits = commits
        self._clients = clients
        self._clock = clock
        self._copies = copies
        self._lock = threading.Lock()
        self._sources: dict[str, _Source] = {}
        self._keepers: list[str] = []
        self.is_whole = is_whole
        self.is_leaving = False
        self.fetched_turns = 0

    def run_round(self) -> bool:
        """Fetch what is missing; return whether all hosts answered."""
        with self._lock:
            return self._run_round()

    def copy_from(self, leaving: str) -> list[str]:
        """Fetch all that this host should have once another one leaves.

        :param leaving: name of the host that leaves.
        :return: names of the hosts that share the turns from then on.
        :raises PeerUnavailableError: a host did not answer.
        """
        with self._lock:
            hosts = self._others()
            for host in hosts:
                if host.name == leaving:
                    source = self._source(host)
                    source.is_leaving = True
                    source.cursor = 0
                    self._note_keepers()
                    self._fetch_from(host, source)
            return self._keepers

    def other_keepers(self) -> list[replicas.StorageHost]:
        """Return the other hosts that take part in keeping turns."""
        with self._lock:
            return [
                host
                for host in self._others()
                if self._source(host).is_up
                and not self._source(host).is_leaving
            ]

    def note_damage(self) -> None:
        """Look at all turns of the other hosts again."""
        with self._lock:
            self.is_whole = False
            for source in self._sources.values():
                source.cursor = 0

    def _run_round(self) -> bool:
        others = self._others()
        known = {host.name for host in others}
        for name in set(self._sources) - known:
            del self._sources[name]
        for host in others:
            self._source(host)
        self._note_keepers()
        is_complete = True
        for host in others:
            is_complete &= self._visit(host)
        if self._note_keepers():
            # Other hosts now share the turns, so all are looked at again.
            for host in others:
                is_complete &= self._visit(host)
        if is_complete and others:
            self.is_whole = True
        return is_complete

    def _visit(self, host: replicas.StorageHost) -> bool:
        source = self._source(host)
        try:
            self._fetch_from(host, source)
        except (
            peers.PeerUnavailableError,
            messages.InvalidMessageError,
            group_commit.TurnWriteError,
            database.DatabaseError,
        ) as error:
            if source.is_up:
                events.log(
                    events.Event.STORAGE_CALL_FAILED,
                    logging.WARNING,
                    host=host.name,
                    reason=str(error),
                )
            if isinstance(error, peers.PeerUnavailableError):
                source.missed_rounds += 1
            return False
        source.missed_rounds = 0
        return True

    def _note_keepers(self) -> bool:
        """Take in who shares the turns; return whether that changed."""
        keepers = [self._own.name]
        for name, source in self._sources.items():
            if source.is_up and not source.is_leaving:
                keepers.append(name)
        keepers.sort()
        if keepers == self._keepers:
            return False
        self._keepers = keepers
        for source in self._sources.values():
            source.cursor = 0
        return True

    def _fetch_from(self, host: replicas.StorageHost, source: _Source) -> None:
        fetched = 0
        keepers = self._keeping_hosts()
        while True:
            listing = self._list(host, source)
            wanted = [
                entry.turn_id
                for entry in listing.entries
                if replicas.is_target(
                    self._own.name, entry.group_id, keepers, self._copies
                )
            ]
            missing = self._store.find_missing(wanted)
            for start in range(0, len(missing), READ_TURNS):
                self._read(host, missing[start : start + READ_TURNS])
            fetched += len(missing)
            if listing.entries:
                source.cursor = listing.entries[-1].sequence
            if not listing.has_more:
                break
        self.fetched_turns += fetched
        if fetched:
            events.log(
                events.Event.COPIES_FETCHED, host=host.name, turns=fetched
            )

    def _list(
        self, host: replicas.StorageHost, source: _Source
    ) -> messages.Listing:
        query = messages.ListQuery(source.cursor, LIST_ENTRIES)
        answer = self._clients.exchange(
            host.address,
            peers.LIST_TURNS_PATH,
            messages.encode_query(query),
            CALL_TIMEOUT_MS,
        )
        listing = messages.decode_listing(answer)
        if listing.disk_id != source.disk_id:
            source.disk_id = listing.disk_id
            if source.cursor:
                # Numbers of another disk say nothing of this one.
                source.cursor = 0
                return self._list(host, source)
        source.is_leaving = listing.is_leaving
        return listing

    def _read(
        self, host: replicas.StorageHost, turn_ids: Sequence[str]
    ) -> None:
        answer = self._clients.exchange(
            host.address,
            peers.READ_TURNS_PATH,
            messages.encode_names(turn_ids),
            CALL_TIMEOUT_MS,
        )
        self._commits.write(messages.decode_turns(answer), WRITE_TIMEOUT_MS)

    def _keeping_hosts(self) -> list[replicas.StorageHost]:
        """Return the hosts that share the turns, this one among them."""
        hosts = [host for host in self._others() if host.name in self._keepers]
        return [*hosts, self._own]

    def _others(self) -> list[replicas.StorageHost]:
        return [host for host in self._hosts() if host.name != self._own.name]

    def _source(self, host: replicas.StorageHost) -> _Source:
        source = self._sources.get(host.name)
        if source is None:
            source = _Source(host.disk_id)
            self._sources[host.name] = source
        return source
