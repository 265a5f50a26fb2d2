"""The task that keeps the node's copy of the resources up to date."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node import execute as executors
from gypsumbridge_node import mailbox
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_node import task_request
from gypsumbridge_wire import store


def start_configuration_task(runtime: runtimes.Runtime) -> None:
    """Run the configuration's decisions on the task's mailbox."""
    mailboxes = runtime.mailboxes
    node = runtime.settings.node
    state = configuration.make_configuration_state(
        node.node_id,
        node.failure_domain,
        node.failure_domains,
        runtime.clock.now_ms(),
    )
    # Mailboxes for the replies to pending requests, by token.
    reply_mailboxes: dict[str, mailbox.Mailbox] = {}

    def call_store(request: messages.StoreRequest) -> None:
        mailboxes.store.put(
            store_call.StoreCall(request, mailboxes.configuration)
        )

    def reply(
        report: messages.AcceptedReport | messages.ForceReport,
    ) -> None:
        reply_mailboxes.pop(report.token).put(report)

    execute = executors.make_executor(
        runtime,
        mailboxes.configuration,
        {
            messages.ToPeer: runtime.mailboxes.peer_link.put,
            messages.StoreRequest: call_store,
            messages.ServingCondition: mailboxes.lifecycle.put,
            messages.AcceptedReport: reply,
            messages.ForceReport: reply,
            configuration.Publish: make_publisher(runtime),
        },
    )

    def handle(message: Any) -> None:
        if isinstance(message, task_request.TaskRequest):
            reply_mailboxes[message.request.token] = message.reply_to
            message = message.request
        now_ms = runtime.clock.now_ms()
        execute(configuration.handle(state, message, now_ms))

    mailboxes.configuration.start(handle)
    mailboxes.configuration.put(configuration.Tick())


def make_publisher(
    runtime: runtimes.Runtime,
) -> Callable[[configuration.Publish], None]:
    """Return a function that puts a revision into force."""
    mailboxes = runtime.mailboxes
    declared: dict[str, resources.Spec] = {}
    current = catalog.empty_catalog()

    def publish(published: configuration.Publish) -> None:
        nonlocal current
        if published.replace:
            declared.clear()
            current = catalog.empty_catalog()
        changes = []
        for item in published.items:
            changes += decode_change(runtime, declared, item)
        current = catalog.update_catalog(current, published.revision, changes)
        changed = messages.CatalogChanged(current)
        for task_mailbox in (
            mailboxes.front,
            mailboxes.owner,
            mailboxes.mutation,
            mailboxes.operator_http,
        ):
            task_mailbox.put(changed)
        runtime.metrics.gauge('configuration.revision', published.revision)

    return publish


def decode_change(
    runtime: runtimes.Runtime,
    declared: dict[str, resources.Spec],
    item: messages.StoreItem,
) -> list[tuple[resources.Spec | None, resources.Spec | None]]:
    """Return an item's old and new spec, and store the new one in `declared`.

    An item that does not decode changes nothing, so that one invalid value
    does not remove a resource that is in force.
    """
    after = None
    if item.value is not None:
        try:
            after = store.decode_item(item).spec
        except errors.FrameError as error:
            runtime.logger.error(
                'resource rejected', extra={'error': str(error)}
            )
            return []
    before = declared.pop(item.key, None)
    if after is not None:
        declared[item.key] = after
    return [(before, after)]
