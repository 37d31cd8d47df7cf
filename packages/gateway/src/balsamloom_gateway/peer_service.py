"""Handler of calls from other members."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import Any

from balsamloom_core import events
from balsamloom_gateway import (
    budgets,
    feed,
    ledger,
    ledger_book,
    listeners,
    peer_messages,
    peers,
)

JSON_FIELDS = ((b"Content-Type", b"application/json"),)


class PeerService:
    """Serves budgets and the store's records to other members.

    :param accounts: budgets and plans of the programs held here.
    :param book: accounts that this member holds.
    :param records: copy of the store's records.
    """

    def __init__(
        self,
        accounts: budgets.Budgets,
        book: ledger_book.LedgerBook,
        records: feed.Feed,
    ) -> None:
        self._budgets = accounts
        self._book = book
        self._feed = records
        self._calls: dict[str, Callable[[dict[str, Any]], Any]] = {
            peers.RESERVE_PATH: self._reserve,
            peers.SETTLE_PATH: self._settle,
            peers.WITHDRAW_PATH: self._withdraw,
            peers.NOTE_PATH: self._note_claims,
            peers.CLAIM_PATH: self._tell_claim,
            peers.FEED_PATH: self._read_feed,
        }

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one call."""
        call = self._calls.get(request.path)
        if call is None:
            reply.send(404, ())
            return
        try:
            result = call(json.loads(request.read_body()))
        except (
            ValueError,
            KeyError,
            TypeError,
            listeners.MalformedBodyError,
            listeners.BodyTooLargeError,
        ) as error:
            events.log(
                events.Event.PEER_MESSAGE_DAMAGED,
                logging.WARNING,
                path=request.path,
                reason=repr(error),
            )
            reply.close_after()
            reply.send(400, ())
            return
        if result is None:
            reply.send(503, ())
            return
        body = json.dumps(result, separators=(",", ":")).encode()
        reply.send(200, JSON_FIELDS, body)

    def _reserve(self, body: dict[str, Any]) -> dict[str, Any]:
        reservation = peer_messages.decode_reservation(body)
        answer = self._budgets.reserve_here(reservation)
        return peer_messages.encode_answer(answer)

    def _settle(self, body: dict[str, Any]) -> dict[str, Any]:
        self._budgets.settle_here(peer_messages.decode_settlement(body))
        return {}

    def _withdraw(self, body: dict[str, Any]) -> dict[str, Any]:
        self._budgets.withdraw_here(str(body["reservation_id"]))
        return {}

    def _note_claims(self, body: dict[str, Any]) -> dict[str, Any]:
        claims = [ledger.Claim(*claim) for claim in body["claims"]]
        self._book.note_claims(
            str(body["holder"]), claims, bool(body["is_sure"])
        )
        return {}

    def _tell_claim(self, body: dict[str, Any]) -> dict[str, Any]:
        return {"claim": self._book.known_claim(str(body["program_id"]))}

    def _read_feed(self, body: dict[str, Any]) -> feed.FeedAnswer | None:
        return self._feed.answer(str(body["epoch"]), int(body["cursor"]))
