"""Reads request bodies into memory that was taken for them before."""

from __future__ import annotations

from typing import Any, Protocol

from balsamloom_ingress import (
    accounts,
    chunks,
    errors,
    transfers,
    waiting_readers,
)

READ_BYTES = 65_536
# First step of memory for a body of unknown size.
FIRST_STEP_BYTES = 8_192
# A body is kept for a retry while another copy of it is being sent.
COPIES = 2


class Source(Protocol):
    """Buffered reader of a connection; ``raw`` is beneath its buffer."""

    raw: Any

    def has_data(self) -> bool:
        """Return whether data is in the buffer."""

    def peek(self, size: int) -> bytes:
        """Return what is in the buffer, which is filled if it is empty."""

    def read(self, size: int) -> bytes:
        """Return so many bytes."""

    def read1(self, size: int) -> bytes:
        """Return at most so many bytes, after one read at most."""


class BodyReader:
    """Reads the body of one request.

    :param source: reader of its connection.
    :param transfer: the request; other threads may shed it.
    :param account: memory of the process.
    :param readers: bounds the threads that wait for data.
    :param limits: limits of the body.
    :param length: announced size in bytes, ``None`` for chunks.
    """

    def __init__(
        self,
        source: Source,
        transfer: transfers.Transfer,
        account: accounts.MemoryAccount,
        readers: waiting_readers.WaitingReaders,
        limits: chunks.BodyLimits,
        length: int | None,
    ) -> None:
        self._source = source
        self._transfer = transfer
        self._account = account
        self._readers = readers
        self._limits = limits
        self._length = length
        self._taken_bytes = 0

    def read(self) -> bytes:
        """Return the whole body.

        :raises BodyError: it is malformed or exceeds a limit.
        :raises ShedError: there is no memory for it.
        :raises OSError: the connection failed or a timeout passed.
        """
        return bytes(self._read(is_kept=True))

    def skip(self) -> None:
        """Read the body without keeping it.

        :raises BodyError: it is malformed or exceeds a limit.
        :raises ShedError: others need the thread.
        :raises OSError: the connection failed or a timeout passed.
        """
        self._read(is_kept=False)

    def _read(self, is_kept: bool) -> bytearray:
        self._transfer.is_arriving = True
        try:
            if self._length is None:
                return self._read_chunks(is_kept)
            return self._read_length(self._length, is_kept)
        finally:
            self._transfer.is_arriving = False

    def _read_length(self, length: int, is_kept: bool) -> bytearray:
        self._transfer.expect(length)
        if is_kept:
            self._take(length)
        data = bytearray()
        left_bytes = length
        while left_bytes:
            part = self._read_some(min(left_bytes, READ_BYTES))
            left_bytes -= len(part)
            self._transfer.expect(left_bytes)
            if is_kept:
                data += part
        return data

    def _read_chunks(self, is_kept: bool) -> bytearray:
        decoder = chunks.ChunkDecoder(self._limits)
        data = bytearray()
        while not decoder.is_complete:
            self._transfer.expect(decoder.remaining_bytes)
            if decoder.chunk_left_bytes and not self._source.has_data():
                size = min(decoder.chunk_left_bytes, READ_BYTES)
                received = self._read_some(size)
                self._decode(decoder, received, data, is_kept)
                continue
            # What follows the body belongs to the next request.
            received = self._source.peek(1)
            self._source.read(self._decode(decoder, received, data, is_kept))
        return data

    def _decode(
        self,
        decoder: chunks.ChunkDecoder,
        received: bytes,
        data: bytearray,
        is_kept: bool,
    ) -> int:
        """Decode a part; return how many bytes of it belong to the body."""
        if not received:
            raise errors.MalformedBodyError("truncated body")
        if is_kept:
            self._grow(len(data) + len(received))
        with self._readers.decoding(self._transfer):
            consumed = decoder.feed(received, data)
        if not is_kept:
            data.clear()
        return consumed

    def _read_some(self, size: int) -> bytes:
        part: bytes
        if self._source.has_data():
            part = self._source.read1(size)
        else:
            part = self._source.raw.read(size)
        if not part:
            raise errors.MalformedBodyError("truncated body")
        return part

    def _grow(self, size_bytes: int) -> None:
        """Take memory in growing steps, so that small parts cost little."""
        missing_bytes = size_bytes - self._taken_bytes
        if missing_bytes > 0:
            step = min(max(self._taken_bytes, FIRST_STEP_BYTES), READ_BYTES)
            self._take(max(step, missing_bytes))

    def _take(self, size_bytes: int) -> None:
        self._account.take(self._transfer, COPIES * size_bytes)
        self._taken_bytes += size_bytes
