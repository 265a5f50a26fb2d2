"""The task that calls the platform's store for discovery."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import discovery
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import store_client
from gypsumbridge_node.gateway import store_client_state
from gypsumbridge_node.gateway import store_page

STATUS_GONE = 410


def start_store_task(runtime: runtimes.GatewayRuntime) -> None:
    """List, watch and write; each call is answered to the discovery task."""
    client = store_client_state.StoreClientState(runtime)
    adapter = runtime.adapter
    discovery_box = runtime.boxes.discovery
    timeout_ms = runtime.settings.discovery.timeout_ms
    pages: list[store_page.StorePage] = []

    def list_page(after: str) -> None:
        store_client.send_call(
            client, adapter.encode_list(after), timeout_ms, take_page, fail
        )

    def start_list(command: discovery.ListStore) -> None:
        pages.clear()
        list_page('')

    def take_page(reply: http_reply.HttpReply) -> None:
        page = adapter.decode_list(reply.body)
        pages.append(page)
        if page.next_after:
            list_page(page.next_after)
            return
        records = tuple(r for found in pages for r in found.records)
        # Pages are read one after another: what changed since the first
        # one is read again by the watch.
        discovery_box.put(discovery.StoreListed(pages[0].revision, records))

    def watch(command: discovery.WatchStore) -> None:
        request = adapter.encode_watch(command.after_revision, command.wait_ms)
        store_client.send_call(
            client, request, timeout_ms + command.wait_ms, take_watch, fail
        )

    def take_watch(reply: http_reply.HttpReply) -> None:
        discovery_box.put(adapter.decode_watch(reply.body))

    def fail(reason: str) -> None:
        if reason == f'status_{STATUS_GONE}':
            discovery_box.put(discovery.HistoryLost())
            return
        discovery_box.put(discovery.StoreFailed(reason))

    table: dict[type, Callable[[Any], None]] = {
        discovery.ListStore: start_list,
        discovery.WatchStore: watch,
        discovery.WriteNode: make_node_writer(runtime, client),
    }

    def handle(message: Any) -> None:
        table[type(message)](message)

    runtime.boxes.store.start(handle)


def make_node_writer(
    runtime: runtimes.GatewayRuntime,
    client: store_client_state.StoreClientState,
) -> Callable[[discovery.WriteNode], None]:
    """Return a function that writes this node's own key."""
    settings = runtime.settings
    adapter = runtime.adapter
    box = runtime.boxes.discovery

    def write(command: discovery.WriteNode) -> None:
        key = adapter.schema.node_prefix + settings.node.node_id
        store_client.send_call(
            client,
            adapter.encode_put(key, settings.listen.callers.encode()),
            settings.discovery.timeout_ms,
            lambda reply: box.put(discovery.NodeWritten(True)),
            lambda reason: box.put(discovery.NodeWritten(False)),
        )

    return write
