"""Statements of a storage host about its disk, and fences they rest on.

The rules are in ``balsamloom_conversations.completeness``; this module keeps
their evidence, stores the statements and logs their changes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from balsamloom_conversations import completeness, database, replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_storage import sources


class DiskClaims:
    """Statements of this host about its disk.

    :param own: this host.
    :param store: database on its disk.
    :param known: other hosts that are registered, by name; the caller changes
        them.
    :param clock: time source.
    :param copies: number of hosts that acknowledge a record.
    :param longest_retention_ms: returns how long a record is kept at most.
    """

    def __init__(
        self,
        own: replicas.StorageHost,
        store: database.TurnDatabase,
        known: Mapping[str, sources.Source],
        clock: clocks.Clock,
        copies: int,
        longest_retention_ms: Callable[[], float],
    ) -> None:
        self._own = own
        self._store = store
        self._sources = known
        self._clock = clock
        self._copies = copies
        self._longest_retention_ms = longest_retention_ms

    @property
    def wanted_fence(self) -> frozenset[str]:
        """Return the hosts that the others are asked to fence."""
        return self._store.fences.of(self._own.name)

    def update(self, before: completeness.Claim, has_all_hosts: bool) -> None:
        """Say what a round has shown of this host's disk.

        :param before: what this host said when the round began.
        :param has_all_hosts: whether all registered hosts were known then;
            otherwise nothing is said in addition.
        """
        is_old = self._store.age_ms() > self._longest_retention_ms()
        found = completeness.judge(
            before, self._described_sources(), self._copies, is_old
        )
        self._store_claim(found if has_all_hosts else before.common(found))

    def wants_answers(self) -> bool:
        """Return whether what other hosts say may add to what this one says.

        Without a loss it does not, and the hosts are not asked.
        """
        claim = self._store.claim
        return not (claim.has_turns and claim.has_usage) or any(
            not source.is_up and name not in claim.replaced_hosts
            for name, source in self._sources.items()
        )

    def fence(self, sender: str, wanted: frozenset[str]) -> None:
        """Fence hosts for another one that is to replace them.

        Hosts that answer this one are not fenced, as they are in use. Those
        that were fenced stay so until the other host no longer asks for it.

        :raises DatabaseError: nothing was stored.
        """
        down = {
            name
            for name, source in list(self._sources.items())
            if not source.is_up
        }
        known = self._store.fences.of(sender)
        self._store.set_fence(sender, wanted & (known | down))

    def are_fences_settled(self) -> bool:
        """Return whether all others fence what this host replaces."""
        wanted = self._store.claim.replaced_hosts
        return all(
            source.fenced == wanted
            for source in self._sources.values()
            if source.is_up
        )

    def try_update_fence(self, has_all_hosts: bool) -> bool:
        """Fence the hosts that are replaced, or will be, if the disk works.

        :param has_all_hosts: whether all registered hosts are known.
        :return: whether that is stored.
        """
        try:
            self._update_fence(has_all_hosts)
        except database.DatabaseError as error:
            events.log(
                events.Event.DISK_FAILED, logging.WARNING, reason=str(error)
            )
            return False
        return True

    def _update_fence(self, has_all_hosts: bool) -> None:
        """Fence the hosts that are replaced, or will be.

        Others learn of it from this host, or with the next call to them. What
        hosts fenced that are gone for long is forgotten.

        :param has_all_hosts: whether all registered hosts are known.
        :raises DatabaseError: the disk failed.
        """
        sources = self._described_sources()
        fenced = self._store.claim.replaced_hosts | completeness.replaceable(
            self._store.claim, sources, self._copies
        )
        self._store.set_fence(self._own.name, fenced)
        if not has_all_hosts:
            return
        present = {one.name for one in sources if not one.is_long_gone}
        for name in self._store.fences.by_host:
            if name not in present and name != self._own.name:
                self._store.set_fence(name, frozenset())

    def _store_claim(self, claim: completeness.Claim) -> None:
        before = self._store.claim
        if claim == before:
            return
        try:
            if claim.has_usage and not self._store.fences.is_complete:
                self._store.complete_fences(
                    source.fences for source in self._sources.values()
                )
            is_stored = self._store.set_claim(claim)
        except database.DatabaseError as error:
            events.log(
                events.Event.DISK_FAILED, logging.WARNING, reason=str(error)
            )
            return
        if is_stored:
            self.log()

    def log(self) -> None:
        """Log what this host says now."""
        claim = self._store.claim
        events.log(
            events.Event.CLAIM_CHANGED,
            host=self._own.name,
            disk_id=self._own.disk_id,
            has_turns=claim.has_turns,
            has_usage=claim.has_usage,
            replaced_hosts=sorted(claim.replaced_hosts),
            losses=claim.losses,
        )

    def _described_sources(self) -> list[completeness.Source]:
        long_ago_ms = self._clock.now_ms() - self._longest_retention_ms()
        return [
            source.describe(name, long_ago_ms)
            for name, source in self._sources.items()
        ]
