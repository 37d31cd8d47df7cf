"""Counting of server-sent events while a stream is relayed."""

from __future__ import annotations

EVENT_DELIMITER = b"\n\n"


class EventCounter:
    """Counts server-sent events in a stream split at any byte.

    Lines may end in LF, CR or both.
    """

    def __init__(self) -> None:
        self.events = 0
        self._partial_delimiter = b""
        self._is_event_open = False
        # The last byte was a CR, to which a LF may belong.
        self._ends_in_return = False

    @property
    def events_started(self) -> int:
        """Return the number of events that arrived at least in part."""
        return self.events + self._is_event_open

    @property
    def is_after_event(self) -> bool:
        """Return whether all data so far are one or more whole events."""
        return self.events > 0 and not self._is_event_open

    def add(self, data: bytes) -> None:
        """Count the events in the next chunk of the stream."""
        if self._ends_in_return and data.startswith(b"\n"):
            data = data[1:]
            self._ends_in_return = False
        if not data:
            return
        self._ends_in_return = data.endswith(b"\r")
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        joined = self._partial_delimiter + data
        self.events += joined.count(EVENT_DELIMITER)
        self._is_event_open = not joined.endswith(EVENT_DELIMITER)
        ends_in_newline = self._is_event_open and joined.endswith(b"\n")
        self._partial_delimiter = b"\n" if ends_in_newline else b""
