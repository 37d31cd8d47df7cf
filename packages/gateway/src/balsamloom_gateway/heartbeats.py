"""Heartbeats between edge processes."""

from __future__ import annotations

import concurrent.futures
import logging
import threading
from collections.abc import Callable
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    callbacks,
    fleet,
    peer_liveness,
    peers,
    traffic,
)

INTERVAL_MS = 300.0
# An answer takes a few ms. A member that needs longer than this serves its
# callers late too.
TIMEOUT_MS = 250.0


class Heartbeats:
    """Sends heartbeats to some members and answers those of others.

    :param name: name of this member.
    :param liveness: what the heartbeats show.
    :param view: registered members.
    :param clients: clients of the other members.
    :param clock: time source.
    :param is_ready: returns whether this process accepts callers' requests.
    """

    def __init__(
        self,
        name: str,
        liveness: peer_liveness.PeerLiveness,
        view: fleet.Fleet,
        clients: peers.PeerClients,
        clock: clocks.Clock,
        is_ready: Callable[[], bool],
    ) -> None:
        self._name = name
        self._liveness = liveness
        self._fleet = view
        self._clients = clients
        self._clock = clock
        self._is_ready = is_ready
        # Returns whether this process reaches backend servers.
        self.has_path: Callable[[], bool] = callbacks.agree
        # Called with a member's name and whether it reaches servers.
        self.on_path_stated: Callable[[str, bool], None] = callbacks.ignore
        self._stopped = threading.Event()
        # Members whose last answer could not be used.
        self._unusable: set[str] = set()
        self._senders = concurrent.futures.ThreadPoolExecutor(
            2 * peer_liveness.MAX_WATCHED_MEMBERS, "heartbeat"
        )

    def run(self) -> None:
        """Send heartbeats until :meth:`stop` is called."""
        while not self._stopped.is_set():
            started_ms = self._clock.now_ms()
            self.send_round()
            spent_ms = self._clock.now_ms() - started_ms
            self._clock.wait(self._stopped, max(INTERVAL_MS - spent_ms, 1.0))
        self._senders.shutdown(wait=False)

    def stop(self) -> None:
        """Make :meth:`run` return after the current round."""
        self._stopped.set()

    def send_round(self) -> None:
        """Send a heartbeat to each watched member and await the answers."""
        watched = peer_liveness.watched_members(
            self._name, self._fleet.members(), self._liveness.silent()
        )
        self._liveness.watch(member.name for member in watched)
        body = {
            "reports": self._liveness.reports(),
            "sender": self._name,
            "has_path": self.has_path(),
        }
        sent = [
            self._senders.submit(self._send, member, body)
            for member in watched
        ]
        for future in sent:
            future.result()

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a heartbeat.

        :raises ValueError: the body is malformed; also ``KeyError`` and
            ``TypeError``.
        """
        self._liveness.merge(_decode_reports(body))
        self._record_path(body.get("sender"), body)
        return {
            "is_ready": self._is_ready(),
            "has_path": self.has_path(),
            "reports": self._liveness.reports(),
        }

    def _send(self, member: traffic.Member, body: dict[str, Any]) -> None:
        try:
            answer = self._clients.call(
                member.peer_address, peers.HEARTBEAT_PATH, body, TIMEOUT_MS
            )
            is_ready = bool(answer["is_ready"])
            self._liveness.merge(_decode_reports(answer))
            self._record_path(member.name, answer)
        except (
            peers.PeerUnreachableError,
            peers.PeerTimeoutError,
            peers.PeerConnectionLostError,
        ) as error:
            if self._liveness.record_miss(member.name):
                _log_change(member.name, "silent", str(error))
            return
        except (
            peers.PeerUnavailableError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            # A release without heartbeats answers with an error status, and
            # its callers are served.
            self._log_unusable(member.name, repr(error))
            is_ready = True
        else:
            self._unusable.discard(member.name)
        if self._liveness.record_answer(member.name, is_ready):
            state = "available" if is_ready else "not ready"
            _log_change(member.name, state, "")

    def _record_path(self, member: Any, message: dict[str, Any]) -> None:
        """Record whether a member reaches servers, if it says so.

        Processes of the release before do not.
        """
        if isinstance(member, str) and "has_path" in message:
            self.on_path_stated(member, bool(message["has_path"]))

    def _log_unusable(self, member: str, reason: str) -> None:
        """Log the first of several unusable answers of a member."""
        if member in self._unusable:
            return
        self._unusable.add(member)
        events.log(
            events.Event.PEER_CALL_FAILED,
            logging.WARNING,
            member=member,
            call="heartbeat",
            reason=reason,
        )


def _decode_reports(body: dict[str, Any]) -> list[peer_liveness.Report]:
    return [
        peer_liveness.Report(str(member), str(reporter), float(age_ms))
        for member, reporter, age_ms in body["reports"]
    ]


def _log_change(member: str, state: str, reason: str) -> None:
    level = logging.INFO if state == "available" else logging.WARNING
    events.log(
        events.Event.MEMBER_LIVENESS_CHANGED,
        level,
        member=member,
        state=state,
        reason=reason,
    )
