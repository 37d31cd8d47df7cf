"""Replica repair: fetches what a storage host should have but lacks.

A host fetches them from the other hosts after it restarts, after another host
fails, and periodically, for writes that it missed. Turns are not deleted
before their retention ends.
"""

from __future__ import annotations

import functools
import logging
import math
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
from balsamloom_storage import (
    disk_claims,
    sources,
    turn_fetcher,
    usage_fetcher,
)

MAX_LIST_ENTRIES = 2_000
CALL_TIMEOUT_MS = 400.0
PROGRESS_INTERVAL_MS = 1_000.0


class ReplicaRepair:
    """Fetches the turns that this host should have.

    :param own: this host.
    :param hosts: returns the registered storage hosts.
    :param store: turns of this host.
    :param commits: writes turns.
    :param clients: calls to other processes.
    :param clock: time source.
    :param copies: number of hosts that must store a turn.
    :param knows_hosts: returns whether ``hosts`` shows all that were
        registered at a time.
    :param longest_retention_ms: returns how long a record is kept at most.
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
        knows_hosts: Callable[[float], bool],
        longest_retention_ms: Callable[[], float],
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._store = store
        self._fetcher = turn_fetcher.TurnFetcher(clients, commits)
        self._usage_fetcher = usage_fetcher.UsageFetcher(clients, commits)
        self._clients = clients
        self._clock = clock
        self._copies = copies
        self._lock = threading.Lock()
        self._sources: dict[str, sources.Source] = {}
        self.claims = disk_claims.DiskClaims(
            own,
            store,
            self._sources,
            clock,
            copies,
            longest_retention_ms,
        )
        self._knows_hosts = knows_hosts
        self._active_hosts: list[str] = []
        self._listed = sources.ListedTurns(copies)
        # Losses of records on this disk that the latest round knew of, and
        # the time at which it learnt of the last of them.
        self._known_losses = store.claim.losses
        self._lost_ms = clock.now_ms()
        self.is_leaving = False
        # Whether this host, which is leaving, stores no new turns.
        self.refuses_turns = False
        self.fetched_turns = 0
        self._next_progress_ms = 0.0

    def missing_bytes(self) -> int:
        """Return the size of the turns that are still to be fetched.

        They are those of the last listing of each host, known from its first
        answer with turns on.
        """
        sources = list(self._sources.values())
        return sum(source.missing_bytes for source in sources)

    def run_round(self) -> bool:
        """Fetch missing turns; return whether all hosts answered."""
        with self._lock:
            return self._run_round()

    def copy_from(self, leaving: str) -> list[str]:
        """Fetch the turns that this host takes over from a leaving host.

        :param leaving: name of the leaving host.
        :return: names of the hosts that store turns from then on.
        :raises PeerUnavailableError: a host did not answer, or this one does
            not take over what the leaving one has.
        """
        if self.is_leaving:
            raise peers.PeerUnavailableError("this host leaves as well")
        with self._lock:
            for host in self._other_hosts():
                if host.name == leaving:
                    self._take_over(host)
                    return self._active_hosts
        raise peers.PeerUnavailableError(f"{leaving} is not known here")

    def _take_over(self, host: replicas.StorageHost) -> None:
        source = self._source(host)
        source.is_leaving = True
        source.restart()
        self._update_active_hosts()
        if not self._fetch_from(host, source):
            raise peers.PeerUnavailableError(f"{host.name} lacks turns")

    def other_active_hosts(self) -> list[replicas.StorageHost]:
        """Return the other hosts that are up and not leaving.

        It does not wait for a round, which lasts as long as the turns that
        are missing take.
        """
        return [
            host for host in self._other_hosts() if self._is_active(host.name)
        ]

    def _run_round(self) -> bool:
        claim = self._store.claim
        if claim.losses != self._known_losses:
            self._known_losses = claim.losses
            self.claims.log()
            self._lost_ms = self._clock.now_ms()
            for source in self._sources.values():
                source.restart()
        # Asked before the hosts are, as records may lie on the others.
        has_all_hosts = self._knows_hosts(self._last_change_ms())
        others = self._other_hosts()
        known = {host.name for host in others}
        for name in set(self._sources) - known:
            del self._sources[name]
        for host in others:
            self._source(host)
        self._update_active_hosts()
        is_complete = self.claims.try_update_fence(has_all_hosts)
        for host in others:
            is_complete &= self._try_fetch_from(host)
        if self._update_active_hosts():
            # The placement of turns changed, so all are examined again.
            is_complete &= self.claims.try_update_fence(has_all_hosts)
            for host in others:
                is_complete &= self._try_fetch_from(host)
        if not claim.has_turns:
            is_complete &= self._fetch_short(others)
        self.claims.update(claim, has_all_hosts)
        return is_complete and self.claims.are_fences_settled()

    def _last_change_ms(self) -> float:
        """Return when this disk or another host was found to have failed.

        A host that was registered before may have records that are missing.
        """
        missed_ms = [
            source.missed_since_ms for source in self._sources.values()
        ]
        return max(self._lost_ms, *missed_ms, -math.inf)

    def _fetch_short(self, others: Sequence[replicas.StorageHost]) -> bool:
        """Fetch the turns that too few hosts list; return whether all came."""
        is_complete = True
        for host in others:
            turn_ids = self._listed.pop_short(host.name)
            source = self._source(host)
            if not turn_ids:
                continue
            if source.is_read:
                is_complete &= self._try(
                    host,
                    functools.partial(
                        self._fetch_listed, host, source, turn_ids
                    ),
                )
            if not self._source(host).is_read:
                # They are listed again in the next round.
                source.restart()
        self._listed.clear()
        return is_complete

    def _try_fetch_from(self, host: replicas.StorageHost) -> bool:
        source = self._source(host)
        return self._try(host, lambda: self._fetch_from(host, source))

    def _try(
        self, host: replicas.StorageHost, fetch: Callable[[], bool]
    ) -> bool:
        """Fetch from a host; return whether it answered.

        :param fetch: returns whether all that it listed is here.
        """
        source = self._source(host)
        source.is_read = False
        try:
            is_read = fetch()
        except (
            peers.PeerUnavailableError,
            messages.InvalidMessageError,
            group_commit.RecordWriteError,
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
                source.record_miss(self._clock.now_ms())
            return False
        source.record_answer(is_read)
        return True

    def _update_active_hosts(self) -> bool:
        """Update the hosts that store turns; return whether they changed."""
        active_hosts = [self._own.name]
        for name, source in self._sources.items():
            if source.is_active:
                active_hosts.append(name)
        active_hosts.sort()
        if active_hosts == self._active_hosts:
            return False
        self._active_hosts = active_hosts
        for source in self._sources.values():
            source.restart()
        return True

    def _fetch_from(
        self, host: replicas.StorageHost, source: sources.Source
    ) -> bool:
        """Fetch from a host what is missing here; return whether all is here.

        What the host says of its disk covers what is read between two equal
        answers.
        """
        wanted = self.claims.wanted_fence
        must_ask = self.claims.wants_answers() or wanted != source.fenced
        if not must_ask and source.has_usage_fetched:
            return self._fetch_turns(host, source)
        said = self._request_claim(host, wanted)
        fenced = said.fences.of(self._own.name) if said else frozenset()
        if not fenced <= source.fenced:
            # Entries that were written before the fence are read after it.
            source.has_usage_fetched = False
        source.fenced = fenced
        has_all = self._fetch_turns(host, source)
        must_repeat = said is not None and not source.has_all_usage
        if must_repeat or not source.has_usage_fetched:
            self._usage_fetcher.fetch(host)
            source.has_usage_fetched = True
        if said is not None:
            is_same = said == self._request_claim(host, wanted)
            source.claim = said.claim if is_same else None
            source.fences = said.fences
        return has_all

    def _fetch_turns(
        self, host: replicas.StorageHost, source: sources.Source
    ) -> bool:
        has_all = True
        active_hosts = self._placement_hosts()
        while True:
            listing = self._request_listing(host, source)
            wanted = [
                entry.turn_id
                for entry in listing.entries
                if replicas.is_target(
                    self._own.name, entry.group_id, active_hosts, self._copies
                )
            ]
            if not self._store.claim.has_turns:
                chosen = set(wanted)
                others = [
                    entry.turn_id
                    for entry in listing.entries
                    if entry.turn_id not in chosen
                ]
                wanted += self._listed.add(host.name, others)
            has_all &= self._fetch_listed(host, source, wanted)
            if listing.entries:
                source.cursor = listing.entries[-1].sequence
            if not listing.has_more:
                break
        if not has_all and not self._store.claim.has_turns:
            # Turns that were listed have expired, or are damaged there.
            source.restart()
        return has_all

    def _fetch_listed(
        self,
        host: replicas.StorageHost,
        source: sources.Source,
        turn_ids: Sequence[str],
    ) -> bool:
        """Fetch turns that a host lists; return whether all of them came."""
        missing = self._store.find_missing(turn_ids)
        source.missing_bytes = 0
        fetched = self._fetcher.fetch(
            host, missing, functools.partial(self._record_progress, source)
        )
        self.fetched_turns += fetched
        if fetched:
            events.log(
                events.Event.COPIES_FETCHED, host=host.name, turns=fetched
            )
        return fetched == len(missing)

    def _request_claim(
        self, host: replicas.StorageHost, fenced: frozenset[str]
    ) -> messages.DiskClaim | None:
        """Have a host fence others and return what it says of its disk.

        :return: ``None`` if it is of a former release.
        """
        query = messages.ClaimQuery(self._own.name, fenced)
        try:
            answer = self._clients.post(
                host.address,
                peers.CLAIM_PATH,
                messages.encode_claim_query(query),
                CALL_TIMEOUT_MS,
            )
        except peers.PeerPathUnknownError:
            return None
        return messages.decode_claim(answer)

    def _record_progress(
        self, source: sources.Source, missing_bytes: int
    ) -> None:
        source.missing_bytes = missing_bytes
        now_ms = self._clock.now_ms()
        if missing_bytes and now_ms >= self._next_progress_ms:
            self._next_progress_ms = now_ms + PROGRESS_INTERVAL_MS
            events.log(
                events.Event.COPIES_MISSING,
                missing_bytes=self.missing_bytes(),
                hosts=self._missing_hosts(),
            )

    def _missing_hosts(self) -> list[str]:
        """Return the hosts from which turns are still to be fetched."""
        return sorted(
            name
            for name, source in self._sources.items()
            if source.missing_bytes
        )

    def _request_listing(
        self, host: replicas.StorageHost, source: sources.Source
    ) -> messages.Listing:
        query = messages.ListQuery(source.cursor, MAX_LIST_ENTRIES)
        answer = self._clients.post(
            host.address,
            peers.LIST_TURNS_PATH,
            messages.encode_query(query),
            CALL_TIMEOUT_MS,
        )
        listing = messages.decode_listing(answer)
        if listing.disk_id != source.disk_id:
            source.disk_id = listing.disk_id
            # Its fences and its statement are lost with the disk.
            source.fenced = frozenset()
            source.claim = None
            source.has_usage_fetched = False
            if source.cursor:
                # Sequence numbers of the previous disk are not valid here.
                source.cursor = 0
                return self._request_listing(host, source)
        source.is_leaving = listing.is_leaving
        return listing

    def _placement_hosts(self) -> list[replicas.StorageHost]:
        """Return the hosts that store turns, including this one."""
        hosts = [
            host
            for host in self._other_hosts()
            if host.name in self._active_hosts
        ]
        return [*hosts, self._own]

    def _other_hosts(self) -> list[replicas.StorageHost]:
        return [host for host in self._hosts() if host.name != self._own.name]

    def _is_active(self, name: str) -> bool:
        source = self._sources.get(name)
        return source is None or source.is_active

    def _source(self, host: replicas.StorageHost) -> sources.Source:
        source = self._sources.get(host.name)
        if source is None:
            source = sources.Source(host.disk_id)
            self._sources[host.name] = source
        return source
