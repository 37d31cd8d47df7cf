"""Tool services and plain services: one JSON request, one JSON answer.

:class:`ToolRunner` is the interface; :class:`ToolService` speaks HTTP.
"""

from __future__ import annotations

import json
from typing import Any, Protocol

import urllib3

from balsamloom_core import outcomes, results
from balsamloom_platform import http_errors, response_limits

MS_PER_S = 1000

# A service behind a gateway may still be running after these answers.
_UNKNOWN_OUTCOME_STATUSES = (502, 503, 504)


class ToolRunner(Protocol):
    """What balsamloom needs of a tool service."""

    def call(
        self,
        service: str,
        operation: str,
        body: dict[str, Any],
        key: str,
        timeout_ms: int,
        program_id: str = "",
    ) -> outcomes.Outcome:
        """Run one operation, once."""


class ToolService:
    """HTTP client of one tool service.

    Each call uses a new connection. A kept connection that the service
    closes while the request is on its way would make the outcome unknown,
    and an unknown outcome holds up the program.

    :param address: ``host:port``.
    :param pool: connection pool whose connection options are used.
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
        """Run one operation, once.

        :param service: name of the service.
        :param operation: name of the operation.
        :param body: JSON body.
        :param key: idempotency key, for the service's own records.
        :param timeout_ms: longest wait for the answer.
        :param program_id: program of the call, for the service's records.
        :return: ``NotRun`` only if no byte was sent or the service says so.
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
            return outcomes.Unknown(
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
    answer = _parse_object(response.data)
    message = f"{service} answered {response.status}"
    if response.status == 200:
        if answer is None:
            return outcomes.Unknown(f"damaged answer from {service}")
        return outcomes.Completed(answer)
    if response.status == 503 and answer and answer.get("not_run") is True:
        retry_after_ms = answer.get("retry_after_ms")
        return outcomes.NotRun(
            results.ResultCode.OVERLOADED,
            message,
            retry_after_ms if isinstance(retry_after_ms, int) else None,
        )
    if response.status in _UNKNOWN_OUTCOME_STATUSES:
        return outcomes.Unknown(message)
    return outcomes.Failed(results.ResultCode.BACKEND_ERROR, message)


def _parse_object(raw: bytes) -> dict[str, Any] | None:
    try:
        answer = json.loads(raw)
    except ValueError:
        return None
    return answer if isinstance(answer, dict) else None
