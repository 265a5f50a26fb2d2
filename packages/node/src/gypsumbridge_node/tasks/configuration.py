"""The task that keeps the declared resources up to date."""

from typing import Any

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node import ask
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_wire import store

LIST_TOKEN = 'list'
WATCH_TOKEN = 'watch'
WATCH_MS = 10_000
RETRY_MS = 500
CONFIG_PREFIX = 'config/'
SOURCE = 'configuration'


class ConfigurationState:
    """The declared resources by key and the revision they are from."""

    def __init__(self) -> None:
        self.declared: dict[str, resources.Resource] = {}
        self.revision = 0


def start_configuration_task(runtime: runtimes.Runtime) -> None:
    """List the declared resources once and then watch them."""
    state = ConfigurationState()
    boxes = runtime.boxes

    def call_store(request: messages.StoreRequest) -> None:
        boxes.store.put(store_call.StoreCall(request, boxes.configuration))

    def list_all() -> None:
        call_store(
            messages.StoreRequest(
                LIST_TOKEN, messages.StoreOperation.LIST, CONFIG_PREFIX
            )
        )

    def watch() -> None:
        call_store(
            messages.StoreRequest(
                WATCH_TOKEN,
                messages.StoreOperation.WATCH,
                CONFIG_PREFIX,
                after_revision=state.revision,
                wait_ms=WATCH_MS,
            )
        )

    def publish() -> None:
        made = catalog.make_catalog(state.revision, state.declared.values())
        changed = messages.CatalogChanged(made)
        boxes.front.put(changed)
        boxes.owner.put(changed)
        boxes.operator_http.put(changed)
        boxes.mutation.put(changed)
        boxes.lifecycle.put(
            messages.ServingCondition(SOURCE, messages.MissingReason.NONE)
        )

    def apply(reply: messages.StoreReply) -> None:
        for item in reply.items:
            try:
                resource = store.decode_item(item)
            except errors.FrameError as error:
                runtime.logger.error(
                    'resource rejected', extra={'error': str(error)}
                )
                continue
            state.declared[item.key] = resource
        if reply.revision > state.revision or not state.revision:
            state.revision = reply.revision
            publish()

    def answer(request: Any) -> Any:
        known = request.revision <= state.revision
        if isinstance(request, messages.AwaitAccepted):
            domain = runtime.settings.node.failure_domain
            return messages.AcceptedReport(
                request.token, request.revision, known, (domain,)
            )
        return messages.ForceReport(
            request.token, request.revision, known, int(not known), 1
        )

    def handle(message: Any) -> None:
        if message == LIST_TOKEN:
            list_all()
            return
        if isinstance(message, messages.MembersChanged):
            return
        if isinstance(message, ask.Ask):
            message.reply_to.put(answer(message.request))
            return
        if message.status == messages.StoreStatus.OK:
            apply(message)
            watch()
            return
        boxes.configuration.put_later(RETRY_MS, LIST_TOKEN)

    boxes.configuration.start(handle)
    boxes.configuration.put(LIST_TOKEN)
