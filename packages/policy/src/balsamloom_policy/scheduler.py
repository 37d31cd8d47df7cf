"""Facade of the policy: which call runs where and when."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from balsamloom_core import clock as core_clock
from balsamloom_core import results
from balsamloom_policy import (
    _candidates,
    _dispatcher,
    _hedging,
    _policies,
    _pool,
    _servers,
    admission,
    calls,
    limits,
    ordering,
    retries,
    settings,
    tickets,
)


class Scheduler:
    """All decisions on calls of one process.

    :param clock: time source.
    :param values: settings in force.
    :param seed: seed of all random choices.
    """

    def __init__(
        self,
        clock: core_clock.Clock,
        values: settings.PolicySettings,
        seed: int,
    ) -> None:
        self._clock = clock
        self._dispatcher = _dispatcher.Dispatcher(clock, values)
        self._lock = self._dispatcher.lock
        self._capacity = self._dispatcher.capacity
        self._generator = random.Random(seed)
        self._sequence = itertools.count()
        self._pools: dict[str, _pool.Pool] = {}
        self._retry_budget = retries.RetryBudget(values)

    def update_settings(self, values: settings.PolicySettings) -> None:
        """Take the settings in force; waiting calls keep their order."""
        with self._lock:
            previous = self._dispatcher.policies
            self._dispatcher.policies = _policies.select(values)
            has_limit_changed = self._policies.has_limit != previous.has_limit
            for pool in self._pools.values():
                entries = list(pool.queue.entries())
                _candidates.requeue(
                    pool, entries, previous.ordering, self._policies
                )
                if has_limit_changed:
                    self._reset_limits(pool)
                self._refresh_pool(pool)

    def update_servers(self, pool: str, servers: list[calls.Server]) -> None:
        """Take the full list of a pool's servers.

        What was learnt of servers that stay is kept.

        :param pool: model or service name.
        """
        with self._lock:
            state = self._get_or_create_pool(pool)
            previous = state.servers
            state.servers = {}
            for server in servers:
                server_state = previous.pop(server.server_id, None)
                if server_state is None:
                    limit = self._starting_limit(server)
                    server_state = _servers.ServerState(server, limit)
                elif server_state.server.concurrency != server.concurrency:
                    server_state.limit = self._starting_limit(server)
                server_state.server = server
                state.servers[server.server_id] = server_state
            for server_id in previous:
                state.router.index.remove_server(server_id)
            self._refresh_pool(state)

    def update_load(self, server_id: str, report: calls.LoadReport) -> None:
        """Take in a load report, which is a hint only."""
        with self._lock:
            for pool in self._pools.values():
                state = pool.servers.get(server_id)
                if state is not None:
                    state.load_report = report
                    state.load_report_ms = self._clock.now_ms()

    def set_member_count(self, count: int) -> None:
        """Take the number of processes that share the servers."""
        with self._lock:
            if not self._capacity.set_member_count(count):
                return
            if isinstance(self._policies.limits, limits.StaticLimit):
                for pool in self._pools.values():
                    self._reset_limits(pool)
            self._update_all_slots()

    def update_peer_shares(
        self, member_id: str, shares: list[calls.ServerShare]
    ) -> None:
        """Take a peer's calls in flight and limits.

        :param shares: as :meth:`shares` returned them at the peer.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._capacity.update_peer_shares(
                member_id, shares, now_ms, self._policies.values
            )
            self._update_all_slots()

    def shares(self) -> list[calls.ServerShare]:
        """Return calls in flight and limits, for the peers."""
        with self._lock:
            return [
                calls.ServerShare(
                    server_id,
                    len(state.in_flight),
                    min(state.slots, self._policies.values.limit_max),
                    state.is_ejected and state.is_own_ejection,
                )
                for pool in self._pools.values()
                for server_id, state in pool.servers.items()
            ]

    def submit(
        self, profile: calls.CallProfile
    ) -> tickets.Ticket | calls.Refusal:
        """Take in a call or refuse it at once.

        A refused call was not sent to any server.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            policies = self._policies
            pool = self._pools.get(profile.pool)
            if pool is None or not pool.has_server:
                return calls.Refusal(
                    results.ResultCode.NO_BACKEND_SERVER,
                    f"pool {profile.pool!r} has no backend server",
                    admission.NO_SERVER_RETRY_AFTER_MS,
                )
            self._dispatcher.check_pool_if_due(pool, now_ms)
            level = ordering.queue_level(
                policies.ordering, profile, policies.values
            )
            load = pool.load(profile, level, now_ms)
            refusal = admission.check(
                policies.admission, profile, load, now_ms, policies.values
            )
            if refusal is not None:
                rate = load.drain_per_ms
                return pool.retry_schedule.schedule(refusal, rate, now_ms)
            self._retry_budget.earn(policies.values)
            ticket = tickets.Ticket(
                self._dispatcher, pool, profile, now_ms, level
            )
            pool.add_customer_call(profile.customer)
            pool.queue.push(policies.ordering, ticket)
            self._dispatcher.dispatch(pool, now_ms)
            return ticket

    def retry(
        self, ticket: tickets.Ticket, reason: str
    ) -> tickets.Ticket | calls.Refusal:
        """Try an idempotent call again at another server.

        The refusals carry codes that do not say "not run", since the call
        was sent before.

        :param ticket: call that failed; it is ended if it was not.
        :param reason: what failed, for the message of a refusal.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._dispatcher.release(ticket, now_ms)
            refusal = self._check_retry(ticket, reason, now_ms)
            if refusal is not None:
                return refusal
            new_ticket = self._new_attempt(ticket, now_ms)
            new_ticket.attempt = ticket.attempt + 1
            new_ticket.queued_ms = ticket.queued_ms
            delay_ms = retries.delay_ms(
                new_ticket.attempt, self._generator, self._policies.values
            )
            new_ticket.not_before_ms = now_ms + delay_ms
            pool = ticket.pool
            pool.add_customer_call(ticket.profile.customer)
            heapq.heappush(
                pool.delayed_retries,
                (new_ticket.not_before_ms, next(self._sequence), new_ticket),
            )
            self._dispatcher.dispatch(pool, now_ms)
            return new_ticket

    def hedge_delay_ms(self, ticket: tickets.Ticket) -> float | None:
        """Return when to send a second request, or None for never.

        :param ticket: assigned call without a first token.
        """
        with self._lock:
            if not self._may_hedge(ticket):
                return None
            return _hedging.delay_ms(
                ticket, self._clock.now_ms(), self._policies.values
            )

    def hedge(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Send an idempotent call to a second server, if there is room.

        :return: an assigned ticket, or None without budget or a free slot.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if not self._may_hedge(ticket):
                return None
            pool = ticket.pool
            new_ticket = self._new_attempt(ticket, now_ms)
            new_ticket.attempt = ticket.attempt
            found = pool.eligible_servers(
                new_ticket.profile,
                new_ticket.avoided_ids,
                now_ms,
                self._policies.values,
            )
            found = [state for state in found if state is not ticket.server]
            if not found or not self._retry_budget.try_spend():
                return None
            pool.add_customer_call(new_ticket.profile.customer)
            chosen = _candidates.choose_server(
                new_ticket, found, now_ms, self._policies
            )
            self._dispatcher.assign(new_ticket, chosen, now_ms)
            return new_ticket

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return {
                "member_count": self._capacity.member_count,
                "retry_tokens": round(self._retry_budget.tokens, 2),
                "pools": {
                    name: pool.describe(now_ms)
                    for name, pool in self._pools.items()
                },
            }

    @property
    def _policies(self) -> _policies.Policies:
        return self._dispatcher.policies

    def _get_or_create_pool(self, name: str) -> _pool.Pool:
        if name not in self._pools:
            generator = random.Random(self._generator.random())
            self._pools[name] = _pool.Pool(name, generator)
        return self._pools[name]

    def _starting_limit(self, server: calls.Server) -> float:
        return self._capacity.starting_limit(server, self._policies)

    def _reset_limits(self, pool: _pool.Pool) -> None:
        """Forget what was learnt of how many calls the servers take."""
        for state in pool.servers.values():
            state.limit = self._starting_limit(state.server)

    def _refresh_pool(self, pool: _pool.Pool) -> None:
        """Take in that a pool's servers or the settings have changed."""
        now_ms = self._clock.now_ms()
        for state in pool.servers.values():
            self._dispatcher.update_slots(state, now_ms)
        self._dispatcher.check_pool(pool, now_ms)
        self._dispatcher.dispatch(pool, now_ms)

    def _update_all_slots(self) -> None:
        """Take in that other processes use more or less of the servers."""
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            for state in pool.servers.values():
                self._dispatcher.update_slots(state, now_ms)
            pool.update_totals()
            self._dispatcher.dispatch(pool, now_ms)

    def _new_attempt(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> tickets.Ticket:
        new_ticket = tickets.Ticket(
            self._dispatcher,
            ticket.pool,
            ticket.profile,
            now_ms,
            ticket.level,
        )
        new_ticket.avoided_ids = ticket.avoided_ids
        new_ticket.was_sent = ticket.was_sent
        if ticket.server is not None:
            new_ticket.avoided_ids |= {ticket.server.server.server_id}
        return new_ticket

    def _check_retry(
        self, ticket: tickets.Ticket, reason: str, now_ms: float
    ) -> calls.Refusal | None:
        code = results.ResultCode.BACKEND_ERROR
        if not ticket.profile.is_idempotent:
            return calls.Refusal(code, f"{reason}; the call is not idempotent")
        if ticket.attempt >= self._policies.values.retry_max:
            return calls.Refusal(
                code,
                f"{reason}; the call was tried {ticket.attempt + 1} times",
            )
        if now_ms >= self._dispatcher.latest_start_ms(ticket):
            return calls.Refusal(
                results.ResultCode.BACKEND_TIMEOUT,
                f"{reason}; a retry would end after the deadline",
            )
        if not self._retry_budget.try_spend():
            return calls.Refusal(
                code, f"{reason}; the retry budget of this process is used up"
            )
        return None

    def _may_hedge(self, ticket: tickets.Ticket) -> bool:
        return _hedging.may_hedge(
            ticket, self._retry_budget, self._policies.values
        )
