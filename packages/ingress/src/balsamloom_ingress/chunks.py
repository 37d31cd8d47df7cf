"""Incremental decoder of chunked bodies, with a limit on everything in them.

This module performs no I/O.
"""

from __future__ import annotations

import enum
import re
from typing import NamedTuple

from balsamloom_ingress import errors

# Bytes of chunk sizes and line ends for each byte of data. A chunk of one byte
# has five.
MAX_FRAMING_RATIO = 8
_CRLF = b"\r\n"
# Sixteen hexadecimal digits are 64 bits; a longer number needs leading zeros.
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_TRAILER_LINE = re.compile(rb"[^\s:\x00][^\r\n:\x00]*:[^\r\n\x00]*\r\n")


class BodyLimits(NamedTuple):
    """Limits of a body: its data, and each line and all trailers of it."""

    data_bytes: int
    line_bytes: int


class _State(enum.Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILERS = "trailers"
    COMPLETE = "complete"


class ChunkDecoder:
    """Decodes a chunked body that arrives in parts.

    :param limits: limits of the body.
    """

    def __init__(self, limits: BodyLimits) -> None:
        self._limits = limits
        self._state = _State.SIZE
        # Start of a line whose end has not arrived.
        self._line_start = b""
        self._left_bytes = 0
        self._data_bytes = 0
        self._framing_bytes = 0
        self._trailer_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the end of the body has been decoded."""
        return self._state is _State.COMPLETE

    @property
    def chunk_left_bytes(self) -> int:
        """Return how many bytes of data the current chunk still has."""
        return self._left_bytes if self._state is _State.DATA else 0

    @property
    def remaining_bytes(self) -> int:
        """Return how much more data the limit allows."""
        return self._limits.data_bytes - self._data_bytes

    def feed(self, received: bytes, data: bytearray) -> int:
        """Decode a part and append its data.

        :param received: next part, as it arrived.
        :param data: gets the decoded data.
        :return: how many bytes of the part belong to the body.
        :raises BodyTooLargeError: a limit is exceeded.
        :raises MalformedBodyError: it is wrongly encoded.
        """
        early_bytes = len(self._line_start)
        if early_bytes:
            received = self._line_start + received
            self._line_start = b""
        position = 0
        while position < len(received) and not self.is_complete:
            if self._state is _State.DATA:
                position = self._take_data(received, position, data)
                continue
            if self._state is _State.SIZE:
                position = self._take_whole_chunks(received, position, data)
            end = received.find(_CRLF, position) + len(_CRLF)
            if end < len(_CRLF):
                self._keep_line_start(received[position:])
                return len(received) - early_bytes
            self._take_line(received, position, end)
            position = end
        return position - early_bytes

    def _take_whole_chunks(
        self, received: bytes, position: int, data: bytearray
    ) -> int:
        """Decode chunks up to the first that needs a closer look.

        Chunks of a few bytes cost the most, so this takes few steps.
        """
        data_bytes, framing_bytes = self._data_bytes, self._framing_bytes
        while found := _SIZE_LINE.match(received, position):
            start = found.end()
            size_bytes = int(found[1], 16)
            end = start + size_bytes
            allowed = MAX_FRAMING_RATIO * data_bytes + self._limits.line_bytes
            if (
                not size_bytes
                or start - position > self._limits.line_bytes
                or framing_bytes > allowed
                or data_bytes + size_bytes > self._limits.data_bytes
                or received[end : end + 2] != _CRLF
            ):
                break
            data += received[start:end]
            data_bytes += size_bytes
            framing_bytes += start - position + len(_CRLF)
            position = end + len(_CRLF)
        self._data_bytes, self._framing_bytes = data_bytes, framing_bytes
        return position

    def _take_data(
        self, received: bytes, position: int, data: bytearray
    ) -> int:
        part = received[position : position + self._left_bytes]
        data += part
        self._left_bytes -= len(part)
        self._data_bytes += len(part)
        if not self._left_bytes:
            self._state = _State.DATA_END
        return position + len(part)

    def _keep_line_start(self, line_start: bytes) -> None:
        self._check_line(len(line_start))
        self._line_start = line_start

    def _take_line(self, received: bytes, start: int, end: int) -> None:
        length = end - start
        self._check_line(length)
        self._framing_bytes += length
        match self._state:
            case _State.SIZE:
                self._begin_chunk(_SIZE_LINE.fullmatch(received, start, end))
            case _State.DATA_END:
                if length != len(_CRLF):
                    raise errors.MalformedBodyError("no end of a chunk")
                self._state = _State.SIZE
            case _State.TRAILERS:
                self._take_trailer(received, start, end)

    def _begin_chunk(self, found: re.Match[bytes] | None) -> None:
        if found is None:
            raise errors.MalformedBodyError("invalid size of a chunk")
        size_bytes = int(found[1], 16)
        allowed = MAX_FRAMING_RATIO * self._data_bytes
        if self._framing_bytes > allowed + self._limits.line_bytes:
            raise errors.BodyTooLargeError("too much framing for its data")
        if size_bytes > self.remaining_bytes:
            raise errors.BodyTooLargeError("the body exceeds its limit")
        self._left_bytes = size_bytes
        self._state = _State.DATA if size_bytes else _State.TRAILERS

    def _take_trailer(self, received: bytes, start: int, end: int) -> None:
        if end - start == len(_CRLF):
            self._state = _State.COMPLETE
            return
        self._trailer_bytes += end - start
        if self._trailer_bytes > self._limits.line_bytes:
            raise errors.BodyTooLargeError("the trailers exceed their limit")
        if not _TRAILER_LINE.fullmatch(received, start, end):
            raise errors.MalformedBodyError("invalid trailer")

    def _check_line(self, length: int) -> None:
        """Check a line, or what has arrived of it."""
        if self._state is _State.DATA_END and length > len(_CRLF):
            raise errors.MalformedBodyError("no end of a chunk")
        if length > self._limits.line_bytes:
            raise errors.BodyTooLargeError("a line exceeds its limit")
