"""Release of engine memory held for programs that no longer exist."""

from __future__ import annotations

import concurrent.futures
import logging
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events

SWEEP_INTERVAL_MS = 3_000
CHECK_INTERVAL_MS = 100
MAX_PARALLEL_ENGINES = 8
ENGINE_TIMEOUT_MS = 1_000
MAX_TAGS_PER_RELEASE = 256


class Hold(NamedTuple):
    """Memory that an engine holds for a tag."""

    tag: str
    size_bytes: int


class Engine(Protocol):
    """Client for the memory that an engine holds."""

    def holds(self, timeout_ms: int) -> Sequence[Hold]:
        """Return the memory held for each tag."""

    def release(self, tags: Sequence[str], timeout_ms: int) -> None:
        """Release the memory of these tags."""


class Sweep:
    """Periodic release of engine memory held for orphaned tags.

    Each engine is swept every :data:`SWEEP_INTERVAL_MS` and has at most one
    task in a small thread pool, so an engine that hangs does not delay others.

    :param engines: returns the engines to sweep by id.
    :param find_orphaned: returns those of the given tags to release.
    :param clock: source of time.
    """

    def __init__(
        self,
        engines: Callable[[], Mapping[str, Engine]],
        find_orphaned: Callable[[Iterable[str]], Iterable[str]],
        clock: clocks.Clock,
    ) -> None:
        self._engines = engines
        self._find_orphaned = find_orphaned
        self._clock = clock
        self._lock = threading.Lock()
        self._due_ms: dict[str, float] = {}
        self._stopped = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_PARALLEL_ENGINES, thread_name_prefix="sweep"
        )

    def start(self) -> None:
        """Start the sweeping thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop sweeping without waiting for sweeps in progress."""
        self._stopped.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def sweep_engine(self, engine_id: str, engine: Engine) -> int:
        """Release the memory that an engine holds for orphaned tags.

        :param engine_id: engine, for the log.
        :param engine: its client.
        :return: bytes released.
        :raises BalsamloomError: if the engine does not respond.
        """
        found = {
            hold.tag: hold.size_bytes
            for hold in engine.holds(ENGINE_TIMEOUT_MS)
        }
        orphaned = sorted(self._find_orphaned(found))
        for start in range(0, len(orphaned), MAX_TAGS_PER_RELEASE):
            batch = orphaned[start : start + MAX_TAGS_PER_RELEASE]
            engine.release(batch, ENGINE_TIMEOUT_MS)
        size_bytes = sum(found[tag] for tag in orphaned)
        if orphaned:
            events.log(
                events.Event.HOLDS_RELEASED,
                engine_id=engine_id,
                tags=len(orphaned),
                size_bytes=size_bytes,
            )
        return size_bytes

    def claim_due_engines(self) -> dict[str, Engine]:
        """Return the engines that are due and mark them as in progress."""
        now_ms = self._clock.now_ms()
        engines = self._engines()
        with self._lock:
            self._due_ms = {
                name: due_ms
                for name, due_ms in self._due_ms.items()
                if name in engines
            }
            due = {
                name: engine
                for name, engine in engines.items()
                if self._due_ms.get(name, now_ms) <= now_ms
            }
            for name in due:
                self._due_ms[name] = float("inf")
        return due

    def sweep_and_reschedule(self, engine_id: str, engine: Engine) -> None:
        """Sweep one engine and schedule its next sweep, also on failure.

        :param engine_id: engine from :meth:`claim_due_engines`.
        :param engine: its client.
        """
        next_ms = self._clock.now_ms() + SWEEP_INTERVAL_MS
        try:
            self.sweep_engine(engine_id, engine)
        except errors.BalsamloomError as error:
            events.log(
                events.Event.REQUEST_FAILED,
                logging.WARNING,
                task="sweep",
                engine_id=engine_id,
                error=error.message,
            )
        finally:
            with self._lock:
                self._due_ms[engine_id] = next_ms

    def _run(self) -> None:
        while not self._clock.wait(self._stopped, CHECK_INTERVAL_MS):
            for engine_id, engine in self.claim_due_engines().items():
                try:
                    self._executor.submit(
                        self.sweep_and_reschedule, engine_id, engine
                    )
                except RuntimeError:
                    return
