"""Handler of calls from other members."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from balsamloom_gateway import (
    budget_ledger,
    budgets,
    feed,
    ledger,
    listeners,
    peer_calls,
    peer_messages,
    peers,
)


class PeerService:
    """Serves budgets and the store's records to other members.

    :param accounts: budgets and plans of the programs held here.
    :param book: accounts that this member holds.
    :param records: copy of the store's records.
    """

    def __init__(
        self,
        accounts: budgets.Budgets,
        book: budget_ledger.BudgetLedger,
        records: feed.Feed,
    ) -> None:
        self._budgets = accounts
        self._book = book
        self._feed = records
        self.calls: dict[str, Callable[[dict[str, Any]], Any]] = {
            peers.RESERVE_PATH: self._reserve,
            peers.SETTLE_PATH: self._settle,
            peers.WITHDRAW_PATH: self._withdraw,
            peers.NOTE_PATH: self._note_claims,
            peers.CLAIM_PATH: self._tell_claim,
            peers.FEED_PATH: self._read_feed,
        }
        self._handler = peer_calls.PeerCalls(
            {path: _as_json(call) for path, call in self.calls.items()},
            peers.JSON_TYPE,
        )

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one call."""
        self._handler.handle(request, reply)

    def _reserve(self, body: dict[str, Any]) -> dict[str, Any]:
        reservation = peer_messages.decode_reservation(body)
        answer = self._budgets.reserve_local(reservation)
        return peer_messages.encode_reservation_reply(answer)

    def _settle(self, body: dict[str, Any]) -> dict[str, Any]:
        self._budgets.settle_local(peer_messages.decode_settlement(body))
        return {}

    def _withdraw(self, body: dict[str, Any]) -> dict[str, Any]:
        self._budgets.withdraw_local(str(body["reservation_id"]))
        return {}

    def _note_claims(self, body: dict[str, Any]) -> dict[str, Any]:
        states = [ledger.AccountState(*state) for state in body["claims"]]
        self._book.merge_states(
            str(body["holder"]), states, bool(body["is_sure"])
        )
        return {}

    def _tell_claim(self, body: dict[str, Any]) -> dict[str, Any]:
        return {"claim": self._book.known_state(str(body["program_id"]))}

    def _read_feed(self, body: dict[str, Any]) -> feed.FeedAnswer:
        query = feed.FeedQuery(
            str(body["epoch"]), int(body["cursor"]), int(body["revision"])
        )
        found = self._feed.answer(query)
        if found is None:
            raise peer_calls.UnavailableError("nothing was read yet")
        return found


def _as_json(
    call: Callable[[dict[str, Any]], Any],
) -> Callable[[bytes], bytes]:
    def run(body: bytes) -> bytes:
        answer = call(json.loads(body))
        return json.dumps(answer, separators=(",", ":")).encode()

    return run
