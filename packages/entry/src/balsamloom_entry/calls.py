"""Steps that model calls and tool calls share."""

from __future__ import annotations

import concurrent.futures
import hashlib
import json
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, metric_names, results
from balsamloom_entry import feeds, requests
from balsamloom_entry import limits as call_limits
from balsamloom_platform import metrics
from balsamloom_state import budgets, programs
from balsamloom_state import owner as owners

DIGEST_BYTES = 16
NOT_COMMITTED = results.ResultCode.COMPLETED_NOT_COMMITTED


class CallContext(NamedTuple):
    """Parts of the process that calls use."""

    owner: owners.ProgramOwner
    clock: clocks.Clock
    executor: concurrent.futures.Executor
    limits: Callable[[], call_limits.CallLimits]
    metrics: metrics.Metrics


class CallRequest(NamedTuple):
    """A call of a program; ``end_ms`` is a time on the process's clock."""

    program: programs.Program
    key: str
    digest: bytes
    body: dict[str, Any]
    end_ms: float


def digest(document: Any) -> bytes:
    """Return the digest that identifies a repeated request.

    :param document: JSON-compatible value.
    """
    raw = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(raw.encode(), digest_size=DIGEST_BYTES).digest()


def end_ms(
    context: CallContext, request: requests.Request, default_ms: int = 0
) -> float:
    """Return the deadline of a call on the process's clock.

    :param context: parts of the process.
    :param request: the caller's request.
    :param default_ms: deadline if the caller gives none; zero for the
        configured default.
    """
    limits = context.limits()
    left_ms = request.deadline_ms(default_ms or limits.default_deadline_ms)
    return context.clock.now_ms() + min(left_ms, limits.max_deadline_ms)


def run_in_task(
    context: CallContext, feed: feeds.Feed, task: Callable[[], None]
) -> None:
    """Run a call in its own task and put its errors into the feed.

    :param context: parts of the process.
    :param feed: items for the caller.
    :param task: runs the call.
    """
    context.executor.submit(_run_task, context, feed, task)


def run_in_order(
    context: CallContext,
    request: CallRequest,
    max_use: budgets.MaxUse,
    pool: str,
    feed: feeds.Feed,
    send: Callable[[], programs.Call],
) -> None:
    """Run a call after the program's earlier ones, or return its result.

    :param context: parts of the process.
    :param request: program, key and deadline.
    :param max_use: maximum use of the budget.
    :param pool: model or service name.
    :param feed: items for the caller.
    :param send: runs the call and records its outcome.
    """
    owner = context.owner
    feed.set_wait_reason("an earlier call of the program")
    left_ms = request.end_ms - context.clock.now_ms()
    with owner.call_lock(request.program, left_ms, request.key):
        begin_result = owner.begin_call(
            request.program, request.key, request.digest, max_use
        )
        match begin_result:
            case owners.RecordedCall(call):
                pass
            case owners.NewCall():
                call = send()
    put_durable_result(context, feed, call, request.end_ms)
    duration_key = metric_names.CALL_DURATION.key(pool)
    context.metrics.timing(duration_key, feed.elapsed_ms())
    finished_key = metric_names.CALLS_FINISHED.key(str(call.code))
    context.metrics.count(finished_key)


def put_durable_result(
    context: CallContext,
    feed: feeds.Feed,
    call: programs.Call,
    until_ms: float,
) -> None:
    """Wait until a result is durable, then put it into the feed.

    :param context: parts of the process.
    :param feed: items for the caller.
    :param call: call with a recorded result.
    :param until_ms: time on the clock at which the wait ends.
    """
    feed.set_wait_reason("commit")
    left_ms = max(until_ms - context.clock.now_ms(), 0)
    is_durable = context.owner.wait_durable(call, left_ms)
    if context.owner.is_deposed and not is_durable:
        # The new owner's history lacks this result.
        code = results.ResultCode.INTERRUPTED
        if call.timeout_ms:
            code = results.ResultCode.OUTCOME_UNKNOWN
        raise errors.BalsamloomError(code)
    feed.put(result_item(call, is_durable))


def result_item(
    call: programs.Call, is_durable: bool
) -> feeds.CallCompleted | feeds.CallFailed:
    """Return the feed item of a recorded call.

    :param call: call with a recorded result.
    :param is_durable: whether the result is in the store.
    """
    code = results.ResultCode(call.code)
    if code is results.ResultCode.COMPLETED:
        reported_code = code if is_durable else NOT_COMMITTED
        return feeds.CallCompleted(int(reported_code), call.answer, is_durable)
    if code is results.ResultCode.OUTCOME_UNKNOWN:
        events.log(events.Event.CALL_OUTCOME_UNKNOWN, key=call.key)
    return feeds.CallFailed(errors.BalsamloomError(code, call.message))


def _run_task(
    context: CallContext, feed: feeds.Feed, task: Callable[[], None]
) -> None:
    try:
        task()
    except errors.BalsamloomError as error:
        _record_error(context, error)
        feed.put(feeds.CallFailed(error))
    except Exception as error:
        events.log(
            events.Event.REQUEST_FAILED, logging.ERROR, cause=repr(error)
        )
        code = results.ResultCode.INTERNAL_ERROR
        feed.put(feeds.CallFailed(errors.BalsamloomError(code)))


def _record_error(context: CallContext, error: errors.BalsamloomError) -> None:
    code = str(int(error.code))
    if results.info(error.code).not_run:
        context.metrics.count(metric_names.CALLS_REFUSED.key(code))
        events.log(events.Event.CALL_REFUSED, code=code, cause=error.message)
    else:
        context.metrics.count(metric_names.CALLS_FINISHED.key(code))
