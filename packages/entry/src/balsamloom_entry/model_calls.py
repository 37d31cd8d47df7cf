"""Model calls: send the history, relay the tokens, record the result."""

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

# The longest prefixes are the best predictors of cache hits. Prefixes shorter
# than the first message are shared by all programs, so none is hashed.
MAX_PREFIXES = 8
BYTES_PER_TOKEN = 4


class ModelSpec(NamedTuple):
    """Configuration of a model."""

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


def parse_body(body: dict[str, Any], default_max_tokens: int) -> ModelBody:
    """Check the body of a model call.

    :param body: decoded JSON.
    :param default_max_tokens: used if the body has no ``max_tokens``.
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
        """Run one call and put its items into the feed.

        :param request: program, key and deadline.
        :param body: checked body.
        :param model: configuration of the model.
        :param feed: items for the caller.
        """
        max_use = budgets.MaxUse(min(body.max_tokens, model.max_tokens))
        calls.run_in_order(
            self._context,
            request,
            max_use,
            body.model,
            feed,
            lambda: self._send(request, body, max_use, feed),
        )

    def _send(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        max_use: budgets.MaxUse,
        feed: feeds.Feed,
    ) -> programs.Call:
        program = request.program
        message = self._model_request(request, body, max_use)
        limits = self._context.limits()
        model_attempts = attempts.ModelAttempts(
            self._sender, message, limits, feed
        )
        try:
            started = model_attempts.wait_for_first_tokens()
        except BaseException:
            self._settle_failed_call(
                program, request.key, model_attempts, max_use
            )
            raise
        self._record_first_token(feed, body.model)
        # The tokens of the other attempts are not known, so the maximum is
        # charged for each.
        lost_tokens = model_attempts.uncertain_count * max_use.generated_tokens
        return self._relay_answer(
            request, body, started, feed, max_use, lost_tokens
        )

    def _settle_failed_call(
        self,
        program: programs.Program,
        key: str,
        model_attempts: attempts.ModelAttempts,
        max_use: budgets.MaxUse,
    ) -> None:
        """Release the budget, or charge the maximum of uncertain attempts."""
        if not model_attempts.uncertain_count:
            self._context.owner.release_call(program, key)
            return
        lost_tokens = model_attempts.uncertain_count * max_use.generated_tokens
        self._context.owner.charge_call(program, key, lost_tokens)

    def _relay_answer(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        started: attempts.StartedAttempt,
        feed: feeds.Feed,
        max_use: budgets.MaxUse,
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
            # The engine may have generated more tokens than arrived here. The
            # caller may use the key again.
            self._context.owner.charge_call(
                request.program,
                request.key,
                max_use.generated_tokens + lost_tokens,
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

    def _model_request(
        self,
        request: calls.CallRequest,
        body: ModelBody,
        max_use: budgets.MaxUse,
    ) -> attempts.ModelRequest:
        program = request.program
        messages = [*program.messages, *body.messages]
        epoch = self._context.owner.epoch(program)
        tag = f"{program.program_id}/{epoch}/{request.key}"
        characters = sum(len(str(entry.get("content"))) for entry in messages)
        profile = policy_calls.CallProfile(
            program.program_id,
            program.customer,
            body.model,
            is_urgent=program.is_urgent,
            attained_ms=program.attained_ms,
            is_new_program=not program.calls,
            deadline_ms=request.end_ms,
            prefix_hashes=prefix_hashes(body.model, messages),
            prompt_tokens=characters // BYTES_PER_TOKEN,
            expected_tokens=max_use.generated_tokens,
            is_idempotent=True,
        )
        engine_body = {
            **body.options,
            "model": body.model,
            "messages": messages,
            "max_tokens": max_use.generated_tokens,
        }
        return attempts.ModelRequest(
            engine_body,
            tag,
            profile,
            request.end_ms,
            lambda: self._context.owner.reserve_again(
                program, request.key, max_use
            ),
        )

    def _record_first_token(self, feed: feeds.Feed, model: str) -> None:
        key = metric_names.FIRST_TOKEN.key(model)
        self._context.metrics.timing(key, feed.elapsed_ms())

    def _count_tokens(self, model: str, tokens: int) -> None:
        key = metric_names.TOKENS_GENERATED.key(model)
        self._context.metrics.count(key, tokens)


class Relay:
    """An engine's answer, read by the caller's thread or the call's task.

    :param started: stream with its first tokens.
    :param clock: time source.
    :param end_ms: deadline on the clock.
    """

    def __init__(
        self,
        started: attempts.StartedAttempt,
        clock: clocks.Clock,
        end_ms: float,
    ) -> None:
        self._started = started
        self._clock = clock
        self._end_ms = end_ms
        self._batches = itertools.chain([started.first_batch], started.batches)
        self._texts: list[str] = []
        self._error: errors.BalsamloomError | None = None
        self._is_fully_read = False
        self._reader_done = threading.Event()

    @property
    def generated_tokens(self) -> int:
        """Return the number of chunks; each has at least one token."""
        return len(self._texts)

    def texts(self) -> Iterator[list[str]]:
        """Yield the texts of chunks that arrived together."""
        try:
            for batch in self._batches:
                texts = [chunk.text for chunk in batch]
                self._texts.extend(texts)
                self._started.ticket.record_tokens(len(texts))
                yield texts
                self._check_deadline()
            self._is_fully_read = True
        except errors.BalsamloomError as error:
            self._error = error
        finally:
            self._reader_done.set()

    def abandon(self) -> None:
        """Stop reading; the call's task reads the whole answer."""
        self._reader_done.set()

    def wait(self) -> None:
        """Wait for the reader, then read the rest of the answer.

        :raises BalsamloomError: if the stream broke or the deadline passed.
        """
        self._reader_done.wait()
        if not self._is_fully_read and self._error is None:
            for _ in self.texts():
                pass
        if self._error is not None:
            raise self._error
        if not self._started.stream.is_whole:
            raise errors.BalsamloomError(
                results.ResultCode.INTERRUPTED,
                "the engine's answer is incomplete",
            )

    def answer(self) -> dict[str, Any]:
        """Return the whole answer as a chat completion object.

        :raises BalsamloomError: if a chunk is not valid JSON.
        """
        content = []
        usage: dict[str, Any] = {}
        reason = "stop"
        for chunk in self._decode_chunks():
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

    def _decode_chunks(self) -> list[dict[str, Any]]:
        try:
            # Decoding all chunks at once takes half the time of one by one.
            chunks: list[dict[str, Any]] = json.loads(
                f"[{','.join(self._texts)}]"
            )
        except ValueError as error:
            raise errors.BalsamloomError(
                results.ResultCode.DAMAGED_MESSAGE,
                f"the engine sent a damaged chunk: {error}",
            ) from error
        return chunks

    def _check_deadline(self) -> None:
        if self._clock.now_ms() > self._end_ms:
            self._started.stream.close()
            raise errors.BalsamloomError(
                results.ResultCode.BACKEND_TIMEOUT,
                "the deadline passed while the engine was answering",
            )


def prefix_hashes(
    model: str, messages: list[dict[str, Any]]
) -> tuple[int, ...]:
    """Return hashes of the prefixes of a prompt, the longest last.

    :param model: name of the model.
    :param messages: all messages of the prompt.
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


def parse_request(request: requests.Request, max_tokens: int) -> ModelBody:
    """Return the checked body of a caller's request.

    :param request: the caller's request.
    :param max_tokens: used if the body has no ``max_tokens``.
    :raises BalsamloomError: if the body is not accepted.
    """
    return parse_body(request.json_object(), max_tokens)
