"""Length, checksum and sequence of messages."""

from __future__ import annotations

import collections
import itertools
import logging
import threading
import zlib
from collections.abc import Callable
from typing import Any

from google.protobuf import message as protobuf

from balsamloom_core import events

# A heartbeat sender is forgotten only after this many other senders; a fleet
# of 350 members with 2,600 restarts a day stays below it for hours.
REMEMBERED_SENDERS = 1024

# A process has far fewer messages of one kind under way to one peer.
SEQUENCE_WINDOW = 64

_SEQUENCE = itertools.count(1)
_SEQUENCE_LOCK = threading.Lock()


def next_sequence() -> int:
    """Return a number that rises during the life of this process."""
    with _SEQUENCE_LOCK:
        return next(_SEQUENCE)


def add_checksum(message: Any) -> Any:
    """Fill in the length and CRC-32 of a message and return it.

    :param message: protobuf message with ``crc32`` and ``size_bytes``.
    """
    message.crc32 = 0
    message.size_bytes = 0
    raw = message.SerializeToString(deterministic=True)
    message.size_bytes = len(raw)
    message.crc32 = zlib.crc32(raw)
    return message


def is_intact(message: Any) -> bool:
    """Return whether the length and CRC-32 of a message hold.

    :param message: protobuf message filled in by :func:`add_checksum`.
    """
    raw = _content(message)
    # An empty message would pass with length zero and CRC zero.
    if not message.size_bytes or message.size_bytes != len(raw):
        return False
    return bool(message.crc32 == zlib.crc32(raw))


def parser(kind: Any) -> Callable[[bytes], Any]:
    """Return a function that parses bytes and never raises.

    Bytes that are no protobuf message give an empty message, which fails
    :func:`is_intact`, so that the damage is counted like any other.

    :param kind: class of the message.
    """

    def parse(raw: bytes) -> Any:
        try:
            return kind.FromString(raw)
        except protobuf.DecodeError:
            return kind()

    return parse


def _content(message: Any) -> bytes:
    bare = type(message)()
    bare.CopyFrom(message)
    bare.crc32 = 0
    bare.size_bytes = 0
    raw: bytes = bare.SerializeToString(deterministic=True)
    return raw


class DamageCounter:
    """Count of damaged messages, each of which is logged."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of damaged messages so far."""
        with self._lock:
            return self._count

    def add(self, method: str, peer: str, reason: str) -> None:
        """Count and log one message.

        :param method: name of the remote method.
        :param peer: member id or address of the sender.
        :param reason: which check failed.
        """
        with self._lock:
            self._count += 1
        events.log(
            events.Event.PEER_MESSAGE_DAMAGED,
            logging.WARNING,
            method=method,
            peer=peer,
            reason=reason,
        )


class SequenceTable:
    """Recent sequence numbers of each sender.

    Messages that a sender sends at the same time may overtake each other, so
    a lower number than the last one is new within a window.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: collections.OrderedDict[str, set[int]] = (
            collections.OrderedDict()
        )

    def is_new(self, sender: str, sequence: int) -> bool:
        """Record a sequence number; false if it was seen or is too old.

        :param sender: member id and method of the message.
        :param sequence: number from :func:`next_sequence` at the sender.
        """
        with self._lock:
            seen = self._seen.setdefault(sender, {0})
            oldest = max(seen) - SEQUENCE_WINDOW
            if sequence in seen or sequence <= oldest:
                return False
            seen.add(sequence)
            if len(seen) > 2 * SEQUENCE_WINDOW:
                seen -= {number for number in seen if number <= oldest}
            self._seen.move_to_end(sender)
            if len(self._seen) > REMEMBERED_SENDERS:
                self._seen.popitem(last=False)
        return True
