"""Setting of the C library's allocator for processes that hold bodies."""

from __future__ import annotations

import ctypes

# Parameter number of the C library for the size from which a block of memory
# is mapped by itself.
_M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 131_072


def return_large_blocks() -> bool:
    """Let large blocks go back to the system as soon as they are freed.

    By default the C library raises this size with the first large block, and
    each thread then keeps the memory of bodies that it has read.

    :return: whether the C library knows the setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES))
