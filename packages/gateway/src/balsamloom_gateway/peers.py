"""Calls between edge processes: JSON over HTTP."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterable
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_gateway import http_client

RESERVE_PATH = "/ledger/reserve"
SETTLE_PATH = "/ledger/settle"
NOTE_PATH = "/ledger/note"
CLAIM_PATH = "/ledger/claim"
FEED_PATH = "/feed"


class PeerUnavailableError(Exception):
    """Another member did not answer a call."""


class PeerClients:
    """Clients of the other members, by address.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._clients: dict[str, http_client.HttpClient] = {}

    def call(
        self, address: str, path: str, body: Any, timeout_ms: float
    ) -> dict[str, Any]:
        """Call a member and return its answer.

        :raises PeerUnavailableError: there is no usable answer in time.
        """
        client = self._client(address)
        encoded = json.dumps(body, separators=(",", ":")).encode()
        try:
            answer = client.call("POST", path, encoded, timeout_ms)
        except (
            http_client.NotSentError,
            http_client.UnansweredError,
        ) as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        if answer.status != 200:
            raise PeerUnavailableError(f"{address}: status {answer.status}")
        try:
            decoded = json.loads(answer.body)
        except ValueError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        if not isinstance(decoded, dict):
            raise PeerUnavailableError(f"{address}: the answer is no object")
        return decoded

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Close idle connections to members that are gone."""
        kept = set(addresses)
        with self._lock:
            gone = [
                self._clients.pop(address)
                for address in set(self._clients) - kept
            ]
        for client in gone:
            client.close()

    def _client(self, address: str) -> http_client.HttpClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = http_client.HttpClient(address, self._clock)
                self._clients[address] = client
            return client
