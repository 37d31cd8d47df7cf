"""What a process may hold for its callers, from its memory and descriptors."""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_MB = 1_000_000
# Memory for requests that even the smallest host sets aside.
MIN_ACCOUNT_BYTES = 8 * BYTES_PER_MB
# Descriptors for files, which no connection may use.
FILE_DESCRIPTORS = 200
MIN_CONNECTIONS = 8
# Shares of the other descriptors for connections that a listener accepts. The
# rest is for connections that the process opens.
CALLERS_SHARE = 0.45
MEMBERS_SHARE = 0.25
OTHERS_SHARE = 0.02
# Threads that may wait for data of callers at a time.
WAITING_SHARE = 0.5
# Share of a thread's memory that the account doesn't get.
THREAD_SHARE = 0.5
# Memory of a field of a request head beside its characters.
FIELD_BYTES = 256


class ProcessLimits(NamedTuple):
    """Limits of a process for all its listeners together.

    :param account_bytes: memory for requests; ``None`` for no limit.
    :param descriptors: open files and connections; ``None`` for no limit.
    """

    account_bytes: int | None = None
    descriptors: int | None = None

    def connections(self, share: float) -> int | None:
        """Return how many connections a listener may have open."""
        if self.descriptors is None:
            return None
        available = max(0, self.descriptors - FILE_DESCRIPTORS)
        return max(MIN_CONNECTIONS, int(available * share))


UNLIMITED = ProcessLimits()


def account_bytes(
    memory_mb: float, base_mb: float, threads: int, thread_mb: float
) -> int:
    """Return the memory for requests of a process.

    :param memory_mb: memory of the whole process.
    :param base_mb: memory of the process without requests.
    :param threads: threads that serve requests.
    :param thread_mb: memory of one of them, with the request that it serves.
    """
    left_mb = memory_mb - base_mb - threads * thread_mb * THREAD_SHARE
    return max(MIN_ACCOUNT_BYTES, int(left_mb * BYTES_PER_MB))


def max_waiting(threads: int) -> int:
    """Return how many threads of a listener may wait for data."""
    return max(1, int(threads * WAITING_SHARE))
