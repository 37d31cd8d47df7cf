"""Selection of the entry process address that a caller should use."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, identifiers, results
from balsamloom_peers import messages
from balsamloom_state import partitions

MAX_HOSTS_PER_CUSTOMER = 8
MAX_ALTERNATIVES = 3
PROGRAM_VALID_MS = 30_000
# Shorter than for a program, because member load changes within seconds.
NEW_PROGRAM_VALID_MS = 5_000
# While ownership changes, callers should resolve the address again soon.
OWNER_CHANGE_VALID_MS = 1_000
# Keeps callers that asked at the same time from asking again together.
VALID_JITTER = 0.2
MAX_LOAD_AGE_MS = 5_000
# The caller's failure domain is preferred unless its chosen member has more
# load than this factor times that of the member chosen in any domain, plus
# the slack.
DOMAIN_LOAD_FACTOR = 2.0
DOMAIN_LOAD_SLACK = 8.0


class AddressAnswer(NamedTuple):
    """Address to use, its validity, and fallback addresses."""

    address: str
    valid_ms: int
    alternatives: tuple[str, ...]


class _Load(NamedTuple):
    calls_in_progress: int
    received_at_ms: float
    is_leaving: bool


class AddressResolver:
    """Resolves addresses from the latest known map, without the store.

    :param map_source: returns the latest known partition map.
    :param self_member: this process.
    :param clock: source of time.
    :param suspected: returns the ids of suspected members, never returned.
    :param own_load: returns the number of calls in progress here.
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
        """Record a peer's load and whether it is leaving.

        Records of members that are no longer in the map are removed.

        :param heartbeat: heartbeat from the peer, or its reply to one.
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

        If the owner is leaving or suspected, return its likely successor
        with a short validity.

        :param program_id: identifier of the program.
        :raises BalsamloomError: if the identifier is malformed or no member
            is usable.
        """
        current = self._map_source()
        partition = identifiers.partition_of(program_id)
        owner = current.owner_of(partition)
        usable = self._usable_members(current)
        key = owner.member_id if owner else program_id
        order = partitions.rank(key, usable)
        if not order:
            raise _no_usable_member_error()
        is_settled = owner is not None and owner.member_id in usable
        chosen = owner if owner and is_settled else usable[order[0]]
        is_importing = any(
            partition in entry.partitions for entry in current.imports
        )
        valid_ms = PROGRAM_VALID_MS
        if not is_settled or is_importing:
            valid_ms = OWNER_CHANGE_VALID_MS
        return _make_answer(chosen, [usable[name] for name in order], valid_ms)

    def for_new_program(
        self, customer: str, failure_domain: str = ""
    ) -> AddressAnswer:
        """Return an address for a customer's new program.

        :param customer: customer, served by up to eight entry hosts.
        :param failure_domain: domain of the caller, preferred unless it is
            overloaded.
        :raises BalsamloomError: if no member is usable.
        """
        current = self._map_source()
        usable = self._usable_members(current)
        owned = dict.fromkeys(usable, 0)
        for ownership in current.owners.values():
            if ownership.member_id in owned:
                owned[ownership.member_id] += 1
        owners = {name: count for name, count in owned.items() if count}
        if not owners:
            raise _no_usable_member_error()
        names = _customer_members(customer, {n: usable[n] for n in owners})
        same_domain = [
            name
            for name in names
            if usable[name].failure_domain == failure_domain
        ]
        chosen = self._least_loaded(names, owners)
        if same_domain:
            local = self._least_loaded(same_domain, owners)
            limit = DOMAIN_LOAD_FACTOR * self._load(chosen) + DOMAIN_LOAD_SLACK
            chosen = local if self._load(local) <= limit else chosen
        others = [usable[name] for name in names]
        return _make_answer(usable[chosen], others, NEW_PROGRAM_VALID_MS)

    def _usable_members(
        self, current: partitions.PartitionMap
    ) -> dict[str, partitions.Member]:
        suspected = self._suspected()
        return {
            name: member
            for name, member in current.members.items()
            if not member.is_leaving
            and name not in suspected
            and not self._has_reported_leaving(name)
        }

    def _has_reported_leaving(self, member_id: str) -> bool:
        load = self._loads.get(member_id)
        return load is not None and load.is_leaving

    def _least_loaded(self, names: list[str], owned: dict[str, int]) -> str:
        """Choose the less loaded of two members drawn at random.

        Members are weighted by the partitions they own. Choosing the least
        loaded of all would send every caller to it until the next heartbeat.
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
            if now_ms - load.received_at_ms <= MAX_LOAD_AGE_MS
        }
        # A member without a recent heartbeat counts as averagely loaded.
        mean = sum(fresh.values()) / len(fresh) if fresh else self._own_load()
        return fresh.get(member_id, mean)


def _customer_members(
    customer: str, members: dict[str, partitions.Member]
) -> list[str]:
    """Return the processes on a customer's hosts.

    Hosts are ranked by rendezvous hashing within each failure domain and
    taken from the domains in turn.
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
    kept = set(chosen[:MAX_HOSTS_PER_CUSTOMER])
    return [name for name, member in members.items() if _host(member) in kept]


def _host(member: partitions.Member) -> str:
    return member.http_address.rpartition(":")[0]


def _make_answer(
    chosen: partitions.Member,
    others: Iterable[partitions.Member],
    valid_ms: int,
) -> AddressAnswer:
    """Return the answer, with alternatives from distinct domains first."""
    first: dict[str, str] = {}
    rest: list[str] = []
    for member in others:
        if member.failure_domain == chosen.failure_domain:
            continue
        if member.failure_domain in first:
            rest.append(member.http_address)
        else:
            first[member.failure_domain] = member.http_address
    alternatives = [*first.values(), *rest][:MAX_ALTERNATIVES]
    jitter = random.uniform(1 - VALID_JITTER, 1 + VALID_JITTER)
    return AddressAnswer(
        chosen.http_address, int(valid_ms * jitter), tuple(alternatives)
    )


def _no_usable_member_error() -> errors.BalsamloomError:
    return errors.BalsamloomError(
        results.ResultCode.OWNER_UNREACHABLE,
        "no entry process is available that is neither leaving nor suspected",
        OWNER_CHANGE_VALID_MS,
    )
