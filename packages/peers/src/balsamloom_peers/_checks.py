"""Length, checksum and sequence checks of messages."""

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

# The least recently active sender is evicted above this number. A fleet of
# 350 members with 2,600 restarts a day takes hours to get there.
MAX_SENDERS = 1024

# A process has far fewer messages of one method in flight to one peer.
SEQUENCE_WINDOW = 64

_SEQUENCE = itertools.count(1)
_SEQUENCE_LOCK = threading.Lock()


def next_sequence() -> int:
    """Return a number that increases with each call in this process."""
    with _SEQUENCE_LOCK:
        return next(_SEQUENCE)


def add_checksum(message: Any) -> Any:
    """Set the length and CRC-32 of a message and return it.

    :param message: protobuf message with ``crc32`` and ``size_bytes``.
    """
    message.crc32 = 0
    message.size_bytes = 0
    raw = message.SerializeToString(deterministic=True)
    message.size_bytes = len(raw)
    message.crc32 = zlib.crc32(raw)
    return message


def is_intact(message: Any) -> bool:
    """Return whether the length and CRC-32 of a message match its content.

    :param message: protobuf message completed by :func:`add_checksum`.
    """
    raw = _serialize_content(message)
    # An empty message has length zero and CRC-32 zero and would pass.
    if not message.size_bytes or message.size_bytes != len(raw):
        return False
    return bool(message.crc32 == zlib.crc32(raw))


def parser(message_class: Any) -> Callable[[bytes], Any]:
    """Return a parser that yields an empty message for invalid bytes.

    The empty message fails :func:`is_intact`, so the damage is counted like
    any other.

    :param message_class: class of the message.
    """

    def parse(raw: bytes) -> Any:
        try:
            return message_class.FromString(raw)
        except protobuf.DecodeError:
            return message_class()

    return parse


def _serialize_content(message: Any) -> bytes:
    copy = type(message)()
    copy.CopyFrom(message)
    copy.crc32 = 0
    copy.size_bytes = 0
    raw: bytes = copy.SerializeToString(deterministic=True)
    return raw


class DamageCounter:
    """Counter of damaged messages that also logs each one."""

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
    """Recent sequence numbers of each sender, to detect replays.

    Concurrent messages of a sender may arrive out of order, so a number below
    the highest one is accepted within :data:`SEQUENCE_WINDOW`.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: collections.OrderedDict[str, set[int]] = (
            collections.OrderedDict()
        )

    def is_new(self, sender: str, sequence: int) -> bool:
        """Record a sequence number and return whether it is new.

        It is not new if it was seen before or is below the window.

        :param sender: method and member id of the message.
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
            if len(self._seen) > MAX_SENDERS:
                self._seen.popitem(last=False)
        return True
