"""Requests of the operators' API to other tasks."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

from gypsumbridge_decisions import messages
from gypsumbridge_node import ask
from gypsumbridge_node import mailbox
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_node.operator_api import state as states

# A task answers within one turn of the reactor; this bounds the wait for
# one that is overloaded or not started.
ASK_TIMEOUT_MS = 2_000
ACCEPT_RETRY_MS = 50


@dataclasses.dataclass(frozen=True)
class Calls:
    """Functions that each send one request and return a Deferred.

    A Deferred that is cancelled leaves nothing waiting. `store` takes a
    request and ignores its token. `accepted` takes revision and wait in
    ms, `force` a revision, `status` the mailbox of a task (its result is
    None without a reply), `pause` a time in ms, and `watch` the revision
    to pass and the wait in ms.
    """

    store: Callable[[messages.StoreRequest], 'defer.Deferred[Any]']
    accepted: Callable[[int, int], 'defer.Deferred[Any]']
    force: Callable[[int], 'defer.Deferred[Any]']
    status: Callable[[mailbox.Mailbox], 'defer.Deferred[Any]']
    pause: Callable[[int], 'defer.Deferred[Any]']
    watch: Callable[[int, int], 'defer.Deferred[Any]']


def make_calls(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Calls:
    """Return the calls of the operator task."""
    mailboxes = runtime.mailboxes
    question = _make_question(runtime, state)

    def accepted(revision: int, wait_ms: int) -> 'defer.Deferred[Any]':
        token = state.next_token()
        return question(
            mailboxes.configuration,
            messages.AwaitAccepted(token, revision, wait_ms),
            wait_ms + ASK_TIMEOUT_MS,
            messages.AcceptedReport(token, revision, False, ()),
        )

    def force(revision: int) -> 'defer.Deferred[Any]':
        token = state.next_token()
        return question(
            mailboxes.configuration,
            messages.ForceQuery(token, revision),
            ASK_TIMEOUT_MS,
            messages.ForceReport(token, revision, False, 0, 0),
        )

    def status(task_mailbox: mailbox.Mailbox) -> 'defer.Deferred[Any]':
        request = messages.StatusQuery(state.next_token())
        return question(task_mailbox, request, ASK_TIMEOUT_MS, None)

    def pause(delay_ms: int) -> 'defer.Deferred[Any]':
        return _until(runtime, defer.Deferred(), delay_ms, None)

    return Calls(
        _make_store(runtime, state),
        accepted,
        force,
        status,
        pause,
        _make_watch(runtime, state),
    )


async def await_accepted(
    runtime: runtimes.Runtime, calls: Calls, revision: int, wait_ms: int
) -> messages.AcceptedReport:
    """Ask until a revision is accepted or the wait is over.

    The configuration task may answer before its wait is over, for example
    when it has not seen the revision itself yet.
    """
    deadline_ms = runtime.clock.now_ms() + wait_ms
    while True:
        left_ms = max(deadline_ms - runtime.clock.now_ms(), 0)
        report = await calls.accepted(revision, left_ms)
        left_ms = deadline_ms - runtime.clock.now_ms()
        if report.accepted or left_ms <= ACCEPT_RETRY_MS:
            return report
        await calls.pause(ACCEPT_RETRY_MS)


def _expect(state: states.OperatorState, token: str) -> 'defer.Deferred[Any]':
    made: defer.Deferred[Any] = defer.Deferred(
        lambda _: state.waiting.pop(token, None)
    )
    state.waiting[token] = made
    return made


def _make_store(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[messages.StoreRequest], 'defer.Deferred[Any]']:
    mailboxes = runtime.mailboxes

    def store(request: messages.StoreRequest) -> 'defer.Deferred[Any]':
        token = state.next_token()
        made = _expect(state, token)
        request = dataclasses.replace(request, token=token)
        mailboxes.store.put(
            store_call.StoreCall(request, mailboxes.operator_http)
        )
        return made

    return store


def _make_question(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[mailbox.Mailbox, Any, int, Any], 'defer.Deferred[Any]']:
    """Return a function that asks a task and gives up after a time."""

    def question(
        task_mailbox: mailbox.Mailbox, request: Any, wait_ms: int, default: Any
    ) -> 'defer.Deferred[Any]':
        made = _expect(state, request.token)
        task_mailbox.put(ask.Ask(request, runtime.mailboxes.operator_http))
        return _until(runtime, made, wait_ms, default)

    return question


def _make_watch(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[int, int], 'defer.Deferred[Any]']:
    def watch(after: int, wait_ms: int) -> 'defer.Deferred[Any]':
        if state.catalog.revision > after:
            return defer.succeed(None)
        token = state.next_token()
        made: defer.Deferred[Any] = defer.Deferred(
            lambda _: state.watches.pop(token, None)
        )
        state.watches[token] = (after, made)
        return _until(runtime, made, wait_ms, None)

    return watch


def _until(
    runtime: runtimes.Runtime,
    waiting: 'defer.Deferred[Any]',
    wait_ms: int,
    default: Any,
) -> 'defer.Deferred[Any]':
    waiting.addTimeout(
        wait_ms / 1000, runtime.reactor, lambda _result, _timeout: default
    )
    return waiting
