"""Settings of an edge process."""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_ingress import limits as ingress_limits
from balsamloom_quotas import limits as quota_limits
from balsamloom_workspaces import revocation


class EdgeSettings(NamedTuple):
    """Settings of an edge process.

    ``view_bound_ms`` limits the age of its view of the store's records,
    ``grace_ms`` the duration of its stop. ``revocation`` tells when it stops
    accepting keys, ``quota_bounds`` how far requests may exceed rate limits;
    without them there are no quotas. With ``orders_by_program_time``, engines
    are told to serve programs with little time left first;
    ``is_pacing_servers`` limits calls to servers that have just started or
    recovered.
    """

    name: str
    incarnation: str
    failure_domain: str
    caller_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    metrics_address: str
    threads: int
    is_first_start: bool
    view_bound_ms: float
    grace_ms: float
    lease_ms: int
    copies: int
    revocation: revocation.RevocationPolicy = revocation.LENIENT
    quota_bounds: quota_limits.Bounds | None = None
    ingress_limits: ingress_limits.ProcessLimits = ingress_limits.UNLIMITED
    orders_by_program_time: bool = False
    is_pacing_servers: bool = False
