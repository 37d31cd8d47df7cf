"""Reading of the store's records by listings and watches."""

from __future__ import annotations

import logging

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    feed,
    fleet,
    interfaces,
    read_log,
    store_revisions,
)

# An empty prefix watches all keys, so one call covers all kinds of records.
ALL_KEYS = ""
# Sources in the log.
WATCH = "store"
LISTING = "listing of the store"
# Wait of a watch for changes that are known to exist.
NO_WAIT_MS = 1
# Watches after the first one of a read. Beyond them a listing, which leaves
# out the records that this process ignores, takes fewer calls.
MAX_FURTHER_WATCHES = 4


class StoreReader:
    """Keeps a copy of the store's records and knows how recent it is.

    The store may answer a watch with a part of the changes. So the copy shows
    the store as of a time only if it is complete up to a revision that the
    store had not passed then.

    :param store: platform's store.
    :param records: keys of the records.
    :param copy: copy of the records.
    :param view: view that the changes are applied to.
    :param clock: time source.
    :param max_observation_age_ms: age up to which a revision that the store
        showed in another answer is used instead of asking for it.
    """

    def __init__(
        self,
        store: store_revisions.ObservedStore,
        records: interfaces.Records,
        copy: feed.Feed,
        view: fleet.Fleet,
        clock: clocks.Clock,
        max_observation_age_ms: float,
    ) -> None:
        self._store = store
        self._records = records
        self._feed = copy
        self._fleet = view
        self._clock = clock
        self._max_observation_age_ms = max_observation_age_ms
        # Whether no watch can continue from the copy.
        self.must_list = True

    def list_stale(self) -> None:
        """List all records, with an answer that is cheaper for the store.

        It may be seconds old, so the copy does not count as recent.

        :raises StoreError: a call failed.
        """
        items, revision = self._list(may_be_stale=True)
        if revision < self._feed.store_revision:
            # A newer copy was already read from a member.
            self._list_current()
            return
        self._fleet.apply(self._feed.replace(items, revision))
        self._feed.advance(revision)
        self.must_list = False

    def read(self, wait_ms: float) -> bool:
        """Read all that the store holds.

        :param wait_ms: time to wait for a change if there is none yet.
        :return: whether the store waited to the end and there was none.
        :raises StoreError: a call failed.
        """
        if self.must_list:
            self._list_current()
            return False
        try:
            return self._read_changes(max(int(wait_ms), NO_WAIT_MS))
        except interfaces.HistoryCompactedError:
            self.must_list = True
            events.log(
                events.Event.SOURCE_CHANGED,
                logging.WARNING,
                source="store",
                state="history gone",
                reason="listing all records",
                age_ms=self._feed.age_ms(),
                store_revision=self._feed.store_revision,
            )
            self._list_current()
            return False

    def _read_changes(self, wait_ms: int) -> bool:
        """Read until the copy is proven; see :meth:`read`."""
        started_ms = self._clock.now_ms()
        # Seen before the watch, which then covers it unless it is a part.
        observed = self._store.latest
        is_empty = not self._watch(wait_ms)
        if is_empty and (observed is None or self._is_complete(observed)):
            # There was no change until the store's wait was over.
            is_whole = self._clock.now_ms() - started_ms >= wait_ms
            fresh_at_ms = started_ms + wait_ms * is_whole
            self._feed.record_read(self._feed.store_revision, fresh_at_ms)
            return is_whole
        oldest_ms = started_ms - self._max_observation_age_ms
        if observed is None or observed.as_of_ms < oldest_ms:
            observed = self._store.observe()
        for _ in range(MAX_FURTHER_WATCHES):
            if self._is_complete(observed):
                break
            self._watch(NO_WAIT_MS)
        if self._is_complete(observed):
            self._feed.record_read(observed.revision, observed.as_of_ms)
        else:
            self._list_current()
        return False

    def _is_complete(self, observed: store_revisions.Observation) -> bool:
        return self._feed.store_revision >= observed.revision

    def _watch(self, wait_ms: int) -> int:
        """Apply the changes of one answer; return how many it holds."""
        started_ms = self._clock.now_ms()
        known = self._feed.store_revision
        found = self._store.watch(ALL_KEYS, known, wait_ms)
        read_log.log_read(
            self._feed,
            self._clock,
            WATCH,
            found.store_revision,
            len(found.changes),
            started_ms,
        )
        changes = [
            change
            for change in found.changes
            if self._records.kind(change.key) != interfaces.IgnoredRecord()
        ]
        self._fleet.apply(self._feed.apply(changes))
        self._feed.advance(found.store_revision)
        return len(found.changes)

    def _list_current(self) -> None:
        started_ms = self._clock.now_ms()
        items, revision = self._list(may_be_stale=False)
        read_log.log_read(
            self._feed, self._clock, LISTING, revision, len(items), started_ms
        )
        self._fleet.apply(self._feed.replace(items, revision))
        self._feed.record_read(revision, started_ms)
        self.must_list = False

    def _list(self, may_be_stale: bool) -> tuple[list[interfaces.Item], int]:
        """Return all records and the revision up to which they are complete.

        The pages are of different revisions; later changes come with the next
        watch.
        """
        items: list[interfaces.Item] = []
        revisions = []
        for prefix in self._records.prefixes:
            after = ""
            while True:
                page = self._store.list_page(prefix, after, may_be_stale)
                items.extend(page.items)
                revisions.append(page.store_revision)
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        return items, min(revisions)
