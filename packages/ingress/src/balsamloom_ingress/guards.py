"""What the listeners of one process share: its limits and its account."""

from __future__ import annotations

import sys

from balsamloom_core import clock as clocks
from balsamloom_ingress import accounts, limits, refusals


class Guard:
    """Limits, memory account and refusals of one process.

    :param process_limits: limits of the process.
    :param clock: time source.
    """

    def __init__(
        self, process_limits: limits.ProcessLimits, clock: clocks.Clock
    ) -> None:
        capacity = process_limits.account_bytes
        self.limits = process_limits
        self.account = accounts.MemoryAccount(
            sys.maxsize if capacity is None else capacity, clock
        )
        self.refusals = refusals.Refusals(clock)
