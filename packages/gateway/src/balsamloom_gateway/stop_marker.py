"""Record of a planned stop, by which the next start knows that none is lost.

A process that stops as planned records all budgets it holds before it leaves
the marker. Without the marker, tokens may have been handed out that no
record covers.
"""

from __future__ import annotations

import logging

from balsamloom_core import events
from balsamloom_gateway import interfaces


class StopMarker:
    """Marker of one member's planned stop.

    :param store: platform's store.
    :param key: key of the marker.
    """

    def __init__(self, store: interfaces.KeyValueStore, key: str) -> None:
        self._store = store
        self._key = key

    def leave(self) -> None:
        """Write the marker; a start without it is a cautious one."""
        try:
            self._store.transact((), [interfaces.Write(self._key, b"{}")])
        except interfaces.StoreError as error:
            events.log(
                events.Event.STORE_UNAVAILABLE,
                logging.WARNING,
                user="stop marker",
                reason=str(error),
            )

    def take(self) -> bool:
        """Delete the marker and return whether it was there."""
        try:
            page = self._store.list_page(self._key, "", False)
            found = [item for item in page.items if item.key == self._key]
            if not found:
                return False
            condition = interfaces.Condition(self._key, found[0].revision)
            result = self._store.transact([condition], (), [self._key])
        except interfaces.StoreError as error:
            events.log(
                events.Event.STORE_UNAVAILABLE,
                logging.WARNING,
                user="stop marker",
                reason=str(error),
            )
            return False
        return isinstance(result, interfaces.Committed)
