"""Extracts the output of a turn from its server-sent events."""

from __future__ import annotations

import re

DATA_FIELD = b"data"
LINE_END = re.compile(rb"\r\n|\r|\n")


class OutputTooLongError(Exception):
    """A stream is longer than the limit for a stored turn."""


class StreamOutput:
    """Collector of an event stream.

    :param limit_bytes: maximum length of the stream.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._is_too_long = False
        self._buffer = bytearray()

    def add(self, data: bytes) -> None:
        """Append the next part of the stream."""
        if len(self._buffer) + len(data) > self._limit_bytes:
            self._is_too_long = True
            return
        self._buffer += data

    def data(self) -> bytes:
        """Return the data of each complete event, followed by a line feed.

        Other fields, such as identifiers, are left out.

        :raises OutputTooLongError: the stream is longer than the limit.
        """
        if self._is_too_long:
            raise OutputTooLongError(
                f"stream exceeds {self._limit_bytes} bytes"
            )
        output = bytearray()
        lines: list[bytes] = []
        *stream_lines, _ = LINE_END.split(bytes(self._buffer))
        for line in stream_lines:
            if line:
                name, _, value = line.partition(b":")
                if name == DATA_FIELD:
                    lines.append(value.removeprefix(b" "))
            elif lines:
                output += b"\n".join(lines) + b"\n"
                lines = []
        return bytes(output)
