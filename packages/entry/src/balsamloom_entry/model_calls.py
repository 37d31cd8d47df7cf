"""Model calls: history in, tokens out, result recorded."""

from __future__ import annotations

import hashlib
import itertools
import json
import threading
from collections.abc import Iterator
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, metric_names, outcomes, results
from balsamloom_entry import attempts, calls, feeds, requests
from balsamloom_policy import calls as policy_calls
from balsamloom_state import budgets, programs

# Prefixes shorter than the first message are shared by everyone and tell
# nothing; the longest ones tell most.
MAX_PREFIXES = 8
BYTES_PER_TOKEN = 4


class ModelSpec(NamedTuple):
    """What the configuration says about a model."""

    name: str
    max_tokens: int
    history_tokens: int


class ModelBody(NamedTuple):
    """Checked body of a model call."""

    model: str
    messages: list[dict[str, Any]]
    max_tokens: int
    is_streamed: bool
    options: dict[str, Any]


def parse(body: dict[str, Any], default_max_tokens: int) -> ModelBody:
    """Check the body of a model call.

    :param body: decoded JSON.
    :param default_max_tokens: used if the caller gives none.
    :raises BalsamloomError: naming the field, its value and what is accepted.
    """
    model = _field(body, "model", str, "a model name")
    messages = _field(body, "messages", list, "a list of messages")
    if not messages or not all(_is_message(entry) for entry in messages):
        raise _malformed(
            "messages", messages, "a list of objects with role and content"
        )
    max_tokens = body.get("max_tokens", default_max_tokens)
    if type(max_tokens) is not int or max_tokens < 1:
        raise _malformed("max_tokens", max_tokens, "a positive whole number")
    is_streamed = body.get("stream", False)
    if not isinstance(is_streamed, bool):
        raise _malformed("stream", is_streamed, "true or false")
    known = {"model", "messages", "max_tokens", "stream", "priority"}
    options = {
        name: value for name, value in body.items() if name not in known
    }
    return ModelBody(model, messages, max_tokens, is_streamed, options)


class ModelCalls:
    """Runs model calls of programs that this process owns.

    :param context: parts of the process that calls use.
    :param sender: parts of the process that send model calls.
    """

    def __init__(
        self, context: calls.CallContext, sender: attempts.Sender
    ) -> None:
        self._context = context
        self._sender = sender

    def run(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        model: ModelSpec,
        feed: feeds.Feed,
    ) -> None:
        """Run one call; its items go to the feed.

        :param request: program, key and deadline.
        :param body: checked body.
        :param model: configuration of the model.
        :param feed: items towards the caller.
        """
        need = budgets.MaxUse(min(body.max_tokens, model.max_tokens))
        calls.take_turn(
            self._context,
            request,
            need,
            body.model,
            feed,
            lambda: self._attempted(request, body, need, feed),
        )

    def _attempted(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        need: budgets.MaxUse,
        feed: feeds.Feed,
    ) -> programs.Call:
        program = request.program
        message = self._request(request, body, need)
        limits = self._context.limits()
        tries = attempts.ModelAttempts(self._sender, message, limits, feed)
        try:
            started = tries.first_tokens()
        except BaseException:
            self._give_up(program, request.key, tries, need)
            raise
        self._note_first_token(feed, body.model)
        # What a losing attempt generated is not known, so all that it might
        # have is counted.
        lost_tokens = tries.uncertain * need.generated_tokens
        return self._relay(request, body, started, feed, need, lost_tokens)

    def _give_up(
        self,
        program: programs.Program,
        key: str,
        tries: attempts.ModelAttempts,
        need: budgets.MaxUse,
    ) -> None:
        """Give budget back, but for attempts that may have generated."""
        if not tries.uncertain:
            self._context.owner.release_call(program, key)
            return
        lost_tokens = tries.uncertain * need.generated_tokens
        self._context.owner.charge_call(program, key, lost_tokens)

    def _relay(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        started: attempts.Started,
        feed: feeds.Feed,
        need: budgets.MaxUse,
        lost_tokens: int,
    ) -> programs.Call:
        sent_ms = self._context.clock.now_ms()
        started.ticket.record_first_token()
        relay = Relay(started, self._context.clock, request.end_ms)
        feed.put(feeds.StreamStarted(relay))
        try:
            relay.wait()
            answer = relay.answer()
        except BaseException:
            started.ticket.finish(policy_calls.Observation(False, True))
            # The engine may have generated more than arrived here. The key
            # may be used again.
            self._context.owner.charge_call(
                request.program,
                request.key,
                need.generated_tokens + lost_tokens,
            )
            raise
        tokens = answer["usage"].get(
            "completion_tokens", relay.generated_tokens
        )
        prompt_tokens = answer["usage"].get("prompt_tokens", 0)
        started.ticket.finish(
            policy_calls.Observation(True, False, tokens, prompt_tokens)
        )
        self._count_tokens(body.model, tokens)
        return self._context.owner.finish(
            request.program,
            request.key,
            request.digest,
            outcomes.Completed(answer, tokens + lost_tokens),
            [*body.messages, answer["choices"][0]["message"]],
            self._context.clock.now_ms() - sent_ms,
            0,
        )

    def _request(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        need: budgets.MaxUse,
    ) -> attempts.ModelRequest:
        program = request.program
        messages = [*program.messages, *body.messages]
        epoch = self._context.owner.epoch(program)
        tag = f"{program.program_id}/{epoch}/{request.key}"
        sizes = sum(len(str(entry.get("content"))) for entry in messages)
        profile = policy_calls.CallProfile(
            program.program_id,
            program.customer,
            body.model,
            is_urgent=program.is_urgent,
            attained_ms=program.attained_ms,
            is_new_program=not program.calls,
            deadline_ms=request.end_ms,
            prefix_hashes=prefix_hashes(body.model, messages),
            prompt_tokens=sizes // BYTES_PER_TOKEN,
            expected_tokens=need.generated_tokens,
            is_idempotent=True,
        )
        sent = {
            **body.options,
            "model": body.model,
            "messages": messages,
            "max_tokens": need.generated_tokens,
        }
        return attempts.ModelRequest(
            sent,
            tag,
            profile,
            request.end_ms,
            lambda: self._context.owner.reserve_again(
                program, request.key, need
            ),
        )

    def _note_first_token(self, feed: feeds.Feed, model: str) -> None:
        key = metric_names.FIRST_TOKEN.key(model)
        self._context.metrics.timing(key, feed.elapsed_ms())

    def _count_tokens(self, model: str, tokens: int) -> None:
        key = metric_names.TOKENS_GENERATED.key(model)
        self._context.metrics.count(key, tokens)


