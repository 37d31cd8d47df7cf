"""The policies of one process, chosen together by its settings."""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_policy import (
    admission,
    health,
    limits,
    ordering,
    prefixes,
    routing,
    settings,
)


class Policies(NamedTuple):
    """One policy for each kind of decision, and the settings in force."""

    values: settings.PolicySettings
    routing: routing.Routing
    ordering: ordering.Ordering
    admission: admission.Admission
    limits: limits.Limits
    health: health.Health
    affinity: prefixes.Affinity

    @property
    def has_limit(self) -> bool:
        """Return whether servers take a limited number of calls."""
        return not isinstance(self.limits, limits.NoLimit)


def select(values: settings.PolicySettings) -> Policies:
    """Return the policies that the settings name."""
    return Policies(
        values,
        routing.policy(values),
        ordering.policy(values),
        admission.policy(values),
        limits.policy(values),
        health.policy(values),
        prefixes.policy(values),
    )
