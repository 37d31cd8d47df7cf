"""Outlier detection: ejects slow backend servers and returns them."""

from __future__ import annotations

import dataclasses
import logging
import statistics
from collections.abc import Collection, Iterable

from balsamloom_core import events
from balsamloom_policy import _servers, settings

MIN_SAMPLES = 5
# A process with few calls at a server has too few samples, so it also ejects
# the server once this many peers ejected it on samples of their own.
PEERS_TO_EJECT = 2
TRIAL_BACKOFF_FACTOR = 1.5
GOOD_SAMPLES_TO_RETURN = 2


@dataclasses.dataclass(frozen=True)
class OutlierEjection:
    """Ejects servers slower than their typical speed and the pool."""


@dataclasses.dataclass(frozen=True)
class NoEjection:
    """Ejects no server; baseline for comparison."""


Health = OutlierEjection | NoEjection


def from_settings(values: settings.PolicySettings) -> Health:
    """Return the variant that the settings select."""
    return OutlierEjection() if values.health == "outlier" else NoEjection()


def check(
    health: Health,
    servers: Collection[_servers.ServerState],
    now_ms: float,
    values: settings.PolicySettings,
) -> None:
    """Update the slowness of a pool's servers and eject or return them.

    :param servers: servers of one pool.
    :param now_ms: time of the check.
    """
    match health:
        case NoEjection():
            return
        case OutlierEjection():
            _check_outliers(servers, now_ms, values)


def _check_outliers(
    servers: Collection[_servers.ServerState],
    now_ms: float,
    values: settings.PolicySettings,
) -> None:
    for server in servers:
        server.update_slowness(now_ms)
    _return_untested(servers, now_ms, values)
    active = [server for server in servers if not server.is_ejected]
    if not active:
        return
    median = max(statistics.median(server.slowness for server in active), 1.0)
    max_ejections = int(len(servers) * values.ejected_share + 1e-9)
    max_ejections -= len(servers) - len(active)
    own_suspects = {
        server
        for server in active
        if (
            server.sample_count >= MIN_SAMPLES
            or server.fault_count >= _servers.FAULTS_TO_EJECT
        )
        and server.slowness >= values.eject_ratio * median
    }
    peer_suspects = {
        server
        for server in active
        if _is_ejected_by_peers(server, now_ms, values)
    }
    suspects = sorted(
        own_suspects | peer_suspects,
        key=lambda server: (server not in own_suspects, -server.slowness),
    )
    for server in suspects[: max(max_ejections, 0)]:
        eject(server, now_ms, values)
        server.is_own_ejection = server in own_suspects


def _is_ejected_by_peers(
    server: _servers.ServerState,
    now_ms: float,
    values: settings.PolicySettings,
) -> bool:
    """Return whether enough peers have ejected a server.

    Reports that may predate the server's last return here are ignored.
    """
    since_ms = now_ms - server.returned_ms
    return (
        server.peer_ejections >= PEERS_TO_EJECT
        and since_ms > values.peer_valid_ms
    )


def _return_untested(
    servers: Iterable[_servers.ServerState],
    now_ms: float,
    values: settings.PolicySettings,
) -> None:
    for server in servers:
        if not server.is_ejected:
            continue
        # Trials need idempotent calls; without any, the ejection expires.
        since_ms = max(server.ejected_ms, server.trial_sent_ms)
        if now_ms - since_ms >= values.ejection_max_ms:
            return_server(server, now_ms)


def eject(
    server: _servers.ServerState,
    now_ms: float,
    values: settings.PolicySettings,
) -> None:
    """Exclude a server from routing until a trial call succeeds."""
    server.is_ejected = True
    server.ejected_ms = now_ms
    server.trial_interval_ms = values.trial_interval_ms
    server.next_trial_ms = now_ms + server.trial_interval_ms
    server.trial = None
    server.good_samples = 0
    events.log(
        events.Event.SERVER_EJECTED,
        logging.WARNING,
        server_id=server.server.server_id,
        slowness=round(server.slowness, 2),
    )


def return_server(server: _servers.ServerState, now_ms: float) -> None:
    """Include an ejected server in routing again."""
    server.is_ejected = False
    server.is_own_ejection = False
    server.returned_ms = now_ms
    server.trial = None
    server.reset_recent()
    events.log(
        events.Event.SERVER_RETURNED,
        server_id=server.server.server_id,
        ejected_for_ms=round(now_ms - server.ejected_ms),
    )


def is_trial_due(server: _servers.ServerState, now_ms: float) -> bool:
    """Return whether an ejected server may get one trial call now."""
    return (
        server.is_ejected
        and server.trial is None
        and now_ms >= server.next_trial_ms
    )


def start_trial(
    server: _servers.ServerState, call: _servers.InFlightCall, now_ms: float
) -> None:
    """Record the call that an ejected server gets as a trial."""
    server.trial = call
    server.trial_sent_ms = now_ms


def record_sample(
    server: _servers.ServerState,
    is_trial: bool,
    ratio: float,
    now_ms: float,
    values: settings.PolicySettings,
) -> bool:
    """Record a sample of an ejected server, which may end the ejection.

    Samples of calls that were in flight at the ejection count too. Two good
    samples in a row are required, since batching may hide one token gap and
    an idle slow server may send a first token in its typical time. One whole
    trial call is enough.

    :param ratio: sample divided by the server's typical latency.
    :return: whether the server returned.
    """
    if not server.is_ejected:
        return False
    if ratio > values.return_ratio:
        server.good_samples = 0
        server.is_own_ejection = True
        if is_trial:
            _postpone_trial(server, now_ms, values)
        return False
    is_whole_call = is_trial and not server.has_tokens
    server.good_samples += GOOD_SAMPLES_TO_RETURN if is_whole_call else 1
    if server.good_samples < GOOD_SAMPLES_TO_RETURN:
        return False
    return_server(server, now_ms)
    return True


def end_trial(
    server: _servers.ServerState,
    now_ms: float,
    values: settings.PolicySettings,
) -> None:
    """Schedule the next trial after one that showed no recovery."""
    if server.is_ejected:
        _postpone_trial(server, now_ms, values)


def _postpone_trial(
    server: _servers.ServerState,
    now_ms: float,
    values: settings.PolicySettings,
) -> None:
    server.trial = None
    server.trial_interval_ms = min(
        server.trial_interval_ms * TRIAL_BACKOFF_FACTOR,
        values.trial_interval_max_ms,
    )
    server.next_trial_ms = now_ms + server.trial_interval_ms
