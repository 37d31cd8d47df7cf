"""The platform's host list, which is updated with a delay.

:class:`HostList` is the interface, :class:`HttpHostList` the HTTP client.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

import urllib3

from balsamloom_core import errors, results

DEFAULT_TIMEOUT_MS = 2_000
MS_PER_S = 1000


class HostListUnavailable(errors.BalsamloomError):
    """The host list could not be read.

    :param message: cause.
    """

    def __init__(self, message: str) -> None:
        super().__init__(results.ResultCode.BACKEND_ERROR, message)


class Host(NamedTuple):
    """Live or leaving host; ``kind`` is engine, tools or entry."""

    host_id: str
    kind: str
    address: str
    failure_domain: str
    is_leaving: bool
    incarnation: int
    pool: str


class HostList(Protocol):
    """Interface of the host list."""

    def hosts(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> list[Host]:
        """Return all hosts."""


class HttpHostList:
    """HTTP client of the host list.

    :param address: ``host:port``.
    :param pool: connection pool shared by all clients of the process.
    """

    def __init__(self, address: str, pool: urllib3.PoolManager) -> None:
        self._url = f"http://{address}/hosts"
        self._pool = pool

    def hosts(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> list[Host]:
        """Return all hosts.

        :param timeout_ms: maximum wait for the response.
        :raises HostListUnavailable: if there is no valid response.
        """
        try:
            response = self._pool.request(
                "GET",
                self._url,
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_S),
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise HostListUnavailable(str(error)) from error
        if response.status != 200:
            raise HostListUnavailable(
                f"host list returned status {response.status}"
            )
        try:
            return [Host(**entry) for entry in response.json()["hosts"]]
        except (ValueError, KeyError, TypeError) as error:
            raise HostListUnavailable(
                f"invalid host list: {error!r}"
            ) from error
