"""Which storage hosts keep a turn, and what their answers amount to.

The copies of a group of turns lie at the hosts with its greatest weights
(rendezvous hashing), from different failure domains as far as there are any.
A write that cannot reach these goes to the next ones. Decisions have no input
or output of their own.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_conversations import turns

_WEIGHT_BYTES = 8


class StorageHost(NamedTuple):
    """Storage host as it registered itself.

    ``disk_id`` changes when the host comes back with an empty disk.
    """

    name: str
    address: str
    failure_domain: str
    disk_id: str


def rank(group_id: str, hosts: Iterable[StorageHost]) -> list[StorageHost]:
    """Return all hosts in the order in which they should keep a group."""
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
    """Return whether a host should keep a group.

    :param hosts: hosts that can keep turns now.
    """
    targets = rank(group_id, hosts)[:copies]
    return any(host.name == name for host in targets)


def reading_order(
    group_id: str,
    hosts: Iterable[StorageHost],
    copies: int,
    failure_domain: str,
) -> list[StorageHost]:
    """Return the order in which hosts are asked for a turn.

    Those that should have it come first, and of these the ones in the
    reader's own failure domain.
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
    """Which hosts to write a turn to, until enough copies stand.

    :param hosts: hosts in the order in which they are tried.
    :param copies: hosts that must have the turn on their disk.
    """

    def __init__(self, hosts: Sequence[StorageHost], copies: int) -> None:
        self._untried = list(hosts)
        self._copies = copies
        self._written: set[str] = set()
        self._in_progress = 0

    @property
    def is_complete(self) -> bool:
        """Return whether enough copies stand."""
        return len(self._written) >= self._copies

    @property
    def written_hosts(self) -> list[str]:
        """Return the hosts that have the turn on their disk."""
        return sorted(self._written)

    @property
    def has_failed(self) -> bool:
        """Return whether the copies that are missing cannot come."""
        possible = len(self._written) + self._in_progress + len(self._untried)
        return not self.is_complete and possible < self._copies

    def start(self) -> list[StorageHost]:
        """Return the hosts to write to first."""
        return self._next(self._copies)

    def record_written(self, name: str) -> None:
        """Take in that a host has the turn on its disk."""
        self._in_progress -= 1
        self._written.add(name)

    def handle_failure(self) -> list[StorageHost]:
        """Take in that a write failed; return the hosts to try instead."""
        self._in_progress -= 1
        return self._next(1)

    def hedge(self) -> list[StorageHost]:
        """Return one more host, as those in progress take long."""
        return self._next(1)

    def _next(self, count: int) -> list[StorageHost]:
        found, self._untried = self._untried[:count], self._untried[count:]
        self._in_progress += len(found)
        return found


class ReadTally:
    """What the answers of storage hosts amount to.

    A turn does not exist only if enough hosts say so that each copy set has
    one of them. A host that cannot tell, or that was not reached for a short
    time, leaves it open, as it may have the last copy. Hosts that are gone
    do so only where there are as many of them as copies.

    :param hosts: number of registered hosts.
    :param copies: copies of each turn.
    """

    def __init__(self, hosts: int, copies: int) -> None:
        self._hosts = hosts
        self._copies = copies
        self._reasons: list[str] = []
        self._lost: list[str] = []

    def record_unsure(self, name: str, reason: str) -> None:
        """Take in that a host could not tell or was not reached."""
        self._reasons.append(f"{name}: {reason}")

    def record_lost(self, name: str) -> None:
        """Take in that a host was not reached for long.

        Others have copied its turns meanwhile, if there are other copies.
        """
        self._lost.append(name)

    def result(self) -> turns.Absent | turns.Unsure:
        """Return what follows when all hosts were asked and none has it."""
        if self._reasons:
            return turns.Unsure("; ".join(self._reasons))
        if len(self._lost) >= self._copies:
            return turns.Unsure(f"gone: {', '.join(self._lost)}")
        if self._hosts < self._copies:
            reason = f"{self._hosts} storage hosts known"
            return turns.Unsure(reason)
        return turns.Absent()