class Relay:
    """One engine's answer, read by the caller's thread or the call's task.

    :param started: stream with its first tokens.
    :param clock: time source.
    :param end_ms: deadline on the clock.
    """

    def __init__(
        self, started: attempts.Started, clock: clocks.Clock, end_ms: float
    ) -> None:
        self._started = started
        self._clock = clock
        self._end_ms = end_ms
        self._rest = itertools.chain([started.first], started.batches)
        self._texts: list[str] = []
        self._error: errors.BalsamloomError | None = None
        self._is_read = False
        self._left = threading.Event()

    @property
    def generated_tokens(self) -> int:
        """Return the number of chunks, each of which has one token or more."""
        return len(self._texts)

    def texts(self) -> Iterator[list[str]]:
        """Yield the texts of chunks that arrived together."""
        try:
            for batch in self._rest:
                texts = [chunk.text for chunk in batch]
                self._texts.extend(texts)
                self._started.ticket.record_tokens(len(texts))
                yield texts
                self._check_time()
            self._is_read = True
        except errors.BalsamloomError as error:
            self._error = error
        finally:
            self._left.set()

    def abandon(self) -> None:
        """Leave the answer to the call's task."""
        self._left.set()

    def wait(self) -> None:
        """Wait for the reader, and read what it left.

        :raises BalsamloomError: if the stream broke or the deadline passed.
        """
        self._left.wait()
        if not self._is_read and self._error is None:
            for _ in self.texts():
                pass
        if self._error is not None:
            raise self._error
        if not self._started.stream.is_whole:
            raise errors.BalsamloomError(
                results.ResultCode.INTERRUPTED, "the engine's answer was cut"
            )

    def answer(self) -> dict[str, Any]:
        """Return the whole answer in the shape of a chat completion.

        :raises BalsamloomError: if a chunk is damaged.
        """
        content = []
        usage: dict[str, Any] = {}
        reason = "stop"
        for chunk in self._decoded():
            usage = chunk.get("usage") or usage
            for choice in chunk.get("choices", [])[:1]:
                content.append(choice.get("delta", {}).get("content") or "")
                reason = choice.get("finish_reason") or reason
        message = {"role": "assistant", "content": "".join(content)}
        return {
            "object": "chat.completion",
            "choices": [
                {"index": 0, "message": message, "finish_reason": reason}
            ],
            "usage": usage,
        }

    def _decoded(self) -> list[dict[str, Any]]:
        try:
            # One call for all chunks takes half the time of a call for each.
            found: list[dict[str, Any]] = json.loads(
                f"[{','.join(self._texts)}]"
            )
        except ValueError as error:
            raise errors.BalsamloomError(
                results.ResultCode.DAMAGED_MESSAGE,
                f"the engine sent a damaged chunk: {error}",
            ) from error
        return found

    def _check_time(self) -> None:
        if self._clock.now_ms() > self._end_ms:
            self._started.stream.close()
            raise errors.BalsamloomError(
                results.ResultCode.BACKEND_TIMEOUT,
                "the deadline passed within the answer",
            )


def prefix_hashes(
    model: str, messages: list[dict[str, Any]]
) -> tuple[int, ...]:
    """Return hashes of growing message lists, the longest last.

    :param model: name of the model.
    :param messages: whole prompt.
    """
    running = hashlib.blake2b(model.encode(), digest_size=8)
    hashes = []
    for message in messages:
        running.update(json.dumps(message, sort_keys=True).encode())
        hashes.append(int.from_bytes(running.digest(), "big"))
    return tuple(hashes[:1] + hashes[1:][-MAX_PREFIXES:])


def _field(body: dict[str, Any], name: str, kind: type, accepted: str) -> Any:
    value = body.get(name)
    if not isinstance(value, kind):
        raise _malformed(name, value, accepted)
    return value


def _is_message(entry: Any) -> bool:
    return (
        isinstance(entry, dict)
        and isinstance(entry.get("role"), str)
        and "content" in entry
    )


def _malformed(name: str, value: Any, accepted: str) -> errors.BalsamloomError:
    shown = json.dumps(value)[:80]
    return errors.BalsamloomError(
        results.ResultCode.MALFORMED_REQUEST,
        f"{name} is {shown}; accepted: {accepted}",
    )


def check_request(request: requests.Request, limit: int) -> ModelBody:
    """Return the checked body of a caller's request.

    :param request: the caller's request.
    :param limit: tokens if the caller gives none.
    :raises BalsamloomError: if the body is not accepted.
    """
    return parse(request.json_object(), limit)
