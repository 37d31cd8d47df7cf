"""The set of policies that the settings select."""

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
    """One policy per kind of decision, with the settings in force."""

    values: settings.PolicySettings
    routing: routing.Routing
    ordering: ordering.Ordering
    admission: admission.Admission
    limits: limits.Limits
    health: health.Health
    affinity: prefixes.Affinity

    @property
    def has_limit(self) -> bool:
        """Return whether servers have concurrency limits."""
        return not isinstance(self.limits, limits.NoLimit)


def select(values: settings.PolicySettings) -> Policies:
    """Return the policies that the settings name."""
    return Policies(
        values,
        routing.from_settings(values),
        ordering.from_settings(values),
        admission.from_settings(values),
        limits.from_settings(values),
        health.from_settings(values),
        prefixes.from_settings(values),
    )
