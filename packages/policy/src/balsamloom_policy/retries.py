"""One budget of retries and hedges for the whole process."""

from __future__ import annotations

import random

from balsamloom_policy import settings


class RetryBudget:
    """Tokens earned by calls and spent by retries and hedges."""

    def __init__(self, values: settings.PolicySettings) -> None:
        self._tokens = values.retry_burst

    @property
    def tokens(self) -> float:
        """Return the retries and hedges that may be sent now."""
        return self._tokens

    def earn(self, values: settings.PolicySettings) -> None:
        """Note one call."""
        self._tokens = min(
            self._tokens + values.retry_share, values.retry_burst
        )

    def try_spend(self) -> bool:
        """Take one token; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def delay_ms(
    attempt: int, generator: random.Random, values: settings.PolicySettings
) -> float:
    """Return the jittered delay before a retry (full jitter).

    :param attempt: 1 for the first retry.
    """
    return generator.uniform(0, values.retry_delay_ms * 2 ** (attempt - 1))
