"""Tool services and plain services: one JSON request, one JSON answer."""

from __future__ import annotations

from typing import Any

import urllib3

from balsamloom_core import outcomes, results


class ToolService:
    """Client of one tool service.

    :param address: ``host:port``.
    :param pool: connection pool shared by all clients of the process.
    """

    def __init__(self, address: str, pool: urllib3.PoolManager) -> None:
        self._base = f"http://{address}"
        self._pool = pool

    def call(
        self,
        service: str,
        operation: str,
        body: dict[str, Any],
        key: str,
        timeout_ms: int,
    ) -> outcomes.Outcome:
        """Run one operation, once.

        :param service: name of the service.
        :param operation: name of the operation.
        :param body: JSON body.
        :param key: idempotency key, for the service's own records.
        :param timeout_ms: longest wait for the answer.
        :return: ``NotRun`` only if no byte was sent.
        """
        url = f"{self._base}/{service}/{operation}"
        timeout = urllib3.Timeout(total=timeout_ms / 1000)
        try:
            response = self._pool.request(
                "POST",
                url,
                json=body,
                headers={"Idempotency-Key": key},
                timeout=timeout,
                retries=False,
            )
            answer = response.json() if response.status == 200 else {}
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return outcomes.NotRun(results.ResultCode.NOT_SENT, str(error))
        except urllib3.exceptions.HTTPError as error:
            return outcomes.Unknown(f"no answer from {service}: {error}")
        except ValueError as error:
            return outcomes.Unknown(f"damaged answer from {service}: {error}")
        if response.status != 200:
            message = f"{service} answered {response.status}"
            return outcomes.Failed(results.ResultCode.BACKEND_ERROR, message)
        return outcomes.Completed(answer)
