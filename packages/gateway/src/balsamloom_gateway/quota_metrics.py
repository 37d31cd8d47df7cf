"""Metrics of rate quotas, and their page for operators."""

from __future__ import annotations

import json
from collections.abc import Iterator

from prometheus_client import core, registry

from balsamloom_gateway import listeners
from balsamloom_quotas import service

# Workspaces with series of their own; the others share one.
MAX_WORKSPACES = 200
OTHER_WORKSPACES = "other"


class QuotaCollector(registry.Collector):
    """Counters of requests by workspace.

    Returned ones were admitted, but no server ran them.

    :param quotas: quotas at this host.
    """

    def __init__(self, quotas: service.Quotas) -> None:
        self._quotas = quotas

    def collect(self) -> Iterator[core.Metric]:
        """Yield the metrics."""
        requests = core.CounterMetricFamily(
            "balsamloom_quota_requests",
            "Requests of workspaces with a rate limit.",
            labels=["workspace", "outcome"],
        )
        tokens = core.GaugeMetricFamily(
            "balsamloom_quota_tokens",
            "Tokens of rate quotas that this process holds.",
            labels=["workspace"],
        )
        states = sorted(self._quotas.account_states().items())
        for name, state in states[:MAX_WORKSPACES]:
            requests.add_metric([name, "admitted"], state.admitted)
            requests.add_metric([name, "refused"], state.refused)
            requests.add_metric([name, "returned"], state.returned)
            tokens.add_metric([name], state.tokens)
        rest = [state for _, state in states[MAX_WORKSPACES:]]
        if rest:
            admitted = sum(state.admitted for state in rest)
            refused = sum(state.refused for state in rest)
            returned = sum(state.returned for state in rest)
            requests.add_metric([OTHER_WORKSPACES, "admitted"], admitted)
            requests.add_metric([OTHER_WORKSPACES, "refused"], refused)
            requests.add_metric([OTHER_WORKSPACES, "returned"], returned)
        yield requests
        yield tokens


def with_page(
    handler: listeners.Handler, quotas: service.Quotas | None
) -> listeners.Handler:
    """Return a handler that also serves the page of the quotas."""
    if quotas is None:
        return handler

    def handle(
        request: listeners.Request, response: listeners.Response
    ) -> None:
        if request.path != service.PAGE_PATH:
            handler(request, response)
            return
        body = json.dumps(quotas.states(), separators=(",", ":")).encode()
        response.send(200, ((b"Content-Type", b"application/json"),), body)

    return handle
