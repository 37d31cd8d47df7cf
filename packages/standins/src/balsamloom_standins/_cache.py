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
MAX_EVENTS_KEPT = 10_000

_DIGEST_BYTES = 8


class Block(NamedTuple):
    """One message at its place in a list: hash of the prefix, and tokens."""

    digest: str
    tokens: int


def blocks_of(messages: list[dict[str, Any]]) -> list[Block]:
    """Return a block for each message, chained to those before it."""
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


class History:
    """Blocks that any engine has computed, shared through a file.

    :param path: file to which all engines of a run append.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self._seen: set[str] = set()
        self._file: int | None = None
        self._offset = 0
        if path is not None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o600)

    def add(self, digests: list[str]) -> set[str]:
        """Add blocks and return those that had been computed before."""
        self._read()
        known = {digest for digest in digests if digest in self._seen}
        self._seen.update(digests)
        new = [digest for digest in digests if digest not in known]
        if self._file is not None and new:
            os.write(self._file, "".join(new).encode())
        return known

    def _read(self) -> None:
        if self._file is None:
            return
        size = 2 * _DIGEST_BYTES
        raw = os.pread(self._file, 1 << 24, self._offset).decode()
        whole = len(raw) // size * size
        self._offset += whole
        self._seen.update(
            raw[start : start + size] for start in range(0, whole, size)
        )


class PrefixCache:
    """Least recently used blocks within a limit; callers lock.

    :param capacity_tokens: largest number of tokens kept.
    :param history: blocks computed before, by any engine.
    """

    def __init__(self, capacity_tokens: int, history: History) -> None:
        self.capacity_tokens = capacity_tokens
        self.counts = {"computed": 0, "hit": 0, "recomputed": 0}
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_EVENTS_KEPT
        )
        self._history = history
        self._blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0
        self._number = 0

    def admit(self, blocks: list[Block]) -> int:
        """Count a prompt, keep its blocks and return the tokens to compute."""
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
        self._keep(blocks)
        return computed

    def add_answer(self, blocks: list[Block]) -> None:
        """Keep the block of a generated answer, the last of a list."""
        self._history.add([blocks[-1].digest])
        self._keep(blocks)

    def _keep(self, blocks: list[Block]) -> None:
        # The first message is used last, so that the end of a prefix is
        # dropped before its start.
        for block in reversed(blocks):
            if block.digest not in self._blocks:
                self._tokens += block.tokens
                self._note("stored", block.digest, block.tokens)
            self._blocks[block.digest] = block.tokens
            self._blocks.move_to_end(block.digest)
        while self._tokens > self.capacity_tokens and self._blocks:
            digest, tokens = self._blocks.popitem(last=False)
            self._tokens -= tokens
            self._note("evicted", digest, tokens)

    def _note(self, kind: str, digest: str, tokens: int) -> None:
        self._number += 1
        self.events.append(
            {
                "number": self._number,
                "kind": kind,
                "block": digest,
                "tokens": tokens,
                "at_s": time.monotonic(),
            }
        )


class Hold:
    """Memory held under one tag; ``ended_s`` is set when it runs no more."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self.running = 0
        self.ended_s = 0.0


class Holds:
    """Memory held by tag; callers lock.

    :param ttl_ms: time after which an ended request's memory is freed.
    """

    def __init__(self, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._holds: dict[str, Hold] = {}

    def start(self, tag: str, size_bytes: int) -> None:
        """Hold memory for a request under way."""
        hold = self._holds.setdefault(tag, Hold())
        hold.running += 1
        hold.size_bytes += size_bytes

    def end(self, tag: str) -> None:
        """Note the end of a request; its memory stays held."""
        hold = self._holds.get(tag)
        if hold is not None:
            hold.running -= 1
            hold.ended_s = time.monotonic()

    def release(self, tags: list[str]) -> int:
        """Free memory of ended requests and return the number of tags."""
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
        """Return all holds."""
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
