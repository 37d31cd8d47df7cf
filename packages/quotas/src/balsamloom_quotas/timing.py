"""Times that hosts and granters of one deployment must agree on."""

from __future__ import annotations

# Granters of each workspace, each with an equal part of its rate limit.
MAX_GRANTERS = 3
# A host may use a token for this time from when it asked for it.
LEASE_MS = 2_000.0
# What hosts told a granter counts as evidence for this time.
EVIDENCE_MS = 1_500.0
# A granter that had no evidence for longer counts as new. In a shorter time no
# other one can have had it throughout the hold, also not with evidence of
# hosts that went over to it late and came back early. A granter that stands
# still for less may take what hosts said before for news.
MAX_LAPSE_MS = 1_000.0
# A granter that is new grants nothing for this time. By then its predecessor
# has lost its evidence, and the last lease that it granted has ended.
HOLD_MS = LEASE_MS + EVIDENCE_MS + MAX_LAPSE_MS
# A lone member whose view is older counts as new. Views are read at such
# intervals.
MAX_VIEW_AGE_MS = 3_000.0
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
