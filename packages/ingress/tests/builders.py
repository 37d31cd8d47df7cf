"""Bodies and connections for the tests."""

from balsamloom_core import clock as clocks
from balsamloom_ingress import (
    accounts,
    bodies,
    chunks,
    transfers,
    waiting_readers,
)

LIMITS = chunks.BodyLimits(data_bytes=1_000, line_bytes=100)


class ByteSource:
    """Reader of a connection on which parts arrive one by one."""

    def __init__(self, *parts):
        self.raw = self
        self._parts = [each for each in parts if each]
        self._buffer = b""
        self.read_bytes = 0

    def has_data(self):
        """Return whether data is in the buffer."""
        return bool(self._buffer)

    def read(self, size):
        """Return buffered bytes, or else one part as it arrives."""
        if not self._buffer and self._parts:
            self._buffer = self._parts.pop(0)
        found, self._buffer = self._buffer[:size], self._buffer[size:]
        self.read_bytes += len(found)
        return found

    read1 = read

    def peek(self, size):
        """Return what is in the buffer, which is filled if it is empty."""
        if not self._buffer and self._parts:
            self._buffer = self._parts.pop(0)
        return self._buffer


def chunked(*parts):
    """Return parts as a whole chunked body."""
    return b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in parts) + (
        b"0\r\n\r\n"
    )


def account(capacity_bytes=100_000_000, clock=None):
    """Return an account of memory."""
    return accounts.MemoryAccount(
        capacity_bytes, clock or clocks.ManualClock()
    )


def reader(source, length=None, limits=LIMITS, memory=None):
    """Return a reader of one body."""
    clock = clocks.ManualClock()
    return bodies.BodyReader(
        source,
        transfers.Transfer(clock),
        memory or account(),
        waiting_readers.WaitingReaders(2, clock),
        limits,
        length,
    )
