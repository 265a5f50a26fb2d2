"""The task that keeps the declared resources up to date."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node import ask
from gypsumbridge_node import execute as executors
from gypsumbridge_node import mailbox
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_wire import store


def start_configuration_task(runtime: runtimes.Runtime) -> None:
    """Run the configuration's decisions on its mailbox."""
    boxes = runtime.boxes
    node = runtime.settings.node
    state = configuration.make_configuration_state(
        node.node_id,
        node.failure_domain,
        node.failure_domains,
        runtime.clock.now_ms(),
    )
    # Who waits for the answer to a question, by its token.
    askers: dict[str, mailbox.Mailbox] = {}

    def call_store(request: messages.StoreRequest) -> None:
        boxes.store.put(store_call.StoreCall(request, boxes.configuration))

    def answer(
        report: messages.AcceptedReport | messages.ForceReport,
    ) -> None:
        askers.pop(report.token).put(report)

    execute = executors.make_executor(
        runtime,
        boxes.configuration,
        {
            messages.StoreRequest: call_store,
            messages.ServingCondition: boxes.lifecycle.put,
            messages.AcceptedReport: answer,
            messages.ForceReport: answer,
            configuration.Publish: make_publisher(runtime),
        },
    )

    def handle(message: Any) -> None:
        if isinstance(message, ask.Ask):
            askers[message.request.token] = message.reply_to
            message = message.request
        now_ms = runtime.clock.now_ms()
        execute(configuration.handle(state, message, now_ms))

    boxes.configuration.start(handle)
    boxes.configuration.put(configuration.Tick())


def make_publisher(
    runtime: runtimes.Runtime,
) -> Callable[[configuration.Publish], None]:
    """Return a function that puts a revision into force."""
    declared: dict[str, resources.Resource] = {}

    def publish(published: configuration.Publish) -> None:
        if published.replace:
            declared.clear()
        for item in published.items:
            decode_into(runtime, declared, item)
        made = catalog.make_catalog(published.revision, declared.values())
        changed = messages.CatalogChanged(made)
        runtime.boxes.front.put(changed)
        runtime.boxes.owner.put(changed)
        runtime.metrics.gauge('configuration.revision', published.revision)

    return publish


def decode_into(
    runtime: runtimes.Runtime,
    declared: dict[str, resources.Resource],
    item: messages.StoreItem,
) -> None:
    """Take over one item; one that does not decode changes nothing."""
    if item.value is None:
        declared.pop(item.key, None)
        return
    try:
        declared[item.key] = store.decode_item(item)
    except errors.FrameError as error:
        runtime.logger.error('resource rejected', extra={'error': str(error)})
