"""Status of the members of the partition map."""

from __future__ import annotations

import concurrent.futures
import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import urllib3

from balsamloom_core import clock as clocks
from balsamloom_platform import http_errors
from balsamloom_state import partitions

STATUS_TIMEOUT_MS = 1_000
POLL_INTERVAL_MS = 200
PARALLEL_REQUESTS = 16


class MemberStatus(NamedTuple):
    """Answer of one member; the fields are absent if it gave none."""

    member_id: str
    address: str
    failure_domain: str
    is_leaving: bool
    configuration_revision: int | None
    map_version: int | None
    problem: str

    def has_revision(self, revision: int) -> bool:
        """Return whether a revision or a later one is in force here."""
        found = self.configuration_revision
        return found is not None and found >= revision


class StatusReader:
    """Asks members for ``GET /v1/status``.

    :param clock: time for polling.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._pool = urllib3.PoolManager(
            num_pools=2 * PARALLEL_REQUESTS, retries=False
        )

    def read(self, members: Sequence[partitions.Member]) -> list[MemberStatus]:
        """Return one status for each member, in the same order.

        :param members: members to ask.
        """
        with concurrent.futures.ThreadPoolExecutor(
            PARALLEL_REQUESTS
        ) as executor:
            return list(executor.map(self._status, members))

    def _status(self, member: partitions.Member) -> MemberStatus:
        base = MemberStatus(
            member.member_id,
            member.http_address,
            member.failure_domain,
            member.is_leaving,
            None,
            None,
            "",
        )
        try:
            body = fetch(self._pool, member.http_address, "/v1/status")
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return base._replace(problem=http_errors.describe(error))
        return base._replace(
            member_id=member.member_id or body.get("member_id", ""),
            is_leaving=bool(body.get("is_leaving", member.is_leaving)),
            configuration_revision=body.get("configuration_revision"),
            map_version=body.get("map_version"),
            problem=_other_member(member, body),
        )


def fetch(pool: urllib3.PoolManager, address: str, path: str) -> Any:
    """Read JSON from an entry process.

    :param pool: connections.
    :param address: ``host:port``.
    :param path: path to read.
    :raises ValueError: if the answer is an error or no JSON.
    :raises urllib3.exceptions.HTTPError: if there is no answer.
    """
    timeout = urllib3.Timeout(total=STATUS_TIMEOUT_MS / clocks.MS_PER_S)
    response = pool.request(
        "GET", f"http://{address}{path}", timeout=timeout, retries=False
    )
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return json.loads(response.data)


def _other_member(member: partitions.Member, body: dict[str, Any]) -> str:
    found = body.get("member_id")
    if found == member.member_id or not member.member_id:
        return ""
    return f"another member answers here: {found}"
