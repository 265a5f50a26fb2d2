"""Requests that the operators' API sends to other tasks."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

from gypsumbridge_decisions import messages
from gypsumbridge_node import mailbox
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_node import task_request
from gypsumbridge_node.operator_api import state as states

# A task replies within one iteration of the reactor; this bounds the wait
# for a task that is overloaded or not started.
REPLY_TIMEOUT_MS = 2_000
ACCEPT_RETRY_INTERVAL_MS = 50


@dataclasses.dataclass(frozen=True)
class Calls:
    """Functions that each send one request and return a Deferred.

    Cancelling a Deferred also drops the entry that waits for its reply.
    `call_store` sends a request to the store under a new token.
    `query_accepted` takes a revision and a wait in ms, `query_in_force` a
    revision, and `query_status` the mailbox of a task, with the result None
    when the task does not reply. `pause` takes a time in ms.
    `await_revision` waits, for at most its second argument in ms, until
    this node's catalog has a revision above its first.
    """

    call_store: Callable[[messages.StoreRequest], 'defer.Deferred[Any]']
    query_accepted: Callable[[int, int], 'defer.Deferred[Any]']
    query_in_force: Callable[[int], 'defer.Deferred[Any]']
    query_status: Callable[[mailbox.Mailbox], 'defer.Deferred[Any]']
    pause: Callable[[int], 'defer.Deferred[Any]']
    await_revision: Callable[[int, int], 'defer.Deferred[Any]']


def make_calls(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Calls:
    """Return the calls that the operator task uses."""
    mailboxes = runtime.mailboxes
    call_task = _make_task_caller(runtime, state)

    def query_accepted(revision: int, wait_ms: int) -> 'defer.Deferred[Any]':
        token = state.next_token()
        return call_task(
            mailboxes.configuration,
            messages.AwaitAccepted(token, revision, wait_ms),
            wait_ms + REPLY_TIMEOUT_MS,
            messages.AcceptedReport(token, revision, False, ()),
        )

    def query_in_force(revision: int) -> 'defer.Deferred[Any]':
        token = state.next_token()
        return call_task(
            mailboxes.configuration,
            messages.ForceQuery(token, revision),
            REPLY_TIMEOUT_MS,
            messages.ForceReport(token, revision, False, 0, 0),
        )

    def query_status(task_mailbox: mailbox.Mailbox) -> 'defer.Deferred[Any]':
        request = messages.StatusQuery(state.next_token())
        return call_task(task_mailbox, request, REPLY_TIMEOUT_MS, None)

    def pause(delay_ms: int) -> 'defer.Deferred[Any]':
        return _with_timeout(runtime, defer.Deferred(), delay_ms, None)

    return Calls(
        _make_store_caller(runtime, state),
        query_accepted,
        query_in_force,
        query_status,
        pause,
        _make_revision_wait(runtime, state),
    )


async def await_accepted(
    runtime: runtimes.Runtime, calls: Calls, revision: int, wait_ms: int
) -> messages.AcceptedReport:
    """Poll until a revision is accepted or the wait is over.

    The configuration task may reply before the wait is over, for example
    when it has not received the revision itself yet.
    """
    deadline_ms = runtime.clock.now_ms() + wait_ms
    while True:
        remaining_ms = max(deadline_ms - runtime.clock.now_ms(), 0)
        report = await calls.query_accepted(revision, remaining_ms)
        remaining_ms = deadline_ms - runtime.clock.now_ms()
        if report.accepted or remaining_ms <= ACCEPT_RETRY_INTERVAL_MS:
            return report
        await calls.pause(ACCEPT_RETRY_INTERVAL_MS)


def _register_reply(
    state: states.OperatorState, token: str
) -> 'defer.Deferred[Any]':
    reply: defer.Deferred[Any] = defer.Deferred(
        lambda _: state.waiting.pop(token, None)
    )
    state.waiting[token] = reply
    return reply


def _make_store_caller(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[messages.StoreRequest], 'defer.Deferred[Any]']:
    mailboxes = runtime.mailboxes

    def call_store(request: messages.StoreRequest) -> 'defer.Deferred[Any]':
        token = state.next_token()
        reply = _register_reply(state, token)
        request = dataclasses.replace(request, token=token)
        mailboxes.store.put(
            store_call.StoreCall(request, mailboxes.operator_http)
        )
        return reply

    return call_store


def _make_task_caller(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[mailbox.Mailbox, Any, int, Any], 'defer.Deferred[Any]']:
    """Return a function that sends a task a request.

    Its Deferred has the reply, or `default` after `wait_ms`.
    """

    def call_task(
        task_mailbox: mailbox.Mailbox, request: Any, wait_ms: int, default: Any
    ) -> 'defer.Deferred[Any]':
        reply = _register_reply(state, request.token)
        task_mailbox.put(
            task_request.TaskRequest(request, runtime.mailboxes.operator_http)
        )
        return _with_timeout(runtime, reply, wait_ms, default)

    return call_task


def _make_revision_wait(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[int, int], 'defer.Deferred[Any]']:
    def await_revision(
        after_revision: int, wait_ms: int
    ) -> 'defer.Deferred[Any]':
        if state.catalog.revision > after_revision:
            return defer.succeed(None)
        token = state.next_token()
        reply: defer.Deferred[Any] = defer.Deferred(
            lambda _: state.watches.pop(token, None)
        )
        state.watches[token] = (after_revision, reply)
        return _with_timeout(runtime, reply, wait_ms, None)

    return await_revision


def _with_timeout(
    runtime: runtimes.Runtime,
    awaited: 'defer.Deferred[Any]',
    wait_ms: int,
    default: Any,
) -> 'defer.Deferred[Any]':
    awaited.addTimeout(
        wait_ms / 1000, runtime.reactor, lambda _result, _timeout: default
    )
    return awaited
