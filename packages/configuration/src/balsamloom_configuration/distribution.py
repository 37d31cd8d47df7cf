"""Distribution of the configuration to one process.

The revision in force never decreases. It is read from the store if this
process is one of the watchers of its failure domain, otherwise from peers that
hold a newer revision.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from balsamloom_configuration import document as documents
from balsamloom_configuration import keys
from balsamloom_core import clock as clocks
from balsamloom_core import errors, events
from balsamloom_platform import store as stores

# A silently broken watch is replaced after this time, which leaves about half
# of the 9 s within which a change must be in force.
WATCH_TIMEOUT_MS = 4_000
READ_TIMEOUT_MS = 2_000
MIN_BACKOFF_MS = 200
MAX_BACKOFF_MS = 3_000
IDLE_CHECK_INTERVAL_MS = 500
# Heartbeats repeat an offer twice a second; an invalid document is not fetched
# again at that rate.
REJECTED_RETRY_INTERVAL_MS = 5_000

Fetch = Callable[[int], bytes]
"""Fetches a peer's changes since a revision, as :func:`documents.encode` does.

Zero fetches the whole document. A failure raises an exception.
"""


class PeerOffer(NamedTuple):
    """Revision that a peer holds, and the function to fetch it."""

    revision: int
    fetch: Fetch


def _no_offers() -> Iterable[PeerOffer]:
    return ()


class ActiveConfiguration:
    """Holds the configuration in force: the highest valid revision seen.

    :param store: key-value service.
    :param clock: source of time for waits.
    :param is_watcher: returns whether this process is one of the two that
        watch the store for its failure domain; called before each watch.
    :param peer_offers: returns the revisions of peers; called when the store
        is unavailable and no revision is in force yet.
    :param setting_schemas: schemas of ``routing`` and ``limits``.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        is_watcher: Callable[[], bool],
        peer_offers: Callable[[], Iterable[PeerOffer]] = _no_offers,
        setting_schemas: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._is_watcher = is_watcher
        self._peer_offers = peer_offers
        self._schemas = setting_schemas
        self._changed = threading.Condition()
        self._activation_lock = threading.RLock()
        self._document = documents.EMPTY
        self._callbacks: list[Callable[[documents.Document], None]] = []
        self._offer: PeerOffer | None = None
        self._rejected_until_ms: dict[int, float] = {}
        # Peers that are behind mostly hold the same revision.
        self._encoded_by_revision: dict[int, bytes] = {}
        self._watch_gaps = 0
        self._stopped = threading.Event()
        self._offer_available = threading.Event()

    @property
    def document(self) -> documents.Document:
        """Return the document in force, with revision zero if none is."""
        with self._changed:
            return self._document

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.document.revision

    def start(self) -> None:
        """Start the threads that read from the store and from peers."""
        for name, target in (
            ("configuration-store", self._run_store_updates),
            ("configuration-peers", self._run_peer_updates),
        ):
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop the threads; a blocked watch ends at its timeout."""
        self._stopped.set()
        self._offer_available.set()

    def on_change(
        self, callback: Callable[[documents.Document], None]
    ) -> None:
        """Call a function with each document before it comes into force.

        If a document is already in force, the function is called with it now.

        :param callback: called with the new document.
        """
        with self._activation_lock:
            self._callbacks.append(callback)
            if self.revision:
                self._run_callback(callback, self.document)

    def offer(self, revision: int, fetch: Fetch) -> bool:
        """Record the revision of a peer without blocking.

        :param revision: revision in the peer's heartbeat.
        :param fetch: fetches the document from that peer.
        :return: whether the revision is higher than the one in force.
        """
        with self._changed:
            if revision <= self._document.revision:
                return False
            if self._clock.now_ms() < self._rejected_until_ms.get(revision, 0):
                return True
            if self._offer is None or revision >= self._offer.revision:
                self._offer = PeerOffer(revision, fetch)
        self._offer_available.set()
        return True

    def wait_for(self, revision: int, timeout_ms: float) -> bool:
        """Wait until a revision or a higher one is in force.

        :param revision: minimum revision to wait for.
        :param timeout_ms: maximum wait.
        :return: whether the revision is in force.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while self._document.revision < revision:
                remaining_ms = end_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    return False
                self._clock.wait_condition(self._changed, remaining_ms)
            return True

    def encoded(self, since: int = 0) -> bytes:
        """Return the encoded document, or its changes, for a peer.

        :param since: revision that the peer holds, zero if none.
        """
        with self._changed:
            document = self._document
            value = self._encoded_by_revision.get(since)
        if value is None:
            value = documents.encode(document, since)
            with self._changed:
                if document is self._document:
                    self._encoded_by_revision[since] = value
        return value

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._changed:
            return {
                "revision": self._document.revision,
                "digest": documents.digest(self._document),
                "sections": {
                    name: section.revision
                    for name, section in self._document.sections.items()
                },
                "offered": self._offer.revision if self._offer else None,
                "refused": sorted(self._rejected_until_ms),
                "watch_gaps": self._watch_gaps,
            }

    def activate(self, document: documents.Document, source: str) -> bool:
        """Put a document into force if it is newer and valid.

        :param document: document from the store or a peer.
        :param source: origin of the document, for the log.
        :return: whether the document was put into force.
        """
        with self._activation_lock:
            if document.revision <= self.revision:
                self._log_stale(document, source)
                return False
            if not self._is_valid(document, source):
                return False
            for callback in self._callbacks:
                self._run_callback(callback, document)
            with self._changed:
                self._document = document
                self._encoded_by_revision.clear()
                self._changed.notify_all()
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            revision=document.revision,
            source=source,
        )
        return True

    def _log_stale(self, document: documents.Document, source: str) -> None:
        known = self.document
        if document == known:
            return
        events.log(
            events.Event.CONFIGURATION_REJECTED,
            logging.WARNING,
            revision=document.revision,
            in_force=known.revision,
            source=source,
            problem="not newer than the revision in force, and it differs",
        )

    def _is_valid(self, document: documents.Document, source: str) -> bool:
        try:
            problems = [
                str(problem)
                for problem in documents.check(
                    document, self._schemas, self.document
                )
            ]
        except errors.BalsamloomError as error:
            problems = [error.message]
        if not problems:
            return True
        now_ms = self._clock.now_ms()
        with self._changed:
            self._rejected_until_ms = {
                revision: until_ms
                for revision, until_ms in self._rejected_until_ms.items()
                if until_ms > now_ms
            }
            self._rejected_until_ms[document.revision] = (
                now_ms + REJECTED_RETRY_INTERVAL_MS
            )
        events.log(
            events.Event.CONFIGURATION_REJECTED,
            logging.WARNING,
            revision=document.revision,
            in_force=self.revision,
            source=source,
            problem=problems[0],
        )
        return False

    def _run_callback(
        self,
        callback: Callable[[documents.Document], None],
        document: documents.Document,
    ) -> None:
        try:
            callback(document)
        except Exception as error:
            # A failing callback must not keep the others on the old revision.
            events.log(
                events.Event.CONFIGURATION_CALLBACK_FAILED,
                logging.WARNING,
                cause=repr(error),
                revision=document.revision,
            )

    def _run_store_updates(self) -> None:
        backoff_ms: float = MIN_BACKOFF_MS
        has_read_store = False
        while not self._stopped.is_set():
            is_initialized = has_read_store or self.revision > 0
            if is_initialized and not self._is_watcher():
                self._clock.wait(self._stopped, IDLE_CHECK_INTERVAL_MS)
                continue
            start_ms = self._clock.now_ms()
            try:
                next_revision = self._read_latest()
                has_read_store = True
                if self._is_watcher():
                    self._watch(next_revision)
            except errors.BalsamloomError as error:
                self._watch_gaps += 1
                events.log(
                    events.Event.STORE_UNAVAILABLE,
                    cause=error.message,
                    use="configuration",
                )
                self._query_peers()
            if self._clock.now_ms() - start_ms >= WATCH_TIMEOUT_MS / 2:
                backoff_ms = MIN_BACKOFF_MS
            # Without a pause, watches that the service ends at once would load
            # the store.
            self._clock.wait(self._stopped, random.uniform(0, backoff_ms))
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    def _read_latest(self) -> int:
        """Read a newer document; return the store revision to watch from."""
        item = self._store.get(keys.HEAD_KEY, timeout_ms=READ_TIMEOUT_MS)
        if item is None:
            return 0
        self._apply_head(item)
        return item.mod_revision + 1

    def _apply_head(self, item: stores.Item) -> None:
        head = keys.decode_head(item)
        if head.revision < self.revision:
            events.log(
                events.Event.CONFIGURATION_REJECTED,
                logging.WARNING,
                revision=head.revision,
                in_force=self.revision,
                source="store",
                problem="the head in the store is older",
            )
        if head.revision <= self.revision:
            return
        document = self._read_changed_section(head) or self._read_all()
        self.activate(document, "store")

    def _read_changed_section(
        self, head: keys.Head
    ) -> documents.Document | None:
        """Return the head's document if one changed section leads to it."""
        known = self.document
        if head.revision != known.revision + 1:
            return None
        item = self._store.get(
            keys.section_key(head.section), timeout_ms=READ_TIMEOUT_MS
        )
        if item is None:
            return None
        section = keys.decode_section(item)
        if section.revision != head.revision:
            # The section changed again, and others may have in between.
            return None
        document = known.replace(head.section, section)
        # The known document may predate a restore of the store.
        is_next = documents.digest(document) == head.digest
        return document if is_next else None

    def _read_all(self) -> documents.Document:
        return keys.read(self._store, READ_TIMEOUT_MS).document

    def _watch(self, from_revision: int) -> None:
        for changes in self._watch_changes(from_revision):
            item = changes[-1].item
            if item is not None:
                self._apply_head(item)
            if self._stopped.is_set() or not self._is_watcher():
                return

    def _watch_changes(
        self, from_revision: int
    ) -> Iterator[list[stores.Change]]:
        # To the service, zero means "from now on", which would skip a first
        # edit made since the head was read as absent.
        return self._store.watch(
            keys.HEAD_KEY, max(from_revision, 1), WATCH_TIMEOUT_MS
        )

    def _query_peers(self) -> None:
        if self.revision:
            return
        try:
            for offer in self._peer_offers():
                self.offer(offer.revision, offer.fetch)
        except Exception as error:
            events.log(
                events.Event.CONFIGURATION_FETCH_FAILED,
                logging.WARNING,
                cause=repr(error),
            )

    def _run_peer_updates(self) -> None:
        while not self._stopped.is_set():
            if not self._clock.wait(
                self._offer_available, IDLE_CHECK_INTERVAL_MS
            ):
                continue
            self._offer_available.clear()
            with self._changed:
                offer, self._offer = self._offer, None
            if offer is not None and offer.revision > self.revision:
                self._fetch(offer)

    def _fetch(self, offer: PeerOffer) -> None:
        known = self.document
        try:
            self.activate(self._fetch_document(offer, known), "peer")
        except Exception as error:
            # The next heartbeat repeats the offer.
            events.log(
                events.Event.CONFIGURATION_FETCH_FAILED,
                logging.WARNING,
                cause=repr(error),
                revision=offer.revision,
            )

    def _fetch_document(
        self, offer: PeerOffer, known: documents.Document
    ) -> documents.Document:
        if known.revision:
            try:
                value = offer.fetch(known.revision)
                return documents.decode(value, known)
            except errors.BalsamloomError:
                # The peer's history may differ, as after a restore of the
                # store; the whole document does not depend on it.
                pass
        return documents.decode(offer.fetch(0), documents.EMPTY)
