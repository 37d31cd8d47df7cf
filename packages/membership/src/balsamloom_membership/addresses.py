"""Answers to the question which address a caller should use."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, identifiers, results
from balsamloom_peers import messages
from balsamloom_state import partitions

HOSTS_PER_CUSTOMER = 8
ALTERNATIVES = 3
PROGRAM_VALID_MS = 30_000
# The load of members changes within seconds.
NEW_PROGRAM_VALID_MS = 5_000
# While owners change, callers should ask again soon.
CHANGING_VALID_MS = 1_000
# Callers that asked at the same time do not come back at the same time.
VALID_JITTER = 0.2
LOAD_MEMORY_MS = 5_000
# The asker's failure domain is left if its best member has more than this
# factor times the load of the best one elsewhere, plus some slack.
DOMAIN_LOAD_FACTOR = 2.0
DOMAIN_LOAD_SLACK = 8.0


class AddressAnswer(NamedTuple):
    """Address to use, for how long, and others in case it fails."""

    address: str
    valid_ms: int
    alternatives: tuple[str, ...]


class _Load(NamedTuple):
    calls_in_progress: int
    heard_at_ms: float
    is_leaving: bool


class AddressResolver:
    """Answers address questions from the map last seen, without the store.

    :param map_source: returns the map last seen.
    :param self_member: this process.
    :param clock: source of time.
    :param suspected: returns members that must not be named.
    :param own_load: returns the calls in progress here.
    """

    def __init__(
        self,
        map_source: Callable[[], partitions.PartitionMap],
        self_member: partitions.Member,
        clock: clocks.Clock,
        suspected: Callable[[], set[str]] = set,
        own_load: Callable[[], int] = int,
    ) -> None:
        self._map_source = map_source
        self._self_id = self_member.member_id
        self._clock = clock
        self._suspected = suspected
        self._own_load = own_load
        self._loads: dict[str, _Load] = {}

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Take in a peer's load and whether it is leaving.

        :param heartbeat: heartbeat of the peer or its answer.
        """
        known = self._map_source().members
        if heartbeat.member_id in known:
            self._loads[heartbeat.member_id] = _Load(
                heartbeat.calls_in_progress,
                self._clock.now_ms(),
                heartbeat.is_leaving,
            )
        for member_id in list(self._loads):
            if member_id not in known:
                self._loads.pop(member_id, None)

    def for_program(self, program_id: str) -> AddressAnswer:
        """Return the address of a program's owner.

        If the owner is leaving or suspected, its likely successor is named,
        for a short time.

        :param program_id: identifier of the program.
        :raises BalsamloomError: if the identifier is malformed or no member
            can be named.
        """
        current = self._map_source()
        partition = identifiers.partition_of(program_id)
        owner = current.owner_of(partition)
        usable = self._usable(current)
        key = owner.member_id if owner else program_id
        order = partitions.rank(key, usable)
        if not order:
            raise _none_usable()
        is_settled = owner is not None and owner.member_id in usable
        chosen = owner if owner and is_settled else usable[order[0]]
        is_importing = any(
            partition in entry.partitions for entry in current.imports
        )
        valid_ms = PROGRAM_VALID_MS
        if not is_settled or is_importing:
            valid_ms = CHANGING_VALID_MS
        return _answer(chosen, [usable[name] for name in order], valid_ms)

    def for_new_program(
        self, customer: str, failure_domain: str = ""
    ) -> AddressAnswer:
        """Return an address for a customer's new program.

        :param customer: customer, which has up to eight entry hosts.
        :param failure_domain: of the asker, preferred if it has capacity.
        :raises BalsamloomError: if no member can be named.
        """
        current = self._map_source()
        usable = self._usable(current)
        owned = dict.fromkeys(usable, 0)
        for ownership in current.owners.values():
            if ownership.member_id in owned:
                owned[ownership.member_id] += 1
        owners = {name: count for name, count in owned.items() if count}
        if not owners:
            raise _none_usable()
        names = _of_customer(customer, {n: usable[n] for n in owners})
        near = [
            name
            for name in names
            if usable[name].failure_domain == failure_domain
        ]
        chosen = self._least_loaded(names, owners)
        if near:
            nearest = self._least_loaded(near, owners)
            limit = DOMAIN_LOAD_FACTOR * self._load(chosen) + DOMAIN_LOAD_SLACK
            chosen = nearest if self._load(nearest) <= limit else chosen
        others = [usable[name] for name in names]
        return _answer(usable[chosen], others, NEW_PROGRAM_VALID_MS)

    def _usable(
        self, current: partitions.PartitionMap
    ) -> dict[str, partitions.Member]:
        suspected = self._suspected()
        return {
            name: member
            for name, member in current.members.items()
            if not member.is_leaving
            and name not in suspected
            and not self._says_it_leaves(name)
        }

    def _says_it_leaves(self, member_id: str) -> bool:
        load = self._loads.get(member_id)
        return load is not None and load.is_leaving

    def _least_loaded(self, names: list[str], owned: dict[str, int]) -> str:
        """Choose between two candidates drawn by owned partitions.

        The least loaded of all would get every caller until the next
        heartbeat.
        """
        weights = [owned[name] for name in names]
        pair = random.choices(names, weights, k=2)
        return min(pair, key=lambda name: self._load(name) / owned[name])

    def _load(self, member_id: str) -> float:
        if member_id == self._self_id:
            return self._own_load()
        now_ms = self._clock.now_ms()
        fresh = {
            name: load.calls_in_progress
            for name, load in list(self._loads.items())
            if now_ms - load.heard_at_ms <= LOAD_MEMORY_MS
        }
        # A member that is not heard from counts as an average one.
        mean = sum(fresh.values()) / len(fresh) if fresh else self._own_load()
        return fresh.get(member_id, mean)


