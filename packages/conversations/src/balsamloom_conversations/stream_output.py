"""Output of a turn, taken from its stream of server-sent events."""

from __future__ import annotations

FIELD = b"data"


class OutputTooLongError(Exception):
    """A stream is longer than what may be kept of it."""


class StreamOutput:
    """Collects a stream and returns the data of its events.

    :param limit_bytes: longest stream.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._is_too_long = False
        self._stream = bytearray()

    def add(self, data: bytes) -> None:
        """Take in the next piece of the stream."""
        if len(self._stream) + len(data) > self._limit_bytes:
            self._is_too_long = True
            return
        self._stream += data

    def data(self) -> bytes:
        """Return the data of each event, each followed by a line feed.

        Identifiers and other fields are left out.

        :raises OutputTooLongError: the stream is longer than the limit.
        """
        if self._is_too_long:
            raise OutputTooLongError(f"over {self._limit_bytes} bytes")
        output = bytearray()
        lines: list[bytes] = []
        *complete, _ = bytes(self._stream).split(b"\n")
        for line in complete:
            line = line.removesuffix(b"\r")
            if line:
                name, _, value = line.partition(b":")
                if name == FIELD:
                    lines.append(value.removeprefix(b" "))
            elif lines:
                output += b"\n".join(lines) + b"\n"
                lines = []
        return bytes(output)
