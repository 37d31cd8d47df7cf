"""Tool services and plain services, called with one JSON request.

:class:`ToolRunner` is the interface, :class:`ToolService` the HTTP client.
"""

from __future__ import annotations

import json
from typing import Any, Protocol

import urllib3

from balsamloom_core import outcomes, results
from balsamloom_platform import http_errors, response_limits

MS_PER_S = 1000

# A gateway may send these while the service behind it is still running.
_UNKNOWN_OUTCOME_STATUSES = (502, 503, 504)


class ToolRunner(Protocol):
    """Interface of a tool service."""

    def call(
        self,
        service: str,
        operation: str,
        body: dict[str, Any],
        key: str,
        timeout_ms: int,
        program_id: str = "",
    ) -> outcomes.Outcome:
        """Run an operation, without a retry."""


class ToolService:
    """HTTP client of one tool service.

    Each call uses a new connection. If the service closed an idle connection
    just as a request was sent on it, the outcome would be unknown, which
    blocks the program.

    :param address: ``host:port``.
    :param pool: pool whose socket options and source address are used.
    """

    def __init__(self, address: str, pool: urllib3.PoolManager) -> None:
        self._base = f"http://{address}"
        self._options = {
            name: value
            for name, value in pool.connection_pool_kw.items()
            if name in ("source_address", "socket_options")
        }

    def call(
        self,
        service: str,
        operation: str,
        body: dict[str, Any],
        key: str,
        timeout_ms: int,
        program_id: str = "",
    ) -> outcomes.Outcome:
        """Run an operation, without a retry.

        :param service: name of the service.
        :param operation: name of the operation.
        :param body: JSON body.
        :param key: idempotency key, sent to the service.
        :param timeout_ms: maximum wait for the response.
        :param program_id: program of the call, sent to the service.
        :return: outcome; ``NotRun`` only if no byte was sent or the service
            reports it.
        """
        headers = {"Idempotency-Key": key, "Connection": "close"}
        if program_id:
            headers["X-Program-Id"] = program_id
        try:
            response = self._send(
                f"/{service}/{operation}", body, headers, timeout_ms
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return outcomes.NotRun(
                results.ResultCode.NOT_SENT, http_errors.describe(error)
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return outcomes.UnknownOutcome(
                f"no answer from {service}: {http_errors.describe(error)}"
            )
        return _outcome(service, response)

    def _send(
        self,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
        timeout_ms: int,
    ) -> urllib3.BaseHTTPResponse:
        with response_limits.limited_pool(1, 1, **self._options) as pool:
            return pool.request(
                "POST",
                self._base + path,
                json=body,
                headers=headers,
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_S),
                retries=False,
            )


def _outcome(
    service: str, response: urllib3.BaseHTTPResponse
) -> outcomes.Outcome:
    payload = _parse_object(response.data)
    message = f"{service} returned status {response.status}"
    if response.status == 200:
        if payload is None:
            return outcomes.UnknownOutcome(f"invalid response from {service}")
        return outcomes.Completed(payload)
    if response.status == 503 and payload and payload.get("not_run") is True:
        retry_after_ms = payload.get("retry_after_ms")
        return outcomes.NotRun(
            results.ResultCode.OVERLOADED,
            message,
            retry_after_ms if isinstance(retry_after_ms, int) else None,
        )
    if response.status in _UNKNOWN_OUTCOME_STATUSES:
        return outcomes.UnknownOutcome(message)
    return outcomes.Failed(results.ResultCode.BACKEND_ERROR, message)


def _parse_object(raw: bytes) -> dict[str, Any] | None:
    try:
        payload = json.loads(raw)
    except ValueError:
        return None
    return payload if isinstance(payload, dict) else None
