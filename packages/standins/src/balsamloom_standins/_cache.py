"""Prefix cache and memory holds of the engine stand-in."""

from __future__ import annotations

import collections
import hashlib
import json
import os
import pathlib
import time
from typing import Any, NamedTuple

CHARACTERS_PER_TOKEN = 4
MAX_EVENTS = 10_000

_DIGEST_BYTES = 8


class Block(NamedTuple):
    """One message of a prompt.

    :param digest: hash of the message and all messages before it.
    :param tokens: tokens of the message alone.
    """

    digest: str
    tokens: int


def chain_blocks(messages: list[dict[str, Any]]) -> list[Block]:
    """Return a block for each message; each digest covers its prefix."""
    found = []
    digest = ""
    for message in messages:
        text = json.dumps(message, sort_keys=True)
        raw = (digest + text).encode()
        digest = hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()
        content = str(message.get("content") or "")
        tokens = max(1, len(content) // CHARACTERS_PER_TOKEN)
        found.append(Block(digest, tokens))
    return found


class BlockHistory:
    """Digests of the blocks that any engine has computed.

    :param path: file that all engines of a run append to and read; without
        one, only the blocks of this process count.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self._digests: set[str] = set()
        self._file: int | None = None
        self._offset = 0
        if path is not None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o600)

    def add(self, digests: list[str]) -> set[str]:
        """Add digests and return those that were already known."""
        self._read()
        known = {digest for digest in digests if digest in self._digests}
        self._digests.update(digests)
        new = [digest for digest in digests if digest not in known]
        if self._file is not None and new:
            os.write(self._file, "".join(new).encode())
        return known

    def _read(self) -> None:
        if self._file is None:
            return
        size = 2 * _DIGEST_BYTES
        raw = os.pread(self._file, 1 << 24, self._offset).decode()
        complete_length = len(raw) // size * size
        self._offset += complete_length
        self._digests.update(
            raw[start : start + size]
            for start in range(0, complete_length, size)
        )


class PrefixCache:
    """Cache of blocks that evicts the least recently used.

    Not thread-safe: callers hold ``BatchScheduler.lock``.

    :param capacity_tokens: maximum number of tokens in the cache.
    :param history: blocks that any engine has computed before.
    """

    def __init__(self, capacity_tokens: int, history: BlockHistory) -> None:
        self.capacity_tokens = capacity_tokens
        self.counts = {"computed": 0, "hit": 0, "recomputed": 0}
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._history = history
        self._blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0
        self._last_event_number = 0

    def admit(self, blocks: list[Block]) -> int:
        """Count and cache a prompt; return the number of tokens to compute."""
        hits = 0
        while hits < len(blocks) and blocks[hits].digest in self._blocks:
            hits += 1
        missing = blocks[hits:]
        known = self._history.add([block.digest for block in missing])
        computed = sum(block.tokens for block in missing)
        self.counts["hit"] += sum(block.tokens for block in blocks[:hits])
        self.counts["computed"] += computed
        self.counts["recomputed"] += sum(
            block.tokens for block in missing if block.digest in known
        )
        self._store(blocks)
        return computed

    def add_answer(self, blocks: list[Block]) -> None:
        """Cache an answer.

        :param blocks: blocks of the prompt and, as the last, of the answer.
        """
        self._history.add([blocks[-1].digest])
        self._store(blocks)

    def _store(self, blocks: list[Block]) -> None:
        # In reverse order, so that the end of a prefix is evicted before its
        # start.
        for block in reversed(blocks):
            if block.digest not in self._blocks:
                self._tokens += block.tokens
                self._record_event("stored", block.digest, block.tokens)
            self._blocks[block.digest] = block.tokens
            self._blocks.move_to_end(block.digest)
        while self._tokens > self.capacity_tokens and self._blocks:
            digest, tokens = self._blocks.popitem(last=False)
            self._tokens -= tokens
            self._record_event("evicted", digest, tokens)

    def _record_event(self, kind: str, digest: str, tokens: int) -> None:
        self._last_event_number += 1
        self.events.append(
            {
                "number": self._last_event_number,
                "kind": kind,
                "block": digest,
                "tokens": tokens,
                "at_s": time.monotonic(),
            }
        )


class MemoryHold:
    """Memory held under one tag; ``ended_s`` is when a request last ended."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self.running = 0
        self.ended_s = 0.0


class MemoryHolds:
    """Memory held by each tag.

    Not thread-safe: callers hold ``BatchScheduler.lock``.

    :param ttl_ms: time after which the memory of an ended request is freed.
    """

    def __init__(self, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._holds: dict[str, MemoryHold] = {}

    def start(self, tag: str, size_bytes: int) -> None:
        """Hold memory for a running request."""
        hold = self._holds.setdefault(tag, MemoryHold())
        hold.running += 1
        hold.size_bytes += size_bytes

    def end(self, tag: str) -> None:
        """Record the end of a request; its memory stays held."""
        hold = self._holds.get(tag)
        if hold is not None:
            hold.running -= 1
            hold.ended_s = time.monotonic()

    def release(self, tags: list[str]) -> int:
        """Free the memory of ended requests and return the number of tags."""
        self._expire()
        found = [
            tag
            for tag in tags
            if tag in self._holds and not self._holds[tag].running
        ]
        for tag in found:
            del self._holds[tag]
        return len(found)

    def describe(self) -> list[dict[str, Any]]:
        """Return all holds as JSON-compatible values."""
        self._expire()
        return [
            {
                "tag": tag,
                "bytes": hold.size_bytes,
                "is_running": hold.running > 0,
            }
            for tag, hold in self._holds.items()
        ]

    def _expire(self) -> None:
        oldest_s = time.monotonic() - self._ttl_ms / 1000
        for tag in [
            tag
            for tag, hold in self._holds.items()
            if not hold.running and hold.ended_s < oldest_s
        ]:
            del self._holds[tag]
