"""Encoding of server-sent events for callers, with sequence numbers."""

from __future__ import annotations

import json
from typing import Any

DONE_MESSAGE = b"data: [DONE]\n\n"


class EventEncoder:
    """Numbers the events of one stream and encodes them."""

    def __init__(self) -> None:
        self.count = 0

    def chunks(self, texts: list[str]) -> bytes:
        """Encode chunks of a model's answer that arrived together.

        :param texts: JSON texts as the engine sent them.
        """
        encoded = []
        for text in texts:
            self.count += 1
            encoded.append(f"id: {self.count}\ndata: {text}\n\n")
        return "".join(encoded).encode()

    def progress(
        self, reason: str, waited_ms: float, position: int | None
    ) -> bytes:
        """Encode a progress event of a waiting call.

        :param reason: what the call waits for.
        :param waited_ms: time since the request arrived.
        :param position: position in the queue, if there is one.
        """
        body: dict[str, Any] = {
            "reason": reason,
            "waited_ms": round(waited_ms),
        }
        if position is not None:
            body["position"] = position
        return self._encode_named("progress", body)

    def done(self, body: dict[str, Any]) -> bytes:
        """Encode the last event; a stream without it is incomplete.

        :param body: result; the number of events is added.
        """
        last = self._encode_named("done", {"events": self.count + 1, **body})
        return last + DONE_MESSAGE

    def _encode_named(self, name: str, body: dict[str, Any]) -> bytes:
        self.count += 1
        data = json.dumps(body, separators=(",", ":"))
        return f"id: {self.count}\nevent: {name}\ndata: {data}\n\n".encode()
