"""HTTP client for calls between balsamloom processes."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterable
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_gateway import http_client, json_parsing

RESERVE_PATH = "/ledger/reserve"
SETTLE_PATH = "/ledger/settle"
SETTLE_LOST_PATH = "/ledger/settle/lost"
WITHDRAW_PATH = "/ledger/withdraw"
LIST_ENDED_PATH = "/ledger/ended"
MERGE_STATES_PATH = "/ledger/note"
READ_STATE_PATH = "/ledger/claim"
PERMIT_PATH = "/servers/permit"
CRASH_PATH = "/servers/crash"
QUOTA_PATH = "/quotas/lease"
VERSIONS_PATH = "/servers/versions"
# The format has its own version. Processes of releases with different versions
# read from the store instead of from each other.
FEED_PATH = "/feed/2"
HEARTBEAT_PATH = "/members/heartbeat"
KEEP_TURN_PATH = "/turns/keep"
KEEP_SETTLED_TURN_PATH = "/turns/keep/2"
CHAIN_PATH = "/turns/chain"
LIST_TURNS_PATH = "/turns/list"
READ_TURNS_PATH = "/turns/read/2"
# Answers up to 100 turns of any size. Removed once no release calls it.
FORMER_READ_TURNS_PATH = "/turns/read"
COPY_TURNS_PATH = "/turns/copy"
WRITE_USAGE_PATH = "/usage/write"
READ_USAGE_PATH = "/usage/read"
LIST_USAGE_PATH = "/usage/list"
CLAIM_PATH = "/disks/claim"
RECORD_STREAMS_PATH = "/streams/record"
FIND_STREAM_PATH = "/streams/find"
JSON_TYPE = b"application/json"
MESSAGE_PACK_TYPE = b"application/msgpack"


class PeerUnavailableError(Exception):
    """Another member returned no usable response to a call."""


class PeerUnreachableError(PeerUnavailableError):
    """The call could not be sent to another member."""


class PeerTimeoutError(PeerUnavailableError):
    """Another member did not respond to a call in time."""


class PeerConnectionLostError(PeerUnavailableError):
    """The connection was lost before the response was complete."""


class PeerPathUnknownError(PeerUnavailableError):
    """Another member, of a former release, does not know this call."""


class PeerClients:
    """HTTP clients of the other members, by address.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._clients: dict[str, http_client.HttpClient] = {}

    def call(
        self, address: str, path: str, body: Any, timeout_ms: float
    ) -> dict[str, Any]:
        """Call a member and return its response.

        :raises PeerUnavailableError: no usable response arrived in time.
        """
        encoded = json.dumps(body, separators=(",", ":")).encode()
        response = self.post(address, path, encoded, timeout_ms, JSON_TYPE)
        try:
            return json_parsing.parse_object(response)
        except ValueError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error

    def post(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout_ms: float,
        content_type: bytes = MESSAGE_PACK_TYPE,
    ) -> bytes:
        """Send a POST request and return the response's body.

        :raises PeerUnreachableError: not sent, so the call has no effect.
        :raises PeerTimeoutError: no response arrived in time.
        :raises PeerConnectionLostError: the call may have had an effect.
        :raises PeerPathUnknownError: the member does not know the call.
        :raises PeerUnavailableError: the status is not 200.
        """
        client = self._client(address)
        try:
            response = client.call(
                "POST", path, body, timeout_ms, content_type
            )
        except http_client.ResponseTimeoutError as error:
            raise PeerTimeoutError(f"{address}: {error}") from error
        except http_client.NotSentError as error:
            raise PeerUnreachableError(f"{address}: {error}") from error
        except http_client.NoResponseError as error:
            raise PeerConnectionLostError(f"{address}: {error}") from error
        if response.status == 404:
            raise PeerPathUnknownError(f"{address}: no call {path}")
        if response.status != 200:
            raise PeerUnavailableError(f"{address}: status {response.status}")
        return response.body

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Close idle connections to addresses not listed."""
        kept = set(addresses)
        with self._lock:
            removed = [
                self._clients.pop(address)
                for address in set(self._clients) - kept
            ]
        for client in removed:
            client.close()

    def _client(self, address: str) -> http_client.HttpClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = http_client.HttpClient(address, self._clock)
                self._clients[address] = client
            return client