def _of_customer(
    customer: str, members: dict[str, partitions.Member]
) -> list[str]:
    """Return the processes on a customer's hosts.

    Hosts are ranked by rendezvous hashing within each failure domain, and the
    domains take turns.
    """
    domains: dict[str, set[str]] = {}
    for member in members.values():
        hosts = domains.setdefault(member.failure_domain, set())
        hosts.add(_host(member))
    ranked = [
        partitions.rank(customer, domains[domain])
        for domain in partitions.rank(customer, domains)
    ]
    chosen: list[str] = []
    for turn in range(max(len(hosts) for hosts in ranked)):
        chosen += [hosts[turn] for hosts in ranked if turn < len(hosts)]
    kept = set(chosen[:HOSTS_PER_CUSTOMER])
    return [name for name, member in members.items() if _host(member) in kept]


def _host(member: partitions.Member) -> str:
    return member.http_address.rpartition(":")[0]


def _answer(
    chosen: partitions.Member,
    others: Iterable[partitions.Member],
    valid_ms: int,
) -> AddressAnswer:
    """Return the answer with alternatives, one per other domain first."""
    first: dict[str, str] = {}
    rest: list[str] = []
    for member in others:
        if member.failure_domain == chosen.failure_domain:
            continue
        if member.failure_domain in first:
            rest.append(member.http_address)
        else:
            first[member.failure_domain] = member.http_address
    alternatives = [*first.values(), *rest][:ALTERNATIVES]
    jitter = random.uniform(1 - VALID_JITTER, 1 + VALID_JITTER)
    return AddressAnswer(
        chosen.http_address, int(valid_ms * jitter), tuple(alternatives)
    )


def _none_usable() -> errors.BalsamloomError:
    return errors.BalsamloomError(
        results.ResultCode.OWNER_UNREACHABLE,
        "no entry process can be named that is neither leaving nor suspected",
        CHANGING_VALID_MS,
    )
