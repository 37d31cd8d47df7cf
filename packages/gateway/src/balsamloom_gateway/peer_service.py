"""HTTP service for calls from other members."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from balsamloom_gateway import (
    budget_ledger,
    budgets,
    crash_notices,
    crash_reports,
    feed,
    heartbeats,
    json_parsing,
    listeners,
    peer_calls,
    peer_messages,
    peers,
    send_permits,
    usage_messages,
    version_history,
)
from balsamloom_quotas import service

# Limits how long a call occupies a thread, whatever it asks for.
MAX_FEED_WAIT_MS = 10_000.0


class PeerService:
    """Serves budgets, the store's records and heartbeats to other members.

    :param token_budgets: budgets and plans of this member's programs.
    :param book: ledger accounts that this member holds.
    :param record_feed: copy of the store's records.
    :param member_heartbeats: answers heartbeats.
    :param permits: permits to send to servers that limit their rate.
    :param crashes: crashes of servers under requests.
    :param history: software versions of the services.
    :param quotas: rate quotas, if the settings have any.
    """

    def __init__(
        self,
        token_budgets: budgets.Budgets,
        book: budget_ledger.BudgetLedger,
        record_feed: feed.Feed,
        member_heartbeats: heartbeats.Heartbeats,
        permits: send_permits.SendPermits,
        crashes: crash_reports.CrashReports,
        history: version_history.VersionHistory,
        quotas: service.Quotas | None = None,
    ) -> None:
        self._budgets = token_budgets
        self._book = book
        self._feed = record_feed
        self._heartbeats = member_heartbeats
        self._permits = permits
        self._crashes = crashes
        self._history = history
        self.calls: dict[str, Callable[[dict[str, Any]], Any]] = {
            peers.RESERVE_PATH: self._reserve,
            peers.SETTLE_PATH: self._settle,
            peers.SETTLE_LOST_PATH: self._settle_lost,
            peers.WITHDRAW_PATH: self._withdraw,
            peers.LIST_ENDED_PATH: self._list_ended,
            peers.MERGE_STATES_PATH: self._merge_usages,
            peers.READ_STATE_PATH: self._read_usage,
            peers.PERMIT_PATH: self._grant_permit,
            peers.CRASH_PATH: self._add_crashes,
            peers.VERSIONS_PATH: self._read_versions,
            peers.FEED_PATH: self._read_feed,
            peers.HEARTBEAT_PATH: self._answer_heartbeat,
        }
        if quotas is not None:
            self.calls[peers.QUOTA_PATH] = quotas.answer
        self._handler = peer_calls.PeerCallHandler(
            {path: _json_call(call) for path, call in self.calls.items()},
            peers.JSON_TYPE,
        )

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Handle one call."""
        self._handler.handle(request, response)

    def _reserve(self, body: dict[str, Any]) -> dict[str, Any]:
        reservation = peer_messages.decode_reservation(body)
        reply = self._budgets.reserve_local(reservation)
        return peer_messages.encode_reply(reply)

    def _settle(self, body: dict[str, Any]) -> dict[str, Any]:
        self._budgets.settle_local(peer_messages.decode_settlement(body))
        return {}

    def _settle_lost(self, body: dict[str, Any]) -> dict[str, Any]:
        self._book.settle_lost(
            str(body["program_id"]),
            int(body["budget_tokens"]),
            int(body["used_tokens"]),
            str(body["reservation_id"]),
        )
        return {}

    def _withdraw(self, body: dict[str, Any]) -> dict[str, Any]:
        self._budgets.withdraw_local(peer_messages.decode_withdrawal(body))
        return {}

    def _list_ended(self, body: dict[str, Any]) -> dict[str, Any]:
        ended = self._budgets.unsettled_turns(str(body["program_id"]))
        return peer_messages.encode_settlements(ended)

    def _merge_usages(self, body: dict[str, Any]) -> dict[str, Any]:
        message = usage_messages.decode(body)
        self._book.merge_usages(*message)
        return {}

    def _read_usage(self, body: dict[str, Any]) -> dict[str, Any]:
        answer = self._book.known_usage(str(body["program_id"]))
        return usage_messages.encode_answer(answer)

    def _grant_permit(self, body: dict[str, Any]) -> dict[str, Any]:
        request = send_permits.decode_request(body)
        return self._permits.grant(request)._asdict()

    def _add_crashes(self, body: dict[str, Any]) -> dict[str, Any]:
        self._crashes.add(crash_notices.decode(body))
        return {}

    def _read_versions(self, body: dict[str, Any]) -> dict[str, Any]:
        versions = self._history.possible(str(body["service"]))
        return {"versions": sorted(versions)}

    def _read_feed(self, body: dict[str, Any]) -> feed.FeedAnswer:
        # Readers of former releases do not wait.
        query = feed.FeedQuery(
            str(body["epoch"]),
            int(body["cursor"]),
            int(body["revision"]),
            int(body.get("reads", 0)),
            min(float(body.get("wait_ms", 0.0)), MAX_FEED_WAIT_MS),
        )
        found = self._feed.answer(query)
        if found is None:
            raise peer_calls.UnavailableError("no records have been read yet")
        return found

    def _answer_heartbeat(self, body: dict[str, Any]) -> dict[str, Any]:
        return self._heartbeats.answer(body)


def _json_call(
    call: Callable[[dict[str, Any]], Any],
) -> Callable[[bytes], bytes]:
    def run(body: bytes) -> bytes:
        result = call(json_parsing.parse(body))
        return json.dumps(result, separators=(",", ":")).encode()

    return run
