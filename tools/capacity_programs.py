"""Measure slopes of programs, their calls and the journal."""

from __future__ import annotations

import os
from collections.abc import Iterator, Sequence
from typing import Any

import capacity_fit

from balsamloom_core import clock as clocks
from balsamloom_core import outcomes
from balsamloom_platform import store as stores
from balsamloom_state import budgets, local, owner, partitions

fit = capacity_fit.fit
cpu_us = capacity_fit.cpu_us
held_bytes = capacity_fit.held_bytes

DIGEST = b"d" * 16
TIMEOUT_MS = 5_000
PROGRAM_COUNTS = (100, 200, 400, 800)


class MemoryStore:
    """Key-value service in the memory of this process, without faults."""

    def __init__(self) -> None:
        self._items: dict[str, stores.Item] = {}
        self._revision = 0

    def get(
        self, key: str, timeout_ms: int = stores.DEFAULT_TIMEOUT_MS
    ) -> stores.Item | None:
        """Read one key."""
        return self._items.get(key)

    def list_keys(
        self,
        prefix: str,
        limit: int = 0,
        start: str = "",
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Page:
        """Read keys with a prefix."""
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key >= start
        ]
        chosen = found[:limit] if limit else found
        return stores.Page(chosen, len(chosen) < len(found), self._revision)

    def commit(
        self,
        comparisons: Sequence[stores.Comparison],
        operations: Sequence[stores.Operation],
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Committed | stores.Conflict:
        """Apply the operations if the comparisons hold."""
        if not all(self._holds(comparison) for comparison in comparisons):
            current = {
                comparison.key: self._items[comparison.key]
                for comparison in comparisons
                if comparison.key in self._items
            }
            return stores.Conflict(self._revision, current)
        self._revision += 1
        for operation in operations:
            match operation:
                case stores.Put(key=key, value=value):
                    self._items[key] = stores.Item(
                        key, value, self._revision, self._revision
                    )
                case stores.Delete(key=key):
                    self._items.pop(key, None)
        return stores.Committed(self._revision)

    def watch(
        self, prefix: str, from_revision: int, timeout_ms: int
    ) -> Iterator[list[stores.Change]]:
        """Yield nothing."""
        return iter(())

    def grant_lease(self, ttl_ms: int) -> int:
        """Return a fixed lease identifier; leases have no effect."""
        return 1

    def renew_lease(self, lease_id: int) -> bool:
        """Report that the lease is valid."""
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Do nothing."""

    def size_bytes(self) -> int:
        """Return the bytes of all values."""
        return sum(len(item.value) for item in self._items.values())

    def _holds(self, comparison: stores.Comparison) -> bool:
        item = self._items.get(comparison.key)
        match comparison:
            case stores.KeyAbsent():
                return item is None
            case stores.RevisionIs(mod_revision=revision):
                return item is not None and item.mod_revision == revision


class RefusingTransfer:
    """Transfer that always refuses, since there are no other members."""

    def transfer(self, *arguments: Any) -> bool:
        """Return that the transfer was refused."""
        return False


def _program_owner(store: MemoryStore) -> owner.ProgramOwner:
    member = partitions.Member("m-1", "127.0.0.1:1", "127.0.0.1:2", "d0")
    settings = local.OwnerSettings(
        commits_per_s=1e6, commit_burst=1_000_000, writes_in_background=False
    )
    built = owner.ProgramOwner(
        store,
        member,
        clocks.Clock(),
        settings,
        RefusingTransfer(),  # type: ignore[arg-type]
    )
    built.join()
    return built


def _start_programs(built: owner.ProgramOwner, count: int) -> list[Any]:
    spec = owner.StartSpec(
        "customer", "workspace", budget=budgets.Limits(1_000_000, 10_000)
    )
    return [built.start_program(spec, TIMEOUT_MS) for _ in range(count)]


def _run_call(
    built: owner.ProgramOwner, program: Any, number: int, size_bytes: int
) -> None:
    key = f"{program.program_id}-s{number}"
    built.begin_call(program, key, DIGEST, budgets.MaxUse(10), TIMEOUT_MS)
    text = os.urandom(size_bytes // 2).hex()
    answer = {"role": "assistant", "content": text[: size_bytes // 2]}
    question = {"role": "user", "content": text[size_bytes // 2 :]}
    outcome = outcomes.Completed({"message": answer}, 10)
    built.finish(
        program, key, DIGEST, outcome, [question, answer], 1.0, TIMEOUT_MS
    )


def program_slopes() -> list[capacity_fit.Slope]:
    """Measure programs, their calls and the journal."""

    def build(count: int) -> Any:
        built = _program_owner(MemoryStore())
        return built, _start_programs(built, count)

    memory = [(n, held_bytes(build, n)) for n in PROGRAM_COUNTS]
    maintain = []
    for count in PROGRAM_COUNTS:
        built, _ = build(count)
        maintain.append((count, cpu_us(built.maintain, rounds=10)))
    turns_memory, turns_journal = [], []
    for turns in (5, 10, 20, 40):
        store = MemoryStore()
        built = _program_owner(store)
        program = _start_programs(built, 1)[0]

        before = store.size_bytes()
        held = held_bytes(_run_turns, built, program, turns)
        # In production the store is another process: leave its values out.
        held -= store.size_bytes() - before
        turns_memory.append((turns, held))
        turns_journal.append((turns, store.size_bytes() - before))
    call_cpu = []
    for count in PROGRAM_COUNTS:
        built = _program_owner(MemoryStore())
        found = _start_programs(built, count)
        call_cpu.append((count, cpu_us(_run_call_each, built, found)))
    history = []
    for size_bytes in (1_000, 4_000, 16_000, 64_000):
        built = _program_owner(MemoryStore())
        program = _start_programs(built, 1)[0]
        history.append(
            (size_bytes, cpu_us(_run_turns, built, program, 5, size_bytes) / 5)
        )
    return [
        fit("program_memory", "programs", "bytes held", memory),
        fit("maintain_cpu", "programs", "us of CPU a round", maintain),
        fit("turn_memory", "turns of 1,000 B", "bytes held", turns_memory),
        fit("turn_journal", "turns of 1,000 B", "bytes", turns_journal),
        fit("call_state_cpu", "calls, one a program", "us", call_cpu),
        fit("turn_size_cpu", "bytes of a turn", "us of CPU a turn", history),
    ]


def _run_turns(
    built: owner.ProgramOwner,
    program: Any,
    turns: int,
    size_bytes: int = 1_000,
) -> None:
    for _ in range(turns):
        _run_call(built, program, len(program.calls), size_bytes)


def _run_call_each(built: owner.ProgramOwner, found: list[Any]) -> None:
    for program in found:
        _run_call(built, program, len(program.calls), 1_000)
