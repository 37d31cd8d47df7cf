"""Polling of the platform's host list."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors
from balsamloom_membership import backends

POLL_INTERVAL_MS = 2_000
POLL_JITTER = 0.25
MAX_BACKOFF_MS = 30_000


class Host(NamedTuple):
    """Entry of the host list, with an incarnation if the list has one."""

    host_id: str
    kind: str
    address: str
    failure_domain: str
    is_leaving: bool = False
    incarnation: int | None = None


class HostWatch:
    """Polls the host list and keeps the last one while polls fail.

    A host that is missing from the list does not count as leaving, because
    the list may be outdated or truncated.

    :param fetch: reads the list; raises ``BalsamloomError`` on failure.
    :param table: receives the states of backend servers.
    :param clock: source of time.
    """

    def __init__(
        self,
        fetch: Callable[[], Sequence[Host]],
        table: backends.BackendTable,
        clock: clocks.Clock,
    ) -> None:
        self._fetch = fetch
        self._table = table
        self._clock = clock
        self._hosts: tuple[Host, ...] = ()
        self._failures = 0
        self._stopped = threading.Event()

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts of the last successful poll."""
        return self._hosts

    def start(self) -> None:
        """Start polling."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def poll(self) -> float:
        """Read the list once and update the table.

        :return: time in ms until the next poll.
        """
        try:
            hosts = tuple(self._fetch())
        except errors.BalsamloomError:
            self._failures += 1
            limit_ms = min(
                POLL_INTERVAL_MS * 2**self._failures, MAX_BACKOFF_MS
            )
            return random.uniform(POLL_INTERVAL_MS / 2, limit_ms)
        self._failures = 0
        self._hosts = hosts
        for host in hosts:
            self._table.observe(
                backends.Origin.HOST_LIST,
                host.host_id,
                host.is_leaving,
                host.incarnation,
            )
        return POLL_INTERVAL_MS * random.uniform(
            1 - POLL_JITTER, 1 + POLL_JITTER
        )

    def _run(self) -> None:
        pause_ms = random.uniform(0, POLL_INTERVAL_MS * POLL_JITTER)
        while not self._clock.wait(self._stopped, pause_ms):
            pause_ms = self.poll()
