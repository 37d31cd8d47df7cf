"""Limits of an edge process's listeners, from its configuration."""

from __future__ import annotations

from balsamloom_gateway import listeners, traffic
from balsamloom_ingress import limits as ingress_limits

# Limits of the caller listener until a configuration is known.
INITIAL_HEADER_BYTES = 16_384
INITIAL_BODY_BYTES = 4_194_304
INITIAL_HEADER_TIMEOUT_MS = 3_000.0
INITIAL_IDLE_TIMEOUT_MS = 15_000.0
PEER_IDLE_TIMEOUT_MS = 60_000.0
PEER_THREADS = 64
AUXILIARY_THREADS = 8
# Requests that other members hand over, as a share of the callers' threads.
HANDOVER_SHARE = 0.5
# Room for the fields that a hand-over adds.
HANDOVER_HEADER_BYTES = 1_024


def max_handovers(threads: int) -> int:
    """Return how many requests of other members are served at a time.

    :param threads: threads of the callers' listener.
    """
    return int(threads * HANDOVER_SHARE)


def for_callers(
    threads: int,
    found: traffic.IngressLimits | None = None,
    process_limits: ingress_limits.ProcessLimits = ingress_limits.UNLIMITED,
) -> listeners.Limits:
    """Return the limits of the callers' listener.

    :param found: limits of the configuration, if one is known.
    :param process_limits: limits of the whole process.
    """
    if found is None:
        found = traffic.IngressLimits(
            INITIAL_HEADER_BYTES,
            INITIAL_BODY_BYTES,
            INITIAL_HEADER_TIMEOUT_MS,
            INITIAL_IDLE_TIMEOUT_MS,
        )
    return listeners.Limits(
        threads,
        found.header_bytes,
        found.body_bytes,
        found.header_timeout_ms,
        found.idle_timeout_ms,
        process_limits.connections(ingress_limits.CALLERS_SHARE),
    )


def for_members(
    threads: int,
    found: traffic.IngressLimits | None = None,
    process_limits: ingress_limits.ProcessLimits = ingress_limits.UNLIMITED,
) -> listeners.Limits:
    """Return the limits of the members' listener.

    It also takes callers' requests that other members hand over.
    """
    initial, current = for_callers(threads), for_callers(threads, found)
    header_bytes = max(initial.header_bytes, current.header_bytes)
    return listeners.Limits(
        PEER_THREADS + max_handovers(threads),
        header_bytes + HANDOVER_HEADER_BYTES,
        max(initial.body_bytes, current.body_bytes),
        INITIAL_HEADER_TIMEOUT_MS,
        PEER_IDLE_TIMEOUT_MS,
        process_limits.connections(ingress_limits.MEMBERS_SHARE),
    )


def for_others(
    threads: int,
    process_limits: ingress_limits.ProcessLimits = ingress_limits.UNLIMITED,
) -> listeners.Limits:
    """Return the limits of the readiness, lookup and metrics listeners."""
    return for_callers(threads)._replace(
        threads=AUXILIARY_THREADS,
        connections=process_limits.connections(ingress_limits.OTHERS_SHARE),
    )
