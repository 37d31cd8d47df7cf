"""Connects the gateway's calls and members with the rate quotas."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    attempts,
    feed,
    fleet,
    holder_order,
    peers,
    responses,
    traffic,
)
from balsamloom_quotas import evidence, limits, service, timing


class Admissions:
    """Admits calls by the rate limits of their workspaces.

    :param quotas: quotas at this host, ``None`` if the settings have none.
    :param responder: sends refusals.
    """

    def __init__(
        self, quotas: service.Quotas | None, responder: responses.Responder
    ) -> None:
        self._quotas = quotas
        self._responder = responder

    def admit(self, call: responses.Call) -> service.Admitted | None:
        """Admit a call, or refuse it.

        A call that another member handed over was admitted there.

        :return: ``None`` if an error response was sent.
        """
        workspace = call.workspace
        if (
            self._quotas is None
            or workspace is None
            or workspace.rate_limit is None
            or call.request.is_handed_over
        ):
            return service.UNLIMITED
        match self._quotas.admit(workspace.name, call.metadata.program_id):
            case service.Refused(retry_after_ms):
                self._responder.send_over_quota(call, retry_after_ms)
                return None
            case admitted:
                return admitted

    def settle(
        self,
        admitted: service.Admitted,
        call: responses.Call,
        history: attempts.AttemptHistory,
    ) -> None:
        """Count the runs of a call that has ended."""
        if self._quotas is None or admitted is service.UNLIMITED:
            return
        if not call.request.is_passed_on:
            self._quotas.give_back(admitted)
            return
        last_run = 0 if history.is_failed else 1
        self._quotas.charge(admitted, history.possible_runs + last_run - 1)


class QuotaMembers:
    """What the quotas need of the other members and the configuration.

    :param view: registered members and the configuration.
    :param records: copy of the store's records.
    :param clients: clients of the other members.
    :param clock: time source that counts the time of a suspension.
    """

    def __init__(
        self,
        view: fleet.Fleet,
        records: feed.Feed,
        clients: peers.PeerClients,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = view
        self._feed = records
        self._clients = clients
        self._clock = clock

    def read_view(self) -> evidence.View:
        """Return the members and the granters among them."""
        now_ms = self._clock.now_ms()
        age_ms = self._feed.age_ms()
        read_ms = -math.inf if age_ms is None else now_ms - age_ms
        members = self._fleet.members()
        return evidence.View(
            frozenset(member.name for member in members),
            tuple(member.name for member in granters(members)),
            read_ms,
        )

    def read_limits(self) -> dict[str, limits.RateLimit]:
        """Return the rate limits of the workspaces that have one."""
        active = self._fleet.active_configuration
        if active is None or active.configuration.workspaces is None:
            return {}
        return {
            workspace.name: limits.RateLimit(*workspace.rate_limit)
            for workspace in active.configuration.workspaces
            if workspace.rate_limit is not None
        }

    def send(self, name: str, body: dict[str, Any], timeout_ms: float) -> Any:
        """Ask another member for tokens.

        :raises UnreachableError: it returned no usable answer.
        """
        for member in self._fleet.members():
            if member.name == name:
                try:
                    return self._clients.call(
                        member.peer_address, peers.QUOTA_PATH, body, timeout_ms
                    )
                except peers.PeerUnavailableError as error:
                    raise service.UnreachableError(repr(error)) from error
        raise service.UnreachableError(f"{name} is not registered")


def granters(members: Sequence[traffic.Member]) -> list[traffic.Member]:
    """Return the members that grant tokens.

    Those with the most processor capacity come first, from different failure
    domains where possible, so that one fault rarely affects all.

    :param members: registered members, sorted by name.
    """
    ordered = holder_order.sort(members)
    domains: set[str] = set()
    found: list[traffic.Member] = []
    for member in ordered:
        if member.failure_domain not in domains:
            domains.add(member.failure_domain)
            found.append(member)
    rest = [member for member in ordered if member not in found]
    return [*found, *rest][: timing.MAX_GRANTERS]


def build(
    name: str,
    run: str,
    bounds: limits.Bounds | None,
    members: QuotaMembers,
    clock: clocks.Clock,
) -> service.Quotas | None:
    """Build the quotas of this process, if its settings bound them."""
    if bounds is None:
        return None
    quotas = service.Quotas(name, run, bounds, clock, members.send)
    quotas.read_view = members.read_view
    quotas.read_limits = members.read_limits
    return quotas
