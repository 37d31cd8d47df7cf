"""Replica placement by rendezvous hashing, and outcomes of reads and writes.

The replicas of a group are placed on the hosts with the highest weights for
it, in different failure domains if there are enough. A write that fails there
goes to the next hosts. This module performs no I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_conversations import turns

_WEIGHT_BYTES = 8


class StorageHost(NamedTuple):
    """Registration of a storage host.

    ``disk_id`` changes when the host returns with an empty disk.
    """

    name: str
    address: str
    failure_domain: str
    disk_id: str


def rank(group_id: str, hosts: Iterable[StorageHost]) -> list[StorageHost]:
    """Return all hosts in the order of preference for a group."""
    ordered = sorted(
        hosts, key=lambda host: _weight(group_id, host.name), reverse=True
    )
    domain_leaders: list[StorageHost] = []
    domains: set[str] = set()
    for host in ordered:
        if host.failure_domain not in domains:
            domains.add(host.failure_domain)
            domain_leaders.append(host)
    return domain_leaders + [
        host for host in ordered if host not in domain_leaders
    ]


def is_target(
    name: str, group_id: str, hosts: Iterable[StorageHost], copies: int
) -> bool:
    """Return whether a host should store a group.

    :param hosts: hosts that can store turns now.
    :param copies: number of replicas of each turn.
    """
    targets = rank(group_id, hosts)[:copies]
    return any(host.name == name for host in targets)


def reading_order(
    group_id: str,
    hosts: Iterable[StorageHost],
    copies: int,
    failure_domain: str,
) -> list[StorageHost]:
    """Return the hosts in the order in which to read a turn.

    The hosts that should store it come first, starting with those in
    ``failure_domain``, which is that of the reader.
    """
    ranked = rank(group_id, hosts)
    targets = sorted(
        ranked[:copies],
        key=lambda host: host.failure_domain != failure_domain,
    )
    return targets + ranked[copies:]


def _weight(group_id: str, name: str) -> bytes:
    text = f"{group_id}/{name}".encode()
    return hashlib.blake2b(text, digest_size=_WEIGHT_BYTES).digest()


class WritePlan:
    """Chooses the hosts to write data to, until it has enough replicas.

    A host that failed is tried again after all others.

    :param hosts: hosts in the order in which to try them.
    :param copies: number of hosts that must store the data.
    """

    def __init__(self, hosts: Sequence[StorageHost], copies: int) -> None:
        self._untried = list(hosts)
        self._failed: list[StorageHost] = []
        self._copies = copies
        self._written: set[str] = set()
        self._fenced: set[str] = set()
        self._in_progress = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the data has enough replicas."""
        return len(self._counted) >= self._copies

    @property
    def written_hosts(self) -> list[str]:
        """Return the names of the hosts that stored the data."""
        return sorted(self._written)

    @property
    def _counted(self) -> set[str]:
        return self._written - self._fenced

    @property
    def is_possible(self) -> bool:
        """Return whether there are enough hosts to complete the write."""
        others = self._in_progress + len(self._untried) + len(self._failed)
        return len(self._counted) + others >= self._copies

    def start(self) -> list[StorageHost]:
        """Return the hosts to write to first."""
        return self._start_next(self._copies)

    def record_written(
        self, name: str, fenced: Iterable[str] = ()
    ) -> list[StorageHost]:
        """Record that a host stored the data.

        :param fenced: hosts that do not count beside it.
        :return: hosts to use instead of those that do not count.
        """
        self._in_progress -= 1
        self._written.add(name)
        self._fenced.update(fenced)
        missing = self._copies - len(self._counted) - self._in_progress
        return self._start_next(max(missing, 0))

    def handle_failure(self, host: StorageHost) -> list[StorageHost]:
        """Record a failed write; return the untried host to use instead."""
        self._in_progress -= 1
        self._failed.append(host)
        return self._start_next(1)

    def hedge(self) -> list[StorageHost]:
        """Return another host to write to while other writes are slow.

        If all were tried, that is the one which failed first.
        """
        if not self._untried:
            self._untried, self._failed = self._failed, []
        return self._start_next(1)

    def _start_next(self, count: int) -> list[StorageHost]:
        started, self._untried = self._untried[:count], self._untried[count:]
        self._in_progress += len(started)
        return started


class ReadTally:
    """Result of a read for which no host returned a chain.

    The turn is absent only if every possible replica set contains a host that
    is certain not to have it. A host that is unsure or was unreachable for a
    short time may hold the last replica, so the result is unsure. Lost hosts
    make it unsure only if there are at least ``copies`` of them.

    :param hosts: number of registered hosts.
    :param copies: number of replicas of each turn.
    """

    def __init__(self, hosts: int, copies: int) -> None:
        self._hosts = hosts
        self._copies = copies
        self._reasons: list[str] = []
        self._lost: list[str] = []

    def record_unsure(self, name: str, reason: str) -> None:
        """Record that a host was unsure or unreachable."""
        self._reasons.append(f"{name}: {reason}")

    def record_lost(self, name: str) -> None:
        """Record that a host has been unreachable for a long time.

        Fewer lost hosts than copies cannot have the last replica, if none of
        the other hosts lacks a turn that it stored.
        """
        self._lost.append(name)

    def result(self) -> turns.Absent | turns.Unsure:
        """Return the result after all hosts were asked."""
        if self._reasons:
            return turns.Unsure("; ".join(self._reasons))
        if len(self._lost) >= self._copies:
            return turns.Unsure(f"lost: {', '.join(self._lost)}")
        if self._hosts < self._copies:
            reason = f"only {self._hosts} storage hosts are registered"
            return turns.Unsure(reason)
        return turns.Absent()
