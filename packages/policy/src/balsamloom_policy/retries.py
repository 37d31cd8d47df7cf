"""Retry budget of the process and delays between retries."""

from __future__ import annotations

import random

from balsamloom_policy import settings


class RetryBudget:
    """Token bucket that calls fill and retries and hedges drain."""

    def __init__(self, values: settings.PolicySettings) -> None:
        self._tokens = values.retry_burst

    @property
    def tokens(self) -> float:
        """Return the number of retries and hedges that may be sent now."""
        return self._tokens

    def earn(self, values: settings.PolicySettings) -> None:
        """Add the share of a retry that one call earns."""
        self._tokens = min(
            self._tokens + values.retry_share, values.retry_burst
        )

    def try_spend(self) -> bool:
        """Take one token; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def delay_ms(
    attempt: int, generator: random.Random, values: settings.PolicySettings
) -> float:
    """Return the delay in ms before a retry: exponential, full jitter.

    :param attempt: 1 for the first retry.
    """
    return generator.uniform(0, values.retry_delay_ms * 2 ** (attempt - 1))
