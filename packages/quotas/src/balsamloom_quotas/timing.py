"""Times that hosts and granters of one deployment must agree on."""

from __future__ import annotations

# Granters of each workspace, each with an equal part of its rate limit.
MAX_GRANTERS = 3
# A host may use a token for this time from when it asked for it.
LEASE_MS = 2_000.0
# A granter goes by what it heard from hosts, or read of the members, in this
# time.
EVIDENCE_MS = 1_500.0
# A granter that is new grants nothing for this time. By then its predecessor
# has lost its evidence, and the last lease that it granted has ended.
HOLD_MS = LEASE_MS + EVIDENCE_MS
# A granter without evidence for longer counts as new. No other one can have
# begun to grant before.
MAX_LAPSE_MS = LEASE_MS - EVIDENCE_MS
# Members that were read within this time are taken for the registered ones.
# A suspension of less than a lapse may add to it unnoticed.
CURRENT_MS = EVIDENCE_MS - MAX_LAPSE_MS
# Interval at which a host asks each granter.
MIN_INTERVAL_MS = 500.0
# Leases outlast two intervals, and evidence one.
MAX_INTERVAL_MS = 1_000.0
# Messages that a granter shall get from all hosts together.
MAX_ROUNDS_PER_S = 300.0


def interval_ms(hosts: int) -> float:
    """Return the interval at which a host asks each granter.

    It answers the load of a granter, which grows with the number of hosts.
    """
    wanted_ms = hosts / MAX_ROUNDS_PER_S * 1000.0
    return min(max(wanted_ms, MIN_INTERVAL_MS), MAX_INTERVAL_MS)
